package contract_test

import (
	"testing"

	"github.com/mustardwalk/mustardwalk/internal/contract"
)

// FuzzParse guards against a panic, and against a contract that is accepted although it has findings or values out of
// bounds. Seed inputs are in testdata/fuzz.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validContract))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, findings := contract.Parse("c.yaml", data)
		if (c == nil) == (len(findings) == 0) {
			t.Fatalf("contract %v with findings %v", c, findings)
		}
		for _, finding := range findings {
			if finding.Line < 1 || finding.Message == "" {
				t.Fatalf("finding without place or message: %+v", finding)
			}
		}
		if c == nil {
			return
		}
		for _, g := range c.Guarantees {
			if g.Zone == "" || g.Gangs < 1 || g.GangSize < 1 || g.Accelerators < 1 {
				t.Fatalf("accepted guarantee %+v", g)
			}
		}
		topology := contract.Topology{Zone: "west", Racks: []contract.Rack{{Name: "r", Workers: []int{8, 8, 8}}}}
		contract.CheckFit([]contract.Topology{topology}, []*contract.Contract{c})
	})
}
