// Package membership decides which hosts vote in a replicated log, from what its leader observes.
package membership

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// View is what the leader observes.
type View struct {
	Self      string
	Voters    []replica.Member
	Observers []replica.ObserverView
	Silent    []string // Hosts of voters that have been silent for long.
	Target    int      // How many voters the group is to have.
}

// Target returns how many voters bear the loss of a number of hosts with a disk.
func Target(losses int) int { return 2*max(1, losses) + 1 }

// Desired returns the hosts that should vote. It differs from the present voters by at most one addition and one removal,
// so that the group never loses a quorum through the change itself.
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

// candidates returns the observers that could vote: caught up, with a disk, on hosts that do not vote. The replica
// itself exchanges a voter for a later incarnation of the same host.
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

// bestCandidate returns the candidate whose zone has the fewest voters.
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
