package contract

import (
	"fmt"
	"slices"
	"strings"

	"github.com/mustardwalk/mustardwalk/internal/system/packing"
	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Topology lists the workers of one availability zone by rack.
type Topology struct {
	Zone  string
	Racks []Rack
	// Partial is set while the leader of the zone may not know all workers yet.
	Partial bool
}

// Rack is a group of adjacent workers.
type Rack struct {
	Name    string
	Workers []int // Accelerators per worker.
}

// CheckFit reports the guarantees that cannot be packed into their zones together with all others and with the
// adjacency that they ask for. Nil topologies mean that the workers of the zones are not known yet; then nothing is
// reported. A finding has the line of the guarantee, its index as the field ("guarantees[0]") and the workspace as the
// file.
func CheckFit(topologies []Topology, contracts []*Contract) []Finding {
	if topologies == nil {
		return nil
	}
	findings := unknownZones(topologies, contracts)
	for _, t := range topologies {
		findings = append(findings, checkZone(t, contracts)...)
	}
	return findings
}

func unknownZones(topologies []Topology, contracts []*Contract) []Finding {
	var known []string
	for _, t := range topologies {
		known = append(known, t.Zone)
	}
	slices.Sort(known)
	var findings []Finding
	for _, c := range contracts {
		for i, g := range c.Guarantees {
			if slices.Contains(known, g.Zone) {
				continue
			}
			message := fmt.Sprintf("zone %q is not known; known are %s", g.Zone, strings.Join(known, ", "))
			findings = append(findings, newFinding(c, i, message))
		}
	}
	return findings
}

// guaranteeRef identifies the guarantee that a gang belongs to.
type guaranteeRef struct {
	contract *Contract
	index    int
}

func checkZone(t Topology, contracts []*Contract) []Finding {
	var gangs []table.Shape
	var owners []guaranteeRef
	for _, c := range contracts {
		for i, g := range c.Guarantees {
			if g.Zone != t.Zone {
				continue
			}
			for range g.Gangs {
				gangs = append(gangs, g.Shape())
				owners = append(owners, guaranteeRef{c, i})
			}
		}
	}
	bins, total := t.bins()
	result := packing.Pack(bins, gangs)
	if result.UnplacedGangs == 0 {
		return nil
	}
	missing := map[guaranteeRef]int{}
	for i, members := range result.Members {
		if members == nil {
			missing[owners[i]]++
		}
	}
	return zoneFindings(t.Zone, total, owners, missing)
}

func zoneFindings(zone string, total int, owners []guaranteeRef, missing map[guaranteeRef]int) []Finding {
	var findings []Finding
	for i, o := range owners {
		if i > 0 && owners[i-1] == o || missing[o] == 0 {
			continue
		}
		g := o.contract.Guarantees[o.index]
		message := fmt.Sprintf("workspace %s: %d of %d gangs of %d x %d accelerators (adjacency %s) do not fit zone %s "+
			"together with all other guarantees; the zone has %d accelerators",
			o.contract.Workspace, missing[o], g.Gangs, g.GangSize, g.Accelerators, adjacencyNames[g.Adjacency], zone, total)
		findings = append(findings, newFinding(o.contract, o.index, message))
	}
	return findings
}

func newFinding(c *Contract, guarantee int, message string) Finding {
	field := fmt.Sprintf("guarantees[%d]", guarantee)
	return Finding{File: c.Workspace, Line: c.Guarantees[guarantee].Line, Field: field, Message: message}
}

// bins returns the workers as bins for packing, and the number of all their accelerators. A worker has a slot for each
// accelerator.
func (t Topology) bins() ([]packing.Bin, int) {
	var bins []packing.Bin
	total := 0
	for i, r := range t.Racks {
		for _, n := range r.Workers {
			bins = append(bins, packing.Bin{Rack: i, Free: n, Slots: n})
			total += n
		}
	}
	return bins, total
}
