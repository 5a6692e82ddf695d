package contract_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/contract"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

const digest = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

const validContract = `workspace: screening
surplus_share: 3
highest_class: urgent
grace_seconds: 7
guarantees:
  - {zone: west, gangs: 2, gang: 8, accelerators: 1, adjacency: rack}
  - {zone: east, gangs: 1, gang: 2, accelerators: 4, adjacency: worker}
limits:
  queued: 500
  running_accelerators: 64
  requests_per_second: 2.5
tokens_sha256:
  - ` + digest + "\n"

// editContract returns the valid contract with the first occurrence of old replaced by new. An edit within one line
// keeps the line numbers in the findings.
func editContract(old, new string) string {
	Expect(validContract).To(ContainSubstring(old))
	return strings.Replace(validContract, old, new, 1)
}

func texts(findings []contract.Finding) []string {
	var out []string
	for _, f := range findings {
		out = append(out, f.String())
	}
	return out
}

var _ = Describe("Parse", func() {
	It("carries every field into the zone's workspace", func() {
		c, findings := contract.Parse("c.yaml", []byte(validContract))
		Expect(findings).To(BeEmpty())
		Expect(c.ForZone("west", 9)).To(Equal(&table.Workspace{
			Name: "screening", Revision: 9, SurplusShare: 3, GraceMillis: 7000, MaxClass: table.Urgent,
			Limits:      table.Limits{Queued: 500, Running: 64, RequestsPerSecond: 2.5},
			TokenSHA256: []string{digest},
			Guarantees: []table.Guarantee{
				{Gangs: 2, Shape: table.Shape{Gang: 8, Accelerators: 1, Adjacency: table.SameRack}},
			},
		}))
	})

	DescribeTable("a mistake is reported with its line and field instead of being accepted",
		func(data func() string, want string) {
			c, findings := contract.Parse("c.yaml", []byte(data()))
			Expect(c).To(BeNil())
			Expect(texts(findings)).To(ContainElement(HavePrefix(want)))
		},
		Entry("misspelt field", func() string { return editContract("surplus_share", "surplus_shares") },
			"c.yaml:2: surplus_shares: is not a known field"),
		Entry("misspelt inner field", func() string { return editContract("gangs: 2", "gang_count: 2") },
			"c.yaml:6: guarantees[0].gang_count: is not a known field"),
		Entry("text for a number", func() string { return editContract("grace_seconds: 7", "grace_seconds: 7s") },
			"c.yaml:4: grace_seconds: must be a whole number"),
		Entry("fraction of an accelerator", func() string { return editContract("accelerators: 1", "accelerators: 1.5") },
			"c.yaml:6: guarantees[0].accelerators: must be a whole number"),
		Entry("negative share", func() string { return editContract("surplus_share: 3", "surplus_share: -3") },
			"c.yaml:2: surplus_share: is -3; it must lie between 0 and 10000"),
		Entry("number that overflows", func() string { return editContract("queued: 500", "queued: 99999999999999999999") },
			"c.yaml:9: limits.queued: "),
		Entry("rate that is no number", func() string { return editContract("2.5", ".nan") },
			"c.yaml:11: limits.requests_per_second: is .nan"),
		Entry("unknown class", func() string { return editContract("urgent", "vip") },
			`c.yaml:3: highest_class: is "vip"; it must be one of urgent, standard, bulk`),
		Entry("unknown adjacency", func() string { return editContract("adjacency: rack", "adjacency: row") },
			"c.yaml:6: guarantees[0].adjacency: is \"row\""),
		Entry("field given twice", func() string { return editContract("grace_seconds: 7", "surplus_share: 4") },
			"c.yaml:4: surplus_share: is given twice; first on line 2"),
		Entry("guarantee given twice", func() string {
			return editContract("zone: east, gangs: 1, gang: 2, accelerators: 4, adjacency: worker",
				"zone: west, gangs: 1, gang: 8, accelerators: 1, adjacency: rack")
		}, "c.yaml:7: guarantees[1]: repeats the shape and zone of line 6"),
		Entry("token in plain text", func() string { return editContract(digest, "secret") },
			"c.yaml:13: tokens_sha256[0]: must be a SHA-256 digest"),
		Entry("no token", func() string { return editContract("\n  - "+digest, " []") },
			"c.yaml:12: tokens_sha256: is empty"),
		Entry("missing workspace", func() string { return editContract("workspace: screening", "") },
			"c.yaml:2: workspace: is missing"),
		Entry("path as a name", func() string { return editContract("screening", "../screening") },
			`c.yaml:1: workspace: is "../screening"`),
		Entry("list for a mapping", func() string { return "- a\n" }, "c.yaml:1: must be a mapping, not a list"),
		Entry("empty input", func() string { return "" }, "c.yaml:1: is empty"),
		Entry("comment only", func() string { return "# nothing\n" }, "c.yaml:1: is empty"),
		Entry("second document", func() string { return validContract + "---\nworkspace: other\n" },
			"c.yaml:14: has a second document"),
		Entry("broken YAML", func() string { return "workspace: a\n  b: [\n" }, "c.yaml:2: is not valid YAML: "),
		Entry("alias expansion", func() string {
			return "a: &a [x, x]\nb: &b [*a, *a]\nworkspace: *b\n"
		}, "c.yaml:3: uses the alias *b"),
		Entry("huge input", func() string { return strings.Repeat("#", 70000) }, "c.yaml:1: is 70000 bytes long"),
	)

	It("collects all findings instead of stopping at the first", func() {
		data := editContract("highest_class: urgent", "highest_class: vip")
		data = strings.Replace(data, "gangs: 2", "gangs: 0", 1)
		_, findings := contract.Parse("c.yaml", []byte(strings.Replace(data, "queued: 500", "queued: x", 1)))
		Expect(findings).To(HaveLen(3))
	})
})

