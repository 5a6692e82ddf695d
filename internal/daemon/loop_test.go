package daemon

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/endpoint"
	"github.com/mustardwalk/mustardwalk/internal/history"
	"github.com/mustardwalk/mustardwalk/internal/httpapi"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

var _ = Describe("Writer", func() {
	var store *fakeStore
	var out *inputRecorder
	var w *writer
	var stop context.CancelFunc
	var ended chan error

	start := func() {
		out = &inputRecorder{}
		own, end := newWriter(store, out.push, newMetrics()), make(chan error, 1)
		ctx, cancel := context.WithCancel(context.Background())
		w, ended, stop = own, end, cancel
		go func() { end <- own.run(ctx) }()
		DeferCleanup(cancel)
	}

	record := func(group string) []replica.Record { return []replica.Record{{Group: replica.GroupID(group)}} }

	It("combines the outputs that wait during a slow sync into one write and reports the last sequence number", func() {
		store = &fakeStore{block: make(chan struct{})}
		start()
		w.queue.put(node.Persist{Seq: 1, Records: record("a")})
		Eventually(w.queue.len).Should(BeZero())
		for i, g := range []string{"b", "c", "d"} {
			w.queue.put(node.Persist{Seq: uint64(i + 2), Records: record(g)})
		}
		Expect(out.all()).To(BeEmpty(), "nothing is reported before its sync")
		store.block <- struct{}{}
		store.block <- struct{}{}
		Eventually(out.all).Should(Equal([]node.Input{node.Persisted{Seq: 1}, node.Persisted{Seq: 4}}))
		Expect(store.appended()).To(Equal([][]replica.Record{record("a"), append(append(record("b"), record("c")...), record("d")...)}))
	})

	It("keeps the order around a replacement of the file", func() {
		store = &fakeStore{block: make(chan struct{}, 2)}
		start()
		w.queue.put(node.Persist{Seq: 1, Records: record("a")})
		Eventually(w.queue.len).Should(BeZero())
		w.queue.put(node.Persist{Seq: 2, Records: record("b")})
		w.queue.put(node.Persist{Seq: 3, Records: record("all"), Replace: true})
		w.queue.put(node.Persist{Seq: 4, Records: record("c")})
		close(store.block)
		Eventually(out.all).Should(Equal([]node.Input{node.Persisted{Seq: 1}, node.Persisted{Seq: 2}, node.Persisted{Seq: 3}, node.Persisted{Seq: 4}}))
		Expect(store.replaced).To(Equal(1))
	})

	It("asks once for a compaction when the file exceeds 8 MiB and four times its size after the last one", func() {
		store = &fakeStore{}
		start()
		write := func(seq uint64, size int64, replace bool) {
			store.setSize(size)
			before := len(out.all())
			w.queue.put(node.Persist{Seq: seq, Replace: replace})
			Eventually(func() int { return len(out.all()) }).Should(BeNumerically(">", before))
		}
		write(1, 8<<20, false)
		write(2, 8<<20+1, false)
		Eventually(out.all).Should(ContainElement(node.Compact{}))
		write(3, 9<<20, false)
		write(4, 3<<20, true)
		write(5, 12<<20, false)
		write(6, 12<<20+1, false)
		Eventually(out.all).Should(Equal([]node.Input{node.Persisted{Seq: 1}, node.Persisted{Seq: 2}, node.Compact{}, node.Persisted{Seq: 3},
			node.Persisted{Seq: 4}, node.Persisted{Seq: 5}, node.Persisted{Seq: 6}, node.Compact{}}))
	})

	It("does not use the store again after a failed sync", func() {
		store = &fakeStore{fail: true}
		start()
		w.queue.put(node.Persist{Seq: 1})
		Eventually(out.all).Should(Equal([]node.Input{node.PersistFailed{Seq: 1, Cause: errSync.Error()}}))
		w.queue.put(node.Persist{Seq: 2})
		Consistently(out.all, "50ms").Should(HaveLen(1))
		stop()
		Eventually(ended).Should(Receive(MatchError(ContainSubstring(errSync.Error()))))
		Expect(store.afterFailed).To(BeZero())
	})
})

