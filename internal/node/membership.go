package node

import (
	"cmp"
	"slices"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// Numbers of voters of a group.
const (
	// cellVoters tolerates the failure of one host of a zone.
	cellVoters = 3
	// maxDeploymentVoters bounds the cost of a commit across regions and tolerates the failure of two zones.
	maxDeploymentVoters = 5
)

// DeploymentGroup identifies the group of the deployment-wide log.
const DeploymentGroup replica.GroupID = "deployment"

// CellGroup returns the identifier of the group of a zone's log.
func CellGroup(zone string) replica.GroupID { return replica.GroupID("cell/" + zone) }

// zonesOf returns the distinct zones of the peers, sorted.
func zonesOf(peers []Peer) []string {
	var zones []string
	for _, p := range peers {
		zones = append(zones, p.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// hostsOf returns the peers of a zone, those with a disk first, then by identifier.
func hostsOf(peers []Peer, zone string) []Peer {
	var out []Peer
	for _, p := range peers {
		if p.Zone == zone {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int {
		if a.Disk != b.Disk {
			if a.Disk {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return out
}

// DeploymentVoters returns the desired voters of the deployment log: one host with a disk from each zone, then second
// and further hosts with a disk while there are fewer than three. There are at most maxDeploymentVoters, and an odd
// number of them unless there are only two.
func DeploymentVoters(peers []Peer) []replica.Member {
	var out []replica.Member
	for rank := range len(peers) {
		if rank > 0 && len(out) >= cellVoters {
			break
		}
		out = append(out, diskHostsAtRank(peers, rank)...)
	}
	limit := min(len(out), maxDeploymentVoters)
	if limit%2 == 0 && limit > 2 {
		limit--
	}
	return out[:limit]
}

// diskHostsAtRank returns the host at position rank of each zone, if it has a disk. The order spreads them over the
// regions: first one zone of each region, then a second one of each, and so on.
func diskHostsAtRank(peers []Peer, rank int) []replica.Member {
	countByRegion := map[string]int{}
	var found []Peer
	for _, zone := range zonesOf(peers) {
		hosts := hostsOf(peers, zone)
		if rank < len(hosts) && hosts[rank].Disk {
			found = append(found, hosts[rank])
		}
	}
	rankInRegion := map[string]int{}
	for _, p := range found {
		rankInRegion[p.ID] = countByRegion[p.Region]
		countByRegion[p.Region]++
	}
	slices.SortStableFunc(found, func(a, b Peer) int { return cmp.Compare(rankInRegion[a.ID], rankInRegion[b.ID]) })
	out := make([]replica.Member, len(found))
	for i, p := range found {
		out[i] = replica.Member{Host: p.ID, Disk: true}
	}
	return out
}

// CellVoters returns the desired voters of a zone's log: up to three hosts of the zone, at most one of them without a
// disk, so that a majority has a disk. Witnesses from other zones take the remaining places.
func CellVoters(peers []Peer, zone string) []replica.Member {
	var out []replica.Member
	for _, p := range hostsOf(peers, zone) {
		if len(out) == cellVoters {
			break
		}
		if !p.Disk && countDiskless(out) == (cellVoters-1)/2 {
			break
		}
		out = append(out, replica.Member{Host: p.ID, Disk: p.Disk})
	}
	for _, w := range witnesses(peers, zone) {
		if len(out) >= cellVoters {
			break
		}
		out = append(out, w)
	}
	return out
}

func countDiskless(members []replica.Member) int {
	n := 0
	for _, m := range members {
		if !m.Disk {
			n++
		}
	}
	return n
}

// witnesses returns candidates for witnesses of a zone's log: one host with a disk from each other zone, zones of the
// same region first, and otherwise in the cyclic order of zones that begins after this zone.
func witnesses(peers []Peer, zone string) []replica.Member {
	zones := zonesOf(peers)
	ownIndex := slices.Index(zones, zone)
	var sameRegion, otherRegions []replica.Member
	for i := 1; i < len(zones); i++ {
		hosts := hostsOf(peers, zones[(ownIndex+i)%len(zones)])
		if !hosts[0].Disk {
			continue
		}
		w := replica.Member{Host: hosts[0].ID, Disk: true, Witness: true}
		if hosts[0].Region == regionOf(peers, zone) {
			sameRegion = append(sameRegion, w)
			continue
		}
		otherRegions = append(otherRegions, w)
	}
	return append(sameRegion, otherRegions...)
}

func regionOf(peers []Peer, zone string) string {
	for _, p := range peers {
		if p.Zone == zone {
			return p.Region
		}
	}
	return ""
}

// initialConfig returns the configuration from which a new group starts: its desired voters with a disk.
func initialConfig(desired []replica.Member) replica.Config {
	var c replica.Config
	for _, m := range desired {
		if !m.Disk {
			continue
		}
		m.Incarnation = replica.FoundingIncarnation
		c.Voters = append(c.Voters, m)
	}
	return c
}
