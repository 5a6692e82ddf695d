package descriptors_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/descriptors"
)

func TestDescriptors(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Descriptors")
}

var _ = Describe("the shares of a limit", func() {
	DescribeTable("stay below the limit together", func(limit int) {
		s, err := descriptors.Split(limit)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Peers + s.Control + s.Workers).To(BeNumerically("<=", limit-128))
		for _, n := range []int{s.Peers, s.Control, s.Workers} {
			Expect(n).To(BeNumerically(">", 32))
		}
	}, Entry("smallest", descriptors.MinLimit), Entry("usual", 4124), Entry("large", 1<<20))

	It("are refused for a limit that is too low", func() {
		_, err := descriptors.Split(descriptors.MinLimit - 1)
		Expect(err).To(MatchError(ContainSubstring("at least 512")))
	})
})

var _ = Describe("a limited listener", func() {
	var l *descriptors.Listener
	var block chan struct{}

	BeforeEach(func() {
		block = make(chan struct{})
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l = descriptors.Limit(inner, 3)
		s := &http.Server{ConnState: l.Track, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				<-block
			}
		})}
		go func() { _ = s.Serve(l) }()
		DeferCleanup(func() { _ = s.Close() })
	})

	// get makes a request on a connection of its own and keeps the connection.
	get := func(path string) error {
		c := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
		r, err := c.Get("http://" + l.Addr().String() + path)
		if err == nil {
			err = r.Body.Close()
		}
		return err
	}

	It("closes the longest idle connections for new ones", func() {
		for range 20 {
			Expect(get("/")).To(Succeed())
			Expect(l.Open()).To(BeNumerically("<=", 3))
		}
		Expect(l.Evicted()).To(BeEquivalentTo(17))
	})

	It("lets a new connection wait while all are in use, and closes none of these", func() {
		answers := make(chan error, 4)
		for range 3 {
			go func() { answers <- get("/wait") }()
		}
		Eventually(l.Open).Should(Equal(3))
		go func() { answers <- get("/") }()
		Consistently(answers, 100*time.Millisecond).ShouldNot(Receive())
		close(block)
		for range 4 {
			Eventually(answers).Should(Receive(BeNil()))
		}
	})
})

var _ = Describe("a gate", func() {
	It("keeps places for short calls while long ones wait", func() {
		g := descriptors.NewGate(8)
		Expect(g.LongPlaces()).To(Equal(6))
		for range 6 {
			Expect(g.Enter(context.Background(), descriptors.Long)).To(Succeed())
		}
		brief, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		Expect(g.Enter(brief, descriptors.Long)).To(MatchError(context.DeadlineExceeded))
		Expect(g.Enter(context.Background(), descriptors.Short)).To(Succeed())
	})

	It("admits short calls before long ones, and each in the order of arrival", func() {
		g := descriptors.NewGate(2)
		Expect(g.Enter(context.Background(), descriptors.Short)).To(Succeed())
		Expect(g.Enter(context.Background(), descriptors.Short)).To(Succeed())
		order := make(chan string, 3)
		wait := func(name string, u descriptors.Urgency) {
			go func() {
				defer GinkgoRecover()
				Expect(g.Enter(context.Background(), u)).To(Succeed())
				order <- name
			}()
			time.Sleep(20 * time.Millisecond)
		}
		wait("long", descriptors.Long)
		wait("first", descriptors.Short)
		wait("second", descriptors.Short)
		for _, name := range []string{"first", "second", "long"} {
			g.Leave(descriptors.Short)
			Eventually(order).Should(Receive(Equal(name)))
		}
	})
})
