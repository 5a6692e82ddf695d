package descriptors_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/descriptors"
	"github.com/mustardwalk/mustardwalk/internal/intake"
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
		handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // Fails if the connection is closed.
			if r.URL.Path == "/wait" {
				<-block
			}
		})
		s := &http.Server{ConnState: l.Track, ConnContext: l.ConnContext, Handler: l.Handler(handler, intake.NewBudget(1<<20))}
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
		Consistently(answers, 700*time.Millisecond).ShouldNot(Receive())
		close(block)
		for range 4 {
			Eventually(answers).Should(Receive(BeNil()))
		}
	})
})

var _ = Describe("half requests", func() {
	// half opens connections that send a text and nothing more.
	half := func(address string, n int, text string) []net.Conn {
		var out []net.Conn
		for range n {
			c, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			_, err = io.WriteString(c, text)
			Expect(err).NotTo(HaveOccurred())
			out = append(out, c)
		}
		return out
	}
	serve := func(connections int, budget *intake.Budget, handler http.HandlerFunc) string {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := descriptors.Limit(inner, connections)
		s := &http.Server{ConnState: l.Track, ConnContext: l.ConnContext, Handler: l.Handler(handler, budget), ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = s.Serve(l) }()
		DeferCleanup(func() { _ = s.Close() })
		return l.Addr().String()
	}
	readAll := func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}

	DescribeTable("do not keep a whole request from being answered", func(text string) {
		address := serve(8, intake.NewBudget(1<<20), readAll)
		half(address, 20, text)
		client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		for range 3 {
			resp, err := client.Post("http://"+address, "text/plain", strings.NewReader("whole"))
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
	},
		Entry("nothing was sent", ""),
		Entry("an incomplete header", "POST / HTTP/1.1\r\nHo"),
		Entry("an incomplete body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nx"),
		Entry("chunks without an end", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"),
	)

	It("keep no more memory than there is for requests, and yield it to a whole one", func() {
		budget := intake.NewBudget(1 << 20)
		address := serve(100, budget, readAll)
		text := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 299_999)
		half(address, 20, text)
		Eventually(budget.Used).Should(BeNumerically(">", 700_000))
		Consistently(budget.Used, 200*time.Millisecond).Should(BeNumerically("<=", 1<<20))
		resp, err := http.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", 900_000)))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})

	It("do not cut whole requests that are being answered; more than there is memory for is refused", func() {
		budget, block := intake.NewBudget(1<<20), make(chan struct{})
		address := serve(100, budget, func(w http.ResponseWriter, r *http.Request) {
			readAll(w, r)
			if r.URL.Path == "/wait" {
				<-block
			}
		})
		first := make(chan int, 1)
		post := func(path string) int {
			resp, err := http.Post("http://"+address+path, "text/plain", strings.NewReader(strings.Repeat("x", 900_000)))
			if err != nil {
				return 0
			}
			_ = resp.Body.Close()
			return resp.StatusCode
		}
		go func() { first <- post("/wait") }()
		Eventually(budget.Used).Should(BeNumerically(">=", 900_000))
		time.Sleep(50 * time.Millisecond)
		Expect(post("/")).To(Or(Equal(http.StatusServiceUnavailable), Equal(0)))
		close(block)
		Eventually(first).Should(Receive(Equal(http.StatusOK)))
		Eventually(budget.Used).Should(BeZero())
	})

	It("gives an answer that is not read to another caller's request", func() {
		budget, written := intake.NewBudget(1<<20), make(chan struct{}, 10)
		address := serve(100, budget, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/large" {
				readAll(w, r)
				return
			}
			Expect(intake.Answer(r.Context(), 900_000)).To(Succeed())
			_, _ = w.Write(make([]byte, 64<<20)) // Blocks until the connection is closed.
			written <- struct{}{}
		})
		half(address, 1, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
		Eventually(budget.Used).Should(BeNumerically(">=", 900_000))
		resp, err := http.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", 900_000)))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Eventually(written).Should(Receive())
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
