// Package contract parses the contracts of workspaces from YAML, validates them, describes the differences between two
// versions, and checks whether the guarantees of all contracts fit the accelerators of each availability zone.
package contract

import (
	"strconv"
	"strings"

	"github.com/mustardwalk/mustardwalk/internal/table"
)

// Contract is what one workspace is entitled to in all availability zones.
type Contract struct {
	Workspace    string
	Guarantees   []Guarantee
	SurplusShare int // Weight in the division of free capacity; 0 means that the workspace never borrows.
	Limits       Limits
	HighestClass table.Class
	GraceSeconds int      // Time that a preempted task has to write a checkpoint.
	TokensSHA256 []string // SHA-256 digests of the caller tokens, in hexadecimal.
}

// Guarantee entitles the workspace to run Gangs gangs of one shape at once in one zone, at any time.
type Guarantee struct {
	Zone         string
	Gangs        int // Number of gangs.
	GangSize     int // Members of each gang.
	Accelerators int // Per member.
	Adjacency    table.Adjacency
	Line         int // In the contract's file, from 1.
}

// Limits apply to each zone separately. Zero means no limit.
type Limits struct {
	Queued              int
	RunningAccelerators int
	RequestsPerSecond   float64
}

// Finding is one problem in a contract, with its location.
type Finding struct {
	File    string
	Line    int // From 1; 0 if unknown.
	Field   string
	Message string
}

// String returns "file:line: field: message".
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		b.WriteString(":" + strconv.Itoa(f.Line))
	}
	b.WriteString(": ")
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Shape returns the shape of one gang of the guarantee.
func (g Guarantee) Shape() table.Shape {
	return table.Shape{Gang: g.GangSize, Accelerators: g.Accelerators, Adjacency: g.Adjacency}
}

// Total returns the number of accelerators that all gangs of the guarantee need.
func (g Guarantee) Total() int { return g.Gangs * g.GangSize * g.Accelerators }

// ForZone returns the part of the contract that concerns one zone.
func (c *Contract) ForZone(zone string, revision uint64) *table.Workspace {
	w := &table.Workspace{
		Name:         c.Workspace,
		Revision:     revision,
		SurplusShare: c.SurplusShare,
		Limits: table.Limits{
			Queued:            c.Limits.Queued,
			Running:           c.Limits.RunningAccelerators,
			RequestsPerSecond: c.Limits.RequestsPerSecond,
		},
		GraceMillis: int64(c.GraceSeconds) * 1000,
		MaxClass:    c.HighestClass,
		TokenSHA256: append([]string(nil), c.TokensSHA256...),
	}
	for _, g := range c.Guarantees {
		if g.Zone == zone {
			w.Guarantees = append(w.Guarantees, table.Guarantee{Gangs: g.Gangs, Shape: g.Shape()})
		}
	}
	return w
}

var classNames = [table.ClassCount]string{table.Urgent: "urgent", table.Standard: "standard", table.Bulk: "bulk"}

var adjacencyNames = [...]string{table.SameZone: "zone", table.SameRack: "rack", table.SameWorker: "worker"}