var _ = Describe("Event loop", func() {
	var core *fakeCore
	var l *loop
	var b *backend

	build := func() {
		l = newLoop(core, time.Now(), logr.Discard(), newMetrics())
		b = &backend{loop: l, waiters: newWaiters()}
		events, err := newEventRecorder("a1", "", logr.Discard())
		Expect(err).NotTo(HaveOccurred())
		l.out = outputHandlers{waiters: b.waiters, history: events}
	}

	run := func() (stop func() error) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- l.run(ctx) }()
		return func() error {
			cancel()
			return <-ended
		}
	}

	BeforeEach(func() {
		core = &fakeCore{}
		build()
	})

	It("sends ticks, and without a data folder reports writes as synced at once", func() {
		ticks := 0
		core.answer = func(in node.Input) []node.Output {
			switch in.(type) {
			case node.Tick:
				ticks++
			case node.Compact:
				return []node.Output{node.Persist{Seq: 8}, node.Persist{Seq: 9}}
			}
			return nil
		}
		stop := run()
		Expect(l.push(context.Background(), node.Compact{})).To(Succeed())
		Eventually(core.inputs).Should(Equal([]node.Input{node.Compact{}, node.Persisted{Seq: 8}, node.Persisted{Seq: 9}}))
		time.Sleep(4 * node.TickPeriod)
		Expect(stop()).To(MatchError(context.Canceled))
		Expect(ticks).To(BeNumerically(">=", 2))
	})

	It("matches responses that come in another order with their requests", func() {
		var first []node.Output
		core.answer = func(in node.Input) []node.Output {
			q, isRequest := in.(node.CallerRequest)
			if !isRequest {
				return nil
			}
			own := node.Respond{ID: q.ID, Response: node.Response{Body: q.Request.Get.Job}}
			if first == nil {
				first = []node.Output{own}
				return nil
			}
			return append([]node.Output{own}, first...)
		}
		defer run()()
		answers := make(chan bool, 2)
		for _, job := range []string{"j1", "j2"} {
			go func() {
				r, err := b.Ask(context.Background(), node.Request{Get: &node.GetJob{Job: job}})
				answers <- err == nil && r.Body == job
			}()
		}
		Eventually(answers).Should(Receive(BeTrue()))
		Eventually(answers).Should(Receive(BeTrue()))
	})

	// Guards against a history in which a lease seems to end after the next one began: the message that allows the next
	// election is sent before the end of the lease is written.
	It("records events with the time of the input that caused them", func() {
		path := filepath.Join(GinkgoT().TempDir(), "history")
		events, err := newEventRecorder("a1", path, logr.Discard())
		Expect(err).NotTo(HaveOccurred())
		l.out.history = events
		core.answer = func(node.Input) []node.Output {
			return []node.Output{node.RecordEvent{Event: history.Event{Kind: history.LeaseGranted}}, node.RecordEvent{Event: history.Event{Kind: history.LeaseEnded}}}
		}
		before := time.Now().UnixNano()
		Expect(l.handle(node.Compact{})).To(Succeed())
		Expect(events.close()).To(Succeed())
		written, err := os.Open(path)
		Expect(err).NotTo(HaveOccurred())
		defer written.Close()
		list, err := history.Read(written)
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(HaveLen(2))
		Expect(list[1].Time).To(Equal(list[0].Time))
		Expect(list[0].Time).To(BeNumerically(">=", before))
	})

	// Guards against a lease that seems to end when the host notices it, because the process got no processor before.
	It("records an event that has a time on the core's clock with this time", func() {
		path := filepath.Join(GinkgoT().TempDir(), "history")
		events, err := newEventRecorder("a1", path, logr.Discard())
		Expect(err).NotTo(HaveOccurred())
		l.out.history = events
		l.start = l.start.Add(-time.Minute)
		core.answer = func(node.Input) []node.Output {
			return []node.Output{node.RecordEvent{Event: history.Event{Time: int64(7 * time.Second), Kind: history.LeaseEnded}}}
		}
		Expect(l.handle(node.Compact{})).To(Succeed())
		Expect(events.close()).To(Succeed())
		written, err := os.Open(path)
		Expect(err).NotTo(HaveOccurred())
		defer written.Close()
		list, err := history.Read(written)
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(HaveLen(1))
		Expect(time.Unix(0, list[0].Time)).To(BeTemporally("~", l.start.Add(7*time.Second), time.Millisecond))
	})

	// Guards against a withdrawal that reaches the core before its request: the core would keep the request for ever.
	It("tells the core that a caller hung up only if the core has seen the request", func() {
		gone, hangUp := context.WithCancel(context.Background())
		hangUp()
		_, err := b.Ask(gone, node.Request{List: &node.ListJobs{}})
		Expect(err).To(MatchError(httpapi.ErrOverloaded))
		stop := run()
		ctx, hangUp := context.WithCancel(context.Background())
		asked := make(chan error, 1)
		go func() {
			_, err := b.Ask(ctx, node.Request{Dump: &node.GetDump{}})
			asked <- err
		}()
		Eventually(core.inputs).Should(HaveLen(1))
		hangUp()
		Eventually(asked).Should(Receive(MatchError(context.Canceled)))
		Eventually(core.inputs).Should(Equal([]node.Input{node.CallerRequest{ID: 2, Request: node.Request{Dump: &node.GetDump{}}}, node.CallerGone{ID: 2}}))
		Expect(stop()).To(HaveOccurred())
		Expect(b.waiters.len()).To(BeZero())
	})

	It("refuses requests when too many wait, and handles urgent inputs first", func() {
		for l.offer(node.EndpointReport{}) {
		}
		_, err := b.Ask(context.Background(), node.Request{List: &node.ListJobs{}})
		Expect(err).To(MatchError(httpapi.ErrOverloaded))
		_, err = b.Report(context.Background(), cell.Report{Leaving: &endpoint.Leaving{}})
		Expect(err).To(MatchError(httpapi.ErrOverloaded))
		for i := range turnsPerRequest {
			Expect(l.push(context.Background(), node.Persisted{Seq: uint64(i)})).To(Succeed())
		}
		defer run()()
		Eventually(func() int { return len(core.inputs()) }).Should(Equal(requestCapacity + turnsPerRequest))
		isRequest := []bool{}
		for _, in := range core.inputs()[:turnsPerRequest+2] {
			_, is := in.(node.EndpointReport)
			isRequest = append(isRequest, is)
		}
		Expect(isRequest[0]).To(BeTrue(), "one request goes first in turnsPerRequest turns")
		Expect(isRequest[1:turnsPerRequest]).NotTo(ContainElement(true))
	})

	It("distinguishes requests that the core never saw from those that it did not answer", func() {
		core.answer = func(in node.Input) []node.Output {
			if _, isStop := in.(node.Stop); isStop {
				return []node.Output{node.Halt{Planned: true}}
			}
			return nil
		}
		ended := make(chan error, 1)
		go func() { ended <- l.run(context.Background()) }()
		asked := make(chan error, 1)
		go func() {
			_, err := b.Ask(context.Background(), node.Request{List: &node.ListJobs{}})
			asked <- err
		}()
		Eventually(core.inputs).Should(HaveLen(1))
		Expect(l.push(context.Background(), node.Stop{})).To(Succeed())
		Eventually(asked).Should(Receive(MatchError(httpapi.ErrStopped)))
		Expect(<-ended).To(MatchError(errHalted))
		_, err := b.Ask(context.Background(), node.Request{List: &node.ListJobs{}})
		Expect(err).To(MatchError(httpapi.ErrNotPassed))
		b.waiters.close()
		_, err = b.Report(context.Background(), cell.Report{})
		Expect(err).To(MatchError(httpapi.ErrNotPassed))
		Expect(errors.Is(l.push(context.Background(), node.Tick{}), errHalted) || len(l.urgent) > 0).To(BeTrue())
	})
})
