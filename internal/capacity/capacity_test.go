package capacity

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/mustardwalk/mustardwalk/internal/replica"
	"github.com/mustardwalk/mustardwalk/internal/rpc"
)

var _ = Describe("fit", func() {
	It("finds base and slope of points on a line", func() {
		l, err := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Base).To(BeNumerically("~", 3, 1e-9))
		Expect(l.Slope).To(BeNumerically("~", 2, 1e-9))
		Expect(l.R2).To(BeNumerically("~", 1, 1e-9))
		Expect(l.At(10)).To(BeNumerically("~", 23, 1e-9))
	})

	// Expected values calculated by hand: both means are 2; the sums of products of deviations are xx = 2, xy = 1, yy = 2.
	It("reports how little a line explains scattered points", func() {
		l, err := Fit([]Point{{1, 1}, {2, 3}, {3, 2}})
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Slope).To(BeNumerically("~", 0.5, 1e-9))
		Expect(l.R2).To(BeNumerically("~", 0.25, 1e-9))
	})

	It("refuses points of a single size, which have no slope", func() {
		_, err := Fit([]Point{{3, 1}, {3, 2}})
		Expect(err).To(HaveOccurred())
	})

	It("does not divide by zero when the values are constant", func() {
		l, err := Fit([]Point{{1, 4}, {2, 4}})
		Expect(err).NotTo(HaveOccurred())
		Expect(l).To(Equal(Line{Base: 4, R2: 1}))
	})
})

var _ = Describe("process usage", func() {
	const stat = "7 (a) b) S 1 7 7 0 -1 4194560 100 0 0 0 250 150 9 9 20 0 5 0 100 1000 50"
	const status = "Name:\ta) b\nVmHWM:\t   3000 kB\nVmRSS:\t   2000 kB\n"

	// A split at spaces would count the wrong fields if the name contains a parenthesis and a space.
	It("reads the fields after a name with spaces and parentheses", func() {
		u, err := parseUsage([]byte(stat), []byte(status))
		Expect(err).NotTo(HaveOccurred())
		Expect(u).To(Equal(usage{CPUSeconds: 4, RSS: 2000 * 1024, Peak: 3000 * 1024}))
	})

	DescribeTable("refuses incomplete files instead of returning 0",
		func(stat, status string) {
			_, err := parseUsage([]byte(stat), []byte(status))
			Expect(err).To(HaveOccurred())
		},
		Entry("short stat", "7 (a) S 1", status),
		Entry("empty stat", "", status),
		Entry("no memory", stat, "Name:\ta\n"),
	)
})

