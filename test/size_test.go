package test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
	"github.com/mustardwalk/mustardwalk/internal/standin"
)

var _ = Describe("A long log", func() {
	// Guards against a restart whose time grows with the entries since the last snapshot.
	It("is read within 3 s at a restart", func(ctx SpecContext) {
		entries, readyWithin := 2000.0, 3*time.Second
		if long() {
			entries = 20000
		}
		c := newCluster(threeHosts())
		c.startAll(ctx)
		c.applyFirst(ctx, "court")
		applied := func(id string) (float64, error) {
			return c.metric(id, `mustardwalk_core_group_applied_index{group="cell/a"}`)
		}
		l := c.startLoad(&load{name: "entries", workspace: "court", request: func(int) (api.JobRequest, standin.Request) {
			return api.JobRequest{Zone: "a"}, standin.Request{RunMillis: 1}
		}}, 16)
		Eventually(applied).WithArguments("a1").WithTimeout(2 * time.Minute).Should(BeNumerically(">=", entries))
		l.finish()
		before, err := applied("a1")
		Expect(err).NotTo(HaveOccurred())
		size := c.sizeOfRecords("a1")
		c.kill("a1")
		began := time.Now()
		c.start("a1")
		c.awaitReady("a1")
		ready := time.Since(began)
		AddReportEntry("restart", fmt.Sprintf("%.0f entries, %d bytes: ready after %v", before, size, ready.Round(time.Millisecond)))
		Expect(ready).To(BeNumerically("<=", readyWithin))
		Eventually(applied).WithArguments("a1").Should(BeNumerically(">=", before))
		expectOneAnswerEach(c.stopAndCheck())
	}, SpecTimeout(3*time.Minute))
})
