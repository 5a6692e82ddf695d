package contract

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Bounds of a contract. A value beyond them is a mistake in the file, even for the largest system that is intended.
const (
	maxBytes            = 64 << 10
	maxFindings         = 100
	maxGuarantees       = 64
	maxTokens           = 64
	maxGang             = 1024
	maxGangs            = 1024
	maxAccelerators     = 64
	maxShare            = 10000
	maxLimit            = 1000000
	maxGraceSeconds     = 300
	maxRequestRate      = 100000
	maxNameLength       = 63
	defaultGraceSeconds = 5
	defaultHighestClass = table.Standard
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	linePattern   = regexp.MustCompile(`line (\d+): `)
)

// Parse parses and validates one contract. It collects all findings instead of stopping at the first (at most
// maxFindings); the contract is nil if there are any.
func Parse(file string, data []byte) (*Contract, []Finding) {
	p := &parser{file: file}
	root := p.document(data)
	if root == nil {
		return nil, p.findings
	}
	c := p.contract(root)
	if len(p.findings) > 0 {
		return nil, p.findings
	}
	return c, nil
}

type parser struct {
	file     string
	findings []Finding
}

func (p *parser) report(line int, field, format string, args ...any) {
	if len(p.findings) >= maxFindings {
		return
	}
	message := fmt.Sprintf(format, args...)
	p.findings = append(p.findings, Finding{File: p.file, Line: line, Field: field, Message: message})
}

// document returns the root node of the only YAML document in the data. If there is none it reports why and returns
// nil.
func (p *parser) document(data []byte) *yaml.Node {
	if len(data) > maxBytes {
		p.report(1, "", "is %d bytes long; a contract has at most %d", len(data), maxBytes)
		return nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := decoder.Decode(&doc); err != nil {
		p.reportSyntaxError(err)
		return nil
	}
	var next yaml.Node
	switch err := decoder.Decode(&next); {
	case err == nil:
		p.report(next.Line, "", "has a second document; a file holds one contract")
	case !errors.Is(err, io.EOF):
		p.reportSyntaxError(err)
	}
	p.rejectAliases(&doc)
	if len(p.findings) > 0 {
		return nil
	}
	root := doc.Content[0]
	if root.Kind == yaml.ScalarNode && root.Tag == "!!null" {
		p.report(1, "", "is empty")
		return nil
	}
	return root
}

func (p *parser) reportSyntaxError(err error) {
	if errors.Is(err, io.EOF) {
		p.report(1, "", "is empty")
		return
	}
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 1
	if m := linePattern.FindStringSubmatch(message); m != nil {
		line, _ = strconv.Atoi(m[1])
		message = strings.Replace(message, m[0], "", 1)
	}
	p.report(line, "", "is not valid YAML: %s", message)
}

// rejectAliases reports anchors and aliases. Nested aliases can expand to exponential size, and a contract needs none.
func (p *parser) rejectAliases(n *yaml.Node) {
	if n.Kind == yaml.AliasNode {
		p.report(n.Line, "", "uses the alias *%s; write the value out", n.Value)
		return
	}
	if n.Anchor != "" {
		p.report(n.Line, "", "defines the anchor &%s; anchors are not allowed", n.Anchor)
	}
	for _, child := range n.Content {
		p.rejectAliases(child)
	}
}

// field is one key of a mapping and the function that reads its value.
type field struct {
	name     string
	required bool
	read     func(n *yaml.Node, path string)
}

// mapping reads a mapping with the given fields, and reports unknown, repeated and missing fields.
func (p *parser) mapping(n *yaml.Node, path string, fields []field) {
	if n.Kind != yaml.MappingNode {
		p.report(n.Line, path, "must be a mapping, not %s", describeNode(n))
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		p.entry(n.Content[i], n.Content[i+1], path, fields, seen)
	}
	for _, f := range fields {
		if f.required && seen[f.name] == 0 {
			p.report(n.Line, joinPath(path, f.name), "is missing")
		}
	}
}

func (p *parser) entry(key, value *yaml.Node, path string, fields []field, seen map[string]int) {
	name := joinPath(path, key.Value)
	if key.Kind != yaml.ScalarNode {
		p.report(key.Line, path, "has a key that is not a word")
		return
	}
	if first := seen[key.Value]; first != 0 {
		p.report(key.Line, name, "is given twice; first on line %d", first)
		return
	}
	seen[key.Value] = key.Line
	for _, f := range fields {
		if f.name == key.Value {
			f.read(value, name)
			return
		}
	}
	p.report(key.Line, name, "is not a known field; known are %s", strings.Join(fieldNames(fields), ", "))
}

// list calls read for each item of a sequence.
func (p *parser) list(n *yaml.Node, path string, limit int, read func(n *yaml.Node, path string)) {
	if n.Kind != yaml.SequenceNode {
		p.report(n.Line, path, "must be a list, not %s", describeNode(n))
		return
	}
	if len(n.Content) > limit {
		p.report(n.Line, path, "has %d entries; at most %d are allowed", len(n.Content), limit)
		return
	}
	for i, item := range n.Content {
		read(item, fmt.Sprintf("%s[%d]", path, i))
	}
}

func (p *parser) integer(n *yaml.Node, path string, low, high int) int {
	if n.Kind != yaml.ScalarNode || n.ShortTag() != "!!int" {
		p.report(n.Line, path, "must be a whole number, not %s", describeNode(n))
		return low
	}
	var v int
	if err := n.Decode(&v); err != nil || v < low || v > high {
		p.report(n.Line, path, "is %s; it must lie between %d and %d", n.Value, low, high)
		return low
	}
	return v
}

func (p *parser) number(n *yaml.Node, path string, high float64) float64 {
	if tag := n.ShortTag(); n.Kind != yaml.ScalarNode || tag != "!!int" && tag != "!!float" {
		p.report(n.Line, path, "must be a number, not %s", describeNode(n))
		return 0
	}
	var v float64
	// The negated comparison also rejects NaN.
	if err := n.Decode(&v); err != nil || !(v >= 0 && v <= high) {
		p.report(n.Line, path, "is %s; it must lie between 0 and %g", n.Value, high)
		return 0
	}
	return v
}

func (p *parser) text(n *yaml.Node, path string) (string, bool) {
	if n.Kind != yaml.ScalarNode || n.ShortTag() != "!!str" {
		p.report(n.Line, path, "must be text, not %s", describeNode(n))
		return "", false
	}
	return n.Value, true
}

func (p *parser) name(n *yaml.Node, path string) string {
	s, ok := p.text(n, path)
	if ok && (len(s) > maxNameLength || !namePattern.MatchString(s)) {
		p.report(n.Line, path, "is %q; a name has 1 to %d of a-z, 0-9 and inner hyphens", s, maxNameLength)
	}
	return s
}

// choice returns the index of the value in names; it reports any other value and returns 0.
func (p *parser) choice(n *yaml.Node, path string, names []string) int {
	s, ok := p.text(n, path)
	if !ok {
		return 0
	}
	for i, name := range names {
		if s == name {
			return i
		}
	}
	p.report(n.Line, path, "is %q; it must be one of %s", s, strings.Join(names, ", "))
	return 0
}

func fieldNames(fields []field) []string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.name)
	}
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func describeNode(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	}
	if n.ShortTag() == "!!null" {
		return "nothing"
	}
	return strconv.Quote(n.Value)
}
