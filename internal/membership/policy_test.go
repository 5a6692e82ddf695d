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

var _ = DescribeTable("the desired voters", func(v membership.View, want ...string) {
	v.Self = "a"
	Expect(hosts(membership.Desired(v))).To(Equal(want))
},
	Entry("stay the same if their number is the target and all answer", membership.View{Voters: three, Target: 3}, "a", "b", "c"),
	Entry("keep a silent voter if there is no candidate",
		membership.View{Voters: three, Target: 3, Silent: []string{"b"}}, "a", "b", "c"),
	Entry("keep a silent voter if the only observer has not caught up",
		membership.View{Voters: three, Target: 3, Silent: []string{"b"}, Observers: []replica.ObserverView{{Member: member("d", "z2")}}},
		"a", "b", "c"),
	Entry("replace a silent voter by an observer that has caught up",
		membership.View{Voters: three, Target: 3, Silent: []string{"b"}, Observers: []replica.ObserverView{{Member: member("d", "z2"), CaughtUp: true}}},
		"a", "c", "d"),
	Entry("replace one of two silent voters at a time",
		membership.View{Voters: three, Target: 3, Silent: []string{"b", "c"}, Observers: []replica.ObserverView{
			{Member: member("d", "z2"), CaughtUp: true}, {Member: member("e", "z3"), CaughtUp: true}}},
		"a", "c", "d"),
	Entry("always include the leader",
		membership.View{Voters: three, Target: 3, Silent: []string{"a"}, Observers: []replica.ObserverView{{Member: member("d", "z1"), CaughtUp: true}}},
		"a", "b", "c"),
	Entry("grow toward the target by one voter, in the zone with the fewest voters",
		membership.View{Voters: three, Target: 5, Observers: []replica.ObserverView{
			{Member: member("d", "z1"), CaughtUp: true}, {Member: member("e", "z4"), CaughtUp: true}}},
		"a", "b", "c", "e"),
	Entry("include no host without a disk",
		membership.View{Voters: three, Target: 5, Observers: []replica.ObserverView{{Member: replica.Member{Host: "d"}, CaughtUp: true}}},
		"a", "b", "c"),
	Entry("do not replace a voter by a later incarnation of its host",
		membership.View{Voters: three, Target: 3, Silent: []string{"b"}, Observers: []replica.ObserverView{
			{Member: replica.Member{Host: "b", Incarnation: 9, Disk: true}, CaughtUp: true}}},
		"a", "b", "c"),
)

var _ = DescribeTable("the number of voters for a number of losses", func(losses, want int) {
	Expect(membership.Target(losses)).To(Equal(want))
},
	Entry("none stated", 0, 3), Entry("one", 1, 3), Entry("two", 2, 5))
