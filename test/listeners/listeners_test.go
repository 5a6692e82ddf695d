package listeners

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/mustardwalk/mustardwalk/internal/rpc"
	"github.com/mustardwalk/mustardwalk/internal/service"
	"github.com/mustardwalk/mustardwalk/internal/standin/fleet"
)

const (
	queuePath = "/q/00000000000000aa"
	noPath    = "/nowhere/00000000000000aa"
	// bodyBytes is the size of bodies of legal size at the front. The configurations allow 262,144.
	bodyBytes = 240_000
	// emptyObjects fill bodyBytes.
	emptyObjects = bodyBytes / 3
	// reportBytes is the largest report of a worker.
	reportBytes = 4 << 20
	specLimit   = 60 * time.Second
)

// longBody returns a job of a size with one long text.
func longBody(bytes int) string {
	const before, after = `{"spec":"work=10","other":"`, `","steps":[{"count":1,"cpu":1}]}`
	return before + strings.Repeat("x", bytes-len(before)-len(after)) + after
}

// shortOfEnd returns a request without its last bytes.
func shortOfEnd(request string) string { return request[:len(request)-3] }

// partBodies returns acts that send bodies of legal size in one piece, in small pieces and in chunks, most of them just short of
// their end.
func partBodies(method, path, body string) act {
	whole, pieces := request(method, path, body), max(1, len(body)/100)
	return inTurn(sends(shortOfEnd(whole)), inPieces(shortOfEnd(whole), pieces, 5*time.Millisecond), sends(shortOfEnd(chunked(method, path, body, 8<<10))),
		sends(shortOfEnd(chunked(method, path, body, 1))), asks(whole))
}

// endless returns an act that sends a body far over all limits.
func endless(method, path string) act {
	return floods(head(method, path, "Content-Length: 1000000000\r\n\r\n"))
}

const peerCall = "/twirp/mustardwalk.rpc.Domain/Call"

// peerMessage returns a request at the listener for other hosts.
func peerMessage(path string, m proto.Message) string {
	data, err := proto.Marshal(m)
	Expect(err).NotTo(HaveOccurred())
	return head(http.MethodPost, path, fmt.Sprintf("Content-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n", len(data))) + string(data)
}