var _ = Describe("metrics", func() {
	It("sums the values whose labels match", func() {
		s, err := parseSamples(strings.NewReader("# HELP x y\nx{peer=\"a\",result=\"ok\"} 3\nx{peer=\"b, }=\\\"\",result=\"ok\"} 4\n" +
			"x{peer=\"a\",result=\"failed\"} 1.5e+01\nplain 7\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.sum("x")).To(Equal(22.0))
		Expect(s.sum("x", "result", "ok")).To(Equal(7.0))
		Expect(s.sum("x", "peer", "b, }=\"")).To(Equal(4.0))
		Expect(s.sum("plain")).To(Equal(7.0))
		Expect(s.sum("absent")).To(BeZero())
	})

	DescribeTable("refuses lines that it cannot parse, because a missing counter would look like no traffic",
		func(line string) {
			_, err := parseSamples(strings.NewReader(line))
			Expect(err).To(HaveOccurred())
		},
		Entry("no value", "x"),
		Entry("value is no number", "x y"),
		Entry("labels not closed", "x{a=\"b\" 1"),
		Entry("label not quoted", "x{a=b} 1"),
	)
})

func batch(messages ...any) []byte {
	b := &rpc.Batch{From: "a1"}
	for _, m := range messages {
		data, err := cbor.Marshal(m)
		Expect(err).NotTo(HaveOccurred())
		b.Payloads = append(b.Payloads, data)
	}
	body, err := proto.Marshal(b)
	Expect(err).NotTo(HaveOccurred())
	return body
}

var _ = Describe("classification", func() {
	// The field numbers are those of internal/node. Without this test, a change there could turn all traffic into "other"
	// without being noticed.
	It("tells the kinds of messages apart", func() {
		heartbeatMessage := replica.Message{Group: "deployment", Kind: replica.MsgAppend}
		entriesMessage := replica.Message{Group: "cell/a", Kind: replica.MsgAppend, Entries: []replica.Entry{{Index: 1}}}
		messages, err := classifyBatch(batch(envelope{Replica: &heartbeatMessage}, envelope{Replica: &entriesMessage},
			map[int]any{4: map[int]int{1: 7}}, map[int]any{2: map[int]any{1: 1, 3: map[int]any{9: map[int]int{}}}},
			map[int]any{2: map[int]any{1: 1}}, map[int]any{3: map[int]int{1: 1}}, map[int]any{5: map[int]int{}}))
		Expect(err).NotTo(HaveOccurred())
		var kinds []string
		for _, m := range messages {
			Expect(m.Bytes).To(BeNumerically(">", 0))
			kinds = append(kinds, m.Kind)
		}
		Expect(kinds).To(Equal([]string{"deployment heartbeat", "cell entries", kindHello, kindReport, kindForward, kindForward, kindOther}))
	})

	It("returns an error for a body that is not a batch", func() {
		_, err := classifyBatch([]byte{0xff})
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("relay", func() {
	It("counts all bytes of the stream and classifies each request of a connection", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		})}
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
		r, err := newRelay(l.Addr().String(), classifyEndpoint)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(r.close)
		before := r.snapshot()
		for range 2 {
			response, err := http.Post("http://"+r.address()+"/beat", "text/plain", bytes.NewReader(make([]byte, 1000)))
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, response.Body)
			Expect(response.Body.Close()).To(Succeed())
		}
		Eventually(func() int { return r.snapshot().Requests }).Should(Equal(2))
		t := r.snapshot().since(before)
		Expect(t.Connections).To(Equal(1))
		Expect(t.Bodies).To(Equal(2000))
		Expect(t.Up).To(BeNumerically(">", 2100)) // Bodies and headers.
		Expect(t.Down).To(BeNumerically(">", 2100))
		Expect(t.Messages).To(HaveKeyWithValue("/beat", 2))
		Expect(t.Payload).To(HaveKeyWithValue("/beat", 2000))
	})
})

var _ = Describe("HTTP/2 frames", func() {
	frame := func(kind, flags, stream byte, payload string) string {
		return string([]byte{0, 0, byte(len(payload)), kind, flags, 0, 0, 0, stream}) + payload
	}

	// Frames of concurrent requests are interleaved; joining them in order of arrival would mix up the bodies.
	It("collects bodies by stream and skips other frames", func() {
		in := frame(4, 0, 0, "settings") + frame(1, 4, 1, "h") + frame(1, 4, 3, "h") + frame(0, 0, 1, "ab") +
			frame(0, 1, 3, "xy") + frame(0, 8|1, 1, "\x02cd..") + frame(1, 5, 5, "h")
		b := newBodyReader(strings.NewReader(in))
		for _, want := range []string{"xy", "abcd", ""} {
			body, err := b.next()
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal(want))
		}
		_, err := b.next()
		Expect(err).To(MatchError(io.EOF))
	})
})

var _ = Describe("results", func() {
	It("writes a row for each host and the means of each role", func() {
		rows := []hostRow{
			{Scenario: scenarioHosts, Size: 7, Host: "a1", Role: roleFollower, Values: map[string]float64{cpuPercent: 1}},
			{Scenario: scenarioHosts, Size: 7, Host: "a2", Role: roleFollower, Values: map[string]float64{cpuPercent: 3}},
			{Scenario: scenarioHosts, Size: 9, Host: "a1", Role: roleCellLeader, Values: map[string]float64{cpuPercent: 5}},
		}
		r := results{Rows: rows}
		Expect(byRole(rows, value(cpuPercent))).To(Equal(map[string]float64{roleFollower: 2, roleCellLeader: 5}))
		Expect(r.points(scenarioHosts, "mean of all", cpuPercent)).To(Equal([]Point{{7, 2}, {9, 5}}))
		Expect(r.points(scenarioHosts, roleFollower, cpuPercent)).To(Equal([]Point{{7, 2}}))
		folder := GinkgoT().TempDir()
		Expect(r.write(folder)).To(Succeed())
		data, err := os.ReadFile(filepath.Join(folder, "hosts.csv"))
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Split(strings.TrimSpace(string(data)), "\n")).To(HaveLen(4))
		Expect(string(data)).To(ContainSubstring("7,a2,follower,0,3,"))
	})
})
