package node

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/replica"
)

var _ = Describe("timing of groups", func() {
	It("makes heartbeats less frequent in the deployment group only", func() {
		Expect(timingOf("", replica.DefaultTiming).Heartbeat).To(Equal(250 * time.Millisecond))
		Expect(timingOf("a", replica.DefaultTiming)).To(Equal(replica.DefaultTiming))
	})

	// A lease shorter than two heartbeats would end whenever one round is lost, and a lease shorter than one heartbeat
	// in every round.
	It("keeps the lease at least twice the heartbeat where the settings do", func() {
		for _, lease := range []time.Duration{20, 100, 400, 600, 2000} {
			t := replica.DefaultTiming
			t.Lease = lease * time.Millisecond
			t.Heartbeat = t.Lease / 4
			changed := timingOf("", t)
			Expect(changed.Lease).To(BeNumerically(">=", 2*changed.Heartbeat))
			Expect(changed.Heartbeat).To(BeNumerically(">=", t.Heartbeat))
		}
	})
})