var _ = Describe("misbehaving clients", Serial, func() {
	var d *deployment
	BeforeEach(func() { d = startDeployment(1) })

	// Guards against headers that are not counted: a field of 6 bytes takes some hundred in memory.
	DescribeTable("with headers of tiny fields that stay open", func(where func() map[string]act) {
		crowds(d, where())
		d.expectSound()
	},
		Entry("at the front", func() map[string]act { return map[string]act{d.front: sends(tinyFields("POST", queuePath))} }),
		Entry("at the front, without a route", func() map[string]act { return map[string]act{d.front: sends(tinyFields("GET", noPath))} }),
		Entry("at control", func() map[string]act { return map[string]act{d.control: sends(tinyFields("PUT", "/config"))} }),
		Entry("at peers", func() map[string]act { return map[string]act{d.peers: sends(tinyFields("POST", peerCall))} }),
		Entry("at readiness and metrics", func() map[string]act {
			return map[string]act{
				d.ready: sends(tinyFields("GET", "/ready")), d.entryMetrics: sends(tinyFields("GET", "/metrics")), d.coreMetrics: sends(tinyFields("GET", noPath)),
			}
		}),
		Entry("at the front and control, complete, with bodies that do not come", func() map[string]act {
			const body = "Content-Length: 1000\r\n\r\n"
			return map[string]act{d.front: sends(tinyFields("POST", queuePath) + body), d.control: sends(tinyFields("PUT", "/config") + body)}
		}),
	)

	// Guards against bodies that are charged by their bytes, while their elements take many times as much once decoded.
	DescribeTable("with complete bodies of very many short elements", func(where func() map[string]act) {
		crowds(d, where())
		d.expectSound()
	},
		Entry("steps at the front", func() map[string]act {
			return map[string]act{d.front: asks(request("POST", queuePath, `{"spec":"x","steps":`+repeated("{}", emptyObjects)+`}`))}
		}),
		Entry("steps at the interface of queues", func() map[string]act {
			return map[string]act{d.entryMetrics: asks(request("POST", "/v1/queues/r/jobs/j", `{"payload":"x","steps":`+repeated("{}", emptyObjects)+`}`))}
		}),
		Entry("earlier steps of a step at the front", func() map[string]act {
			return map[string]act{d.front: asks(request("POST", queuePath, `{"spec":"x","steps":[{"count":1},{"count":1,"depends_on":`+repeated("0", bodyBytes/2)+`}]}`))}
		}),
		Entry("names that are not known at the front", func() map[string]act {
			names := make([]string, bodyBytes/9)
			for i := range names {
				names[i] = fmt.Sprintf(`"%x":0`, i)
			}
			return map[string]act{d.front: asks(request("POST", queuePath, `{"spec":"x","steps":[],"other":{`+strings.Join(names, ",")+`}}`))}
		}),
		Entry("routes at control", func() map[string]act {
			body := `{"version":9,"services":[],"tenants":[],"limits":{},"routes":` + repeated("{}", emptyObjects) + `}`
			return map[string]act{d.control: asks(request("PUT", "/config", body))}
		}),
		Entry("labels at control", func() map[string]act {
			body := `{"service":"svc","address":"127.0.0.1:9","zone":"z1","version":"v1","slots":1,"state":"ready","cold_left_ms":0,"capacity":{"cpu":1,"mem_mb":1,"gpus":0},"clock_ms":1,"sequence":1,"labels":` +
				repeated(`""`, emptyObjects) + `}`
			return map[string]act{d.control: asks(request("PUT", "/instances/x", body))}
		}),
		Entry("machines at control", func() map[string]act {
			body := `{"wave":1,"within_s":1,"max_count":0,"machines":` + repeated(`"\u0001"`, bodyBytes/9) + `}`
			return map[string]act{d.control: asks(request("POST", "/wave-start", body))}
		}),
		Entry("steps and payloads at peers", func() map[string]act {
			document, err := cbor.Marshal(map[int]any{10: make([]struct{}, emptyObjects)})
			Expect(err).NotTo(HaveOccurred())
			call := &rpc.CallRequest{Kind: uint32(service.Submit), Host: hostName, Path: queuePath, Key: apiKey, Document: document, RetentionEpoch: 1}
			return map[string]act{d.peers: inTurn(
				asks(peerMessage(peerCall, call)),
				asks(peerMessage("/twirp/mustardwalk.rpc.Peer/Deliver", &rpc.Batch{From: "x", Payloads: make([][]byte, emptyObjects)})),
			)}
		}),
	)

	// Guards against requests that take memory until their last byte, which does not come.
	It("with bodies of legal size, most of them short of their end", func(SpecContext) {
		crowds(d, map[string]act{
			d.front: partBodies("POST", queuePath, longBody(bodyBytes)), d.control: partBodies("PUT", "/config", longBody(bodyBytes)),
			d.peers: partBodies("POST", peerCall, longBody(bodyBytes)), d.entryMetrics: partBodies("POST", "/v1/queues/r/jobs/j", longBody(bodyBytes)),
		})
		d.expectSound()
	}, SpecTimeout(specLimit))

	// Guards against listeners that read a body of any size, and paths without a handler whose bodies are not counted.
	It("with bodies far over the limit", func(SpecContext) {
		crowds(d, map[string]act{
			d.front: inTurn(endless("POST", queuePath), endless("POST", noPath), endless("GET", queuePath)), d.ready: endless("GET", "/ready"),
			d.control: inTurn(endless("PUT", "/config"), endless("PUT", noPath), endless("POST", "/evacuate/z9")),
			d.peers:   inTurn(endless("POST", peerCall), endless("POST", noPath)),
		})
		d.expectSound()
	}, SpecTimeout(specLimit))

	// Guards against answers that wait in memory for clients that do not read them.
	It("with requests sent ahead and answers not read", func(SpecContext) {
		d.configure(2, largeRoutes(8000))
		ahead := func(path string) string { return strings.Repeat(head("GET", path, "\r\n"), 200) }
		crowds(d, map[string]act{
			d.control: sends(ahead("/config")), d.front: inTurn(sends(ahead(queuePath)), sends(ahead(noPath))), d.ready: sends(ahead("/ready")),
			d.entryMetrics: inTurn(sends(ahead("/metrics")), sends(ahead("/dump"))),
			d.coreMetrics:  inTurn(sends(ahead("/metrics")), sends(ahead("/dump")), sends(ahead("/v1/domain/workers"))),
		})
		d.expectSound()
	}, SpecTimeout(specLimit))

	// Guards against clients that keep what they have taken by going on slowly.
	It("that send or read slowly or stop halfway", func(SpecContext) {
		d.configure(2, largeRoutes(1400))
		slow := func(method, path, body string) act {
			text := request(method, path, body)
			return inTurn(inPieces(text, 1, 100*time.Millisecond), inPieces(text, 16<<10, 100*time.Millisecond), sends(text[:30]), sends(text[:len(text)/2]), sends(""))
		}
		crowds(d, map[string]act{
			d.control: inTurn(slow("PUT", "/config", longBody(1<<20)), readsSlowly(head("GET", "/config", "\r\n"))),
			d.front:   inTurn(slow("POST", queuePath, longBody(bodyBytes)), readsSlowly(head("GET", queuePath, "\r\n"))),
			d.ready:   slow("GET", "/ready", longBody(bodyBytes)), d.peers: slow("POST", peerCall, longBody(bodyBytes)),
			d.coreMetrics: readsSlowly(head("GET", "/metrics", "\r\n")),
		})
		d.expectSound()
	}, SpecTimeout(specLimit))
})

