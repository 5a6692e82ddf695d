package membership_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/membership"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

func member(host, zone string) replica.Member {
	return replica.Member{Host: host, Incarnation: 1, Disk: true, Zone: zone}
}

func hosts(members []replica.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.Host)
	}
	return out
}

var three = []replica.Member{member("a", "z1"), member("b", "z2"), member("c", "z3")}

var _ = DescribeTable("the hosts that should vote", func(v membership.View, want ...string) {
	v.Self = "a"
	Expect(hosts(membership.Desired(v))).To(Equal(want))
},
	Entry("stay, when nothing is to change", membership.View{Voters: three, Target: 3}, "a", "b", "c"),
	Entry("stay, when a voter is silent and nobody can take its place",
		membership.View{Voters: three, Target: 3, Silent: []string{"b"}}, "a", "b", "c"),
	Entry("stay, when the only candidate has not caught up",
		membership.View{Voters: three, Target: 3, Silent: []string{"b"}, Observers: []replica.ObserverView{{Member: member("d", "z2")}}},
		"a", "b", "c"),
	Entry("exchange a silent voter for a host that has caught up",
		membership.View{Voters: three, Target: 3, Silent: []string{"b"}, Observers: []replica.ObserverView{{Member: member("d", "z2"), CaughtUp: true}}},
		"a", "c", "d"),
	Entry("exchange one of two silent voters at a time",
		membership.View{Voters: three, Target: 3, Silent: []string{"b", "c"}, Observers: []replica.ObserverView{
			{Member: member("d", "z2"), CaughtUp: true}, {Member: member("e", "z3"), CaughtUp: true}}},
		"a", "c", "d"),
	Entry("never lose the leader itself",
		membership.View{Voters: three, Target: 3, Silent: []string{"a"}, Observers: []replica.ObserverView{{Member: member("d", "z1"), CaughtUp: true}}},
		"a", "b", "c"),
	Entry("grow to the target by one, in the zone with the fewest voters",
		membership.View{Voters: three, Target: 5, Observers: []replica.ObserverView{
			{Member: member("d", "z1"), CaughtUp: true}, {Member: member("e", "z4"), CaughtUp: true}}},
		"a", "b", "c", "e"),
	Entry("do not take a host without a disk",
		membership.View{Voters: three, Target: 5, Observers: []replica.ObserverView{{Member: replica.Member{Host: "d"}, CaughtUp: true}}},
		"a", "b", "c"),
	Entry("leave a later incarnation of a voter's host to the replica",
		membership.View{Voters: three, Target: 3, Silent: []string{"b"}, Observers: []replica.ObserverView{
			{Member: replica.Member{Host: "b", Incarnation: 9, Disk: true}, CaughtUp: true}}},
		"a", "b", "c"),
)

var _ = DescribeTable("the number of voters that bears a number of losses", func(losses, want int) {
	Expect(membership.Target(losses)).To(Equal(want))
},
	Entry("none stated", 0, 3), Entry("one", 1, 3), Entry("two", 2, 5))