var _ = Describe("CheckFit", func() {
	contractWith := func(name string, guarantees ...contract.Guarantee) *contract.Contract {
		return &contract.Contract{Workspace: name, Guarantees: guarantees}
	}
	gang := func(gangs, gang, accelerators int, a table.Adjacency) contract.Guarantee {
		return contract.Guarantee{Zone: "west", Gangs: gangs, GangSize: gang, Accelerators: accelerators, Adjacency: a}
	}
	west := []contract.Topology{{Zone: "west", Racks: []contract.Rack{
		{Name: "r1", Workers: []int{8, 8}}, {Name: "r2", Workers: []int{8, 8}},
	}}}

	DescribeTable("guarantees fit with their adjacency or are reported",
		func(contracts []*contract.Contract, want ...string) {
			findings := contract.CheckFit(west, contracts)
			Expect(findings).To(HaveLen(len(want)))
			for i, w := range want {
				Expect(findings[i].String()).To(ContainSubstring(w))
			}
		},
		Entry("exactly full", []*contract.Contract{contractWith("a", gang(2, 2, 8, table.SameRack))}),
		Entry("a gang across racks is not a rack gang", []*contract.Contract{contractWith("a", gang(1, 3, 8, table.SameRack))},
			"a: guarantees[0]: workspace a: 1 of 1 gangs of 3 x 8 accelerators (adjacency rack) do not fit zone west"),
		Entry("the same gang fits the zone", []*contract.Contract{contractWith("a", gang(1, 3, 8, table.SameZone))}),
		Entry("a gang larger than a worker", []*contract.Contract{contractWith("a", gang(1, 3, 3, table.SameWorker))}, "workspace a"),
		Entry("two contracts that fit alone but not together", []*contract.Contract{
			contractWith("a", gang(2, 2, 8, table.SameRack)), contractWith("b", gang(1, 1, 1, table.SameZone))}, "workspace b"),
		Entry("leftovers too small for a member", []*contract.Contract{
			contractWith("a", gang(4, 1, 5, table.SameZone)), contractWith("b", gang(1, 1, 4, table.SameZone))}, "workspace b"),
		Entry("small gangs do not split the capacity of large ones", []*contract.Contract{
			contractWith("a", gang(16, 1, 1, table.SameZone)), contractWith("b", gang(1, 2, 8, table.SameRack))}),
	)

	It("names the known zones when a guarantee is for an unknown zone", func() {
		c := contractWith("a", contract.Guarantee{Zone: "north", Gangs: 1, GangSize: 1, Accelerators: 1})
		Expect(texts(contract.CheckFit(west, []*contract.Contract{c}))).To(
			Equal([]string{`a: guarantees[0]: zone "north" is not known; known are west`}))
		Expect(contract.CheckFit(nil, []*contract.Contract{c})).To(BeEmpty())
	})
})

var _ = Describe("Diff", func() {
	It("states each effect once, and none for an unchanged contract", func() {
		old, _ := contract.Parse("c.yaml", []byte(validContract))
		data := strings.Replace(editContract("gangs: 2", "gangs: 3"), "queued: 500", "queued: 0", 1)
		changed, _ := contract.Parse("c.yaml", []byte(strings.Replace(data, "surplus_share: 3", "surplus_share: 0", 1)))
		Expect(contract.Diff(old, old)).To(BeEmpty())
		Expect(contract.Diff(old, changed)).To(Equal([]string{
			"The guarantee in zone west of gangs of 8 x 1 accelerators (adjacency rack) changes from 2 to 3.",
			"The share of free capacity changes from 3 to none.",
			"The limit of queued jobs in each zone changes from 500 to none.",
		}))
		Expect(contract.Diff(nil, old)).To(ContainElement(HavePrefix("Workspace screening is added")))
		Expect(contract.Diff(old, nil)).To(HaveLen(3))
	})
})
