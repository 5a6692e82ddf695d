package test

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/api"
)

// lossyTransport is a transport that loses the answer to one in lossPeriod PUT requests, after the request was executed.
type lossyTransport struct {
	http.RoundTripper
	lossPeriod int64
	putCount   atomic.Int64
	lost       atomic.Int64
}

func (t *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(r)
	if err == nil && r.Method == http.MethodPut && t.putCount.Add(1)%t.lossPeriod == 0 {
		response.Body.Close()
		t.lost.Add(1)
		return nil, errors.New("the answer was lost")
	}
	return response, err
}

var _ = Describe("Racing operators", func() {
	// Guards against two accepted changes of one revision, and against a resent command that is executed twice.
	It("that expect the same revision have one winner, also when answers are lost", func(ctx SpecContext) {
		const operators, rounds = 4, 8
		c := newCluster(sevenHosts())
		c.startAll(ctx)
		c.applyFirst(ctx, "court")
		t := &lossyTransport{RoundTripper: &http.Transport{}, lossPeriod: 3}
		won := 0
		for round := range rounds {
			current, err := c.operator().Contract(ctx, "court")
			Expect(err).NotTo(HaveOccurred())
			var group sync.WaitGroup
			var mu sync.Mutex
			var winners []uint64
			for o := range operators {
				client := c.client(operatorToken, c.servers(round+2*o), t)
				group.Go(func() {
					defer GinkgoRecover()
					result, err := c.apply(ctx, client, "court", contract("court", 2+round*operators+o, 2), api.Command{Expected: &current.Revision})
					if err != nil {
						var refused *api.Error
						Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
						Expect(refused.Code).To(Equal(api.CodeConflict), "%v %v", refused, refused.Findings)
						Expect(refused.Status).To(Equal(http.StatusConflict))
						return
					}
					mu.Lock()
					defer mu.Unlock()
					winners = append(winners, result.Revision)
				})
			}
			group.Wait()
			Expect(winners).To(HaveLen(1), "winners of revision %d", current.Revision)
			won++
		}
		AddReportEntry("races", fmt.Sprintf("%d races of %d operators, %d lost answers", won, operators, t.lost.Load()))
		Expect(t.lost.Load()).To(BeNumerically(">", 0))
		c.stopAndCheck()
	}, SpecTimeout(time.Minute))
})
