// Package membership decides which hosts should be voters of a replicated log, from what its leader observes.
package membership

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// View is the state of a group as its leader observes it.
type View struct {
	Self      string // Host of the leader.
	Voters    []replica.Member
	Observers []replica.ObserverView
	Silent    []string // Hosts of voters that have not answered for a long time.
	Target    int      // Number of voters that the group should have.
}

// Target returns how many voters a group needs to keep a quorum when a number of hosts with a disk is lost at once.
func Target(losses int) int { return 2*max(1, losses) + 1 }

// Desired returns the members that should be voters. It differs from the present voters by at most one addition and one
// removal, so that the change itself never costs the group its quorum.
func Desired(v View) []replica.Member {
	present := slices.Clone(v.Voters)
	ready := candidates(v)
	if len(ready) == 0 {
		return present
	}
	if len(present) < v.Target {
		return append(present, bestCandidate(ready, present))
	}
	for _, host := range v.Silent {
		i := slices.IndexFunc(present, func(m replica.Member) bool { return m.Host == host })
		if i < 0 || host == v.Self {
			continue
		}
		rest := slices.Delete(slices.Clone(present), i, i+1)
		return append(rest, bestCandidate(ready, rest))
	}
	return present
}

// candidates returns the observers that may become voters: those that have caught up, have a disk, and are on a host
// without a voter. A voter on the same host is left out, because package replica itself replaces a voter by a later
// incarnation of its host.
func candidates(v View) []replica.Member {
	var out []replica.Member
	for _, o := range v.Observers {
		votes := slices.ContainsFunc(v.Voters, func(m replica.Member) bool { return m.Host == o.Member.Host })
		if o.CaughtUp && o.Member.Disk && !votes {
			out = append(out, o.Member)
		}
	}
	return out
}

// bestCandidate returns the candidate whose availability zone has the fewest voters.
func bestCandidate(ready, voters []replica.Member) replica.Member {
	inZone := map[string]int{}
	for _, m := range voters {
		if m.Zone != "" {
			inZone[m.Zone]++
		}
	}
	return slices.MinFunc(ready, func(a, b replica.Member) int {
		return cmp.Or(cmp.Compare(inZone[a.Zone], inZone[b.Zone]), cmp.Compare(a.Host, b.Host))
	})
}
