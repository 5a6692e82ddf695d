package contract

import (
	"go.yaml.in/yaml/v3"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// contract reads the root mapping of a contract.
func (p *parser) contract(n *yaml.Node) *Contract {
	c := &Contract{GraceSeconds: defaultGraceSeconds, HighestClass: defaultHighestClass}
	p.mapping(n, "", []field{
		{"workspace", true, func(n *yaml.Node, path string) { c.Workspace = p.name(n, path) }},
		{"guarantees", false, func(n *yaml.Node, path string) { c.Guarantees = p.guarantees(n, path) }},
		{"surplus_share", false, func(n *yaml.Node, path string) { c.SurplusShare = p.integer(n, path, 0, maxShare) }},
		{"limits", false, func(n *yaml.Node, path string) { c.Limits = p.limits(n, path) }},
		{"highest_class", false, func(n *yaml.Node, path string) {
			c.HighestClass = table.Class(p.choice(n, path, classNames[:]))
		}},
		{"grace_seconds", false, func(n *yaml.Node, path string) {
			c.GraceSeconds = p.integer(n, path, 0, maxGraceSeconds)
		}},
		{"tokens_sha256", true, func(n *yaml.Node, path string) { c.TokensSHA256 = p.tokens(n, path) }},
	})
	return c
}

func (p *parser) guarantees(n *yaml.Node, path string) []Guarantee {
	var out []Guarantee
	type shape struct {
		zone  string
		shape table.Shape
	}
	seen := map[shape]int{}
	p.list(n, path, maxGuarantees, func(n *yaml.Node, path string) {
		g := p.guarantee(n, path)
		key := shape{g.Zone, g.Shape()}
		if first := seen[key]; first != 0 {
			p.report(n.Line, path, "repeats the shape and zone of line %d; raise its gangs instead", first)
		}
		seen[key] = n.Line
		out = append(out, g)
	})
	return out
}

func (p *parser) guarantee(n *yaml.Node, path string) Guarantee {
	g := Guarantee{Line: n.Line, GangSize: 1}
	p.mapping(n, path, []field{
		{"zone", true, func(n *yaml.Node, path string) { g.Zone = p.name(n, path) }},
		{"gangs", true, func(n *yaml.Node, path string) { g.Gangs = p.integer(n, path, 1, maxGangs) }},
		{"gang", false, func(n *yaml.Node, path string) { g.GangSize = p.integer(n, path, 1, maxGang) }},
		{"accelerators", true, func(n *yaml.Node, path string) {
			g.Accelerators = p.integer(n, path, 1, maxAccelerators)
		}},
		{"adjacency", false, func(n *yaml.Node, path string) {
			g.Adjacency = table.Adjacency(p.choice(n, path, adjacencyNames[:]))
		}},
	})
	return g
}

func (p *parser) limits(n *yaml.Node, path string) Limits {
	var l Limits
	p.mapping(n, path, []field{
		{"queued", false, func(n *yaml.Node, path string) { l.Queued = p.integer(n, path, 0, maxLimit) }},
		{"running_accelerators", false, func(n *yaml.Node, path string) {
			l.RunningAccelerators = p.integer(n, path, 0, maxLimit)
		}},
		{"requests_per_second", false, func(n *yaml.Node, path string) {
			l.RequestsPerSecond = p.number(n, path, maxRequestRate)
		}},
	})
	return l
}

func (p *parser) tokens(n *yaml.Node, path string) []string {
	var out []string
	seen := map[string]bool{}
	p.list(n, path, maxTokens, func(n *yaml.Node, path string) {
		s, ok := p.text(n, path)
		if !ok {
			return
		}
		if !digestPattern.MatchString(s) {
			p.report(n.Line, path, "must be a SHA-256 digest of 64 lower-case hexadecimal digits")
		}
		if seen[s] {
			p.report(n.Line, path, "repeats a digest of the list")
		}
		seen[s] = true
		out = append(out, s)
	})
	if n.Kind == yaml.SequenceNode && len(n.Content) == 0 {
		p.report(n.Line, path, "is empty; without a token no caller can use the workspace")
	}
	return out
}