// largeRoutes returns the routes of a large configuration.
func largeRoutes(n int) []fleet.QueueRoute {
	routes := []fleet.QueueRoute{{Prefix: "/q/", Priority: 1, Attempts: 3}}
	for i := range n - 1 {
		routes = append(routes, fleet.QueueRoute{Prefix: fmt.Sprintf("/route-%d/", i), Priority: 1, Attempts: 3})
	}
	return routes
}

var _ = Describe("misbehaving clients of several core hosts", Serial, func() {
	// Guards against copies of a large configuration that hosts fetch from the leader for clients that do not read them.
	It("with configurations read from several hosts and not taken", func(SpecContext) {
		d := startDeployment(3)
		d.configure(2, largeRoutes(8000))
		do := map[string]act{d.peers: sends(strings.Repeat(peerMessage("/twirp/mustardwalk.rpc.Domain/Operate", &rpc.OperateRequest{Kind: uint32(service.GetConfig)}), 20))}
		for _, address := range d.controls {
			do[address] = sends(strings.Repeat(head("GET", "/config", "\r\n"), 20))
		}
		crowds(d, do)
		d.expectSound()
	}, SpecTimeout(specLimit))
})

var _ = Describe("a single large request", Serial, func() {
	// Guards against limits that restrict honest clients.
	It("within the limits is served", func(SpecContext) {
		d := startDeployment(1)
		d.configure(2, largeRoutes(1400))
		Expect(d.client.Submit(limited(), d.nextJob(), []byte(longBody(262_144)))).To(Equal(http.StatusOK))
		steps, earlier := []fleet.Step{}, []int{}
		for i := range 250 {
			steps = append(steps, fleet.Step{"count": 1, "cpu": 1, "image": strings.Repeat("i", 200), "depends_on": slices.Clone(earlier)})
			earlier = append(earlier, i)
		}
		job := fleet.JobBody("work=10", steps...)
		Expect(len(job)).To(And(BeNumerically(">", 150_000), BeNumerically("<", 262_144)))
		Expect(d.client.Submit(limited(), d.nextJob(), job)).To(Equal(http.StatusOK))
		text := fmt.Sprintf(`{"service":"svc","address":"127.0.0.1:9","zone":"z1","version":"v1","slots":1,"state":"ready","cold_left_ms":0,"capacity":{"cpu":1,"mem_mb":1,"gpus":0},"clock_ms":1,"sequence":1,`+
			`"labels":["a","r2"],"other":%q,"more":`, strings.Repeat("x", reportBytes/2))
		for _, rest := range []string{fmt.Sprintf("%q}", strings.Repeat("y", reportBytes-len(text)-3)), repeated("1000000", (reportBytes-len(text))/8-1) + "}"} {
			Expect(d.operator.Send(limited(), http.MethodPut, "/instances/large", []byte(text+rest))).To(Equal(http.StatusOK))
		}
		fields := strings.TrimPrefix(tinyFields("GET", "/ready"), "GET /ready HTTP/1.1\r\n")
		for address, path := range map[string]string{d.front: queuePath, d.control: "/config", d.ready: "/ready", d.entryMetrics: "/metrics", d.coreMetrics: "/metrics"} {
			Expect(answerTo(address, "GET "+path+" HTTP/1.1\r\n"+fields+"\r\n")).To(MatchRegexp("^HTTP/1.1 (200|410)"), path)
		}
		d.expectSound()
	}, SpecTimeout(specLimit))
})
