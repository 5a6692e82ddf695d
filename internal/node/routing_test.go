package node

import (
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

// newTestNode returns host a2 of zone a, in a deployment of the hosts a1 and a2.
func newTestNode(random *rand.Rand) *Node {
	peers := []Peer{{ID: "a1", Zone: "a", Address: "a1", Disk: true}, {ID: "a2", Zone: "a", Address: "a2", Disk: true}}
	return New(Settings{Self: peers[1], Peers: peers, Incarnation: 2, Replica: replica.DefaultTiming,
		Cell: cell.DefaultTiming, Random: random.Int64N}, nil, 0)
}

// forwarded returns the request that the host forwards for a caller after a hello told it that a1 leads the zone's
// cell.
func forwarded(n *Node) *forward {
	hello, err := cbor.Marshal(envelope{Hello: &hello{Leads: []replica.GroupID{CellGroup("a")}}})
	Expect(err).NotTo(HaveOccurred())
	n.Handle(0, PeerMessage{From: "a1", Payload: hello})
	outs := n.Handle(0, CallerRequest{ID: 1, Request: Request{Operator: true, Get: &GetJob{Job: "a-1"}}})
	for _, o := range outs {
		var e envelope
		if s, ok := o.(Send); ok && cbor.Unmarshal(s.Payload, &e) == nil && e.Forward != nil {
			return e.Forward
		}
	}
	return nil
}

var _ = Describe("A forwarded request", func() {
	reply := func(n *Node, id uint64) []Output {
		r := forwardReply{ID: id, Cell: &cell.Response{Job: &api.Job{ID: "a-1", Answer: &api.Answer{}}}}
		data, err := cbor.Marshal(envelope{Reply: &r})
		Expect(err).NotTo(HaveOccurred())
		return n.Handle(time.Millisecond, PeerMessage{From: "a1", Payload: data})
	}

	It("is answered by its own reply", func() {
		n := newTestNode(rand.New(rand.NewPCG(1, 1)))
		f := forwarded(n)
		Expect(f).NotTo(BeNil())
		Expect(reply(n, f.ID)).To(ContainElement(BeAssignableToTypeOf(Respond{})))
	})

	// Guards against a caller that gets the answer to another request: if identifiers began anew at a restart of the
	// host, a late reply to a request from before the restart would match a new request.
	It("is not answered by a late reply to a request from before a restart of the host", func() {
		random := rand.New(rand.NewPCG(1, 1))
		before := forwarded(newTestNode(random))
		restarted := newTestNode(random)
		Expect(forwarded(restarted)).NotTo(BeNil())
		Expect(reply(restarted, before.ID)).NotTo(ContainElement(BeAssignableToTypeOf(Respond{})))
	})
})
