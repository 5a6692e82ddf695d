package daemon

import (
	"io"
	"maps"
	"os"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/cell"
	"github.com/mustardwalk/mustardwalk/internal/node"
	"github.com/mustardwalk/mustardwalk/internal/replica"
)

const (
	peerA = "id=a1,zone=z1,region=r1,address=127.0.0.1:7001,disk=true"
	peerB = "id=b1,zone=z2,region=r1,address=127.0.0.1:7002,disk=true"
)

var _ = Describe("Settings", func() {
	var flags map[string]string
	var peers []string

	BeforeEach(func() {
		token := file("token", "secret\n# comment\n\nother\n", 0o600)
		flags = map[string]string{flagHost: "a1", flagZone: "z1", flagRegion: "r1", flagDataFolder: GinkgoT().TempDir(),
			flagOperatorTokens: token, flagEndpointTokens: token}
		peers = []string{peerA, peerB}
	})

	read := func() (*Settings, []Finding) {
		args := []string{commandRun}
		for _, name := range slices.Sorted(maps.Keys(flags)) {
			switch flags[name] {
			case "-":
			case "on":
				args = append(args, "--"+name)
			default:
				args = append(args, "--"+name+"="+flags[name])
			}
		}
		for _, p := range peers {
			args = append(args, "--peer="+p)
		}
		c, done, err := parseCommandLine(args, io.Discard)
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeFalse())
		return checkRun(c.raw)
	}

	texts := func(list []Finding) []string {
		out := []string{}
		for _, f := range list {
			out = append(out, f.String())
		}
		return out
	}

	It("reads valid settings, with the default timing of the packages replica and cell", func() {
		s, findings := read()
		Expect(findings).To(BeEmpty())
		Expect(s.Self).To(Equal(node.Peer{ID: "a1", Zone: "z1", Region: "r1", Address: "127.0.0.1:7001", Disk: true}))
		Expect(s.Peers).To(HaveLen(2))
		Expect(s.Replica).To(Equal(replica.DefaultTiming))
		Expect(s.Cell).To(Equal(cell.DefaultTiming))
		Expect(s.PeerListen).To(Equal("127.0.0.1:7001"))
		Expect([]string(s.OperatorTokens)).To(Equal([]string{"secret", "other"}))
		Expect(s.MaxBodyBytes).To(BeEquivalentTo(1 << 20))
		Expect(s.ReadTimeout).To(Equal(10 * time.Second))
	})

	It("reads environment variables and names them as the place of findings", func() {
		GinkgoT().Setenv("MUSTARDWALK_PEER", peerA+"\n"+peerB)
		GinkgoT().Setenv("MUSTARDWALK_LEASE", "soon")
		GinkgoT().Setenv("MUSTARDWALK_GRACE", "soon")
		GinkgoT().Setenv("MUSTARDWALK_INSECURE", "true")
		peers, flags[flagGrace] = nil, "later"
		s, findings := read()
		Expect(s.Peers).To(HaveLen(2))
		Expect(texts(findings)).To(ConsistOf(`error: MUSTARDWALK_LEASE: "soon" is not a positive duration such as 1s or 250ms`,
			`error: --grace: "later" is not a positive duration such as 1s or 250ms`))
	})

	It("collects all findings in one pass", func() {
		flags = map[string]string{}
		peers = []string{"id=a1,zone=z 1,address=localhost:1,disk=maybe,colour=red"}
		_, findings := read()
		Expect(texts(findings)).To(ConsistOf(
			"error: --host: is missing", "error: --zone: is missing", "error: --region: is missing",
			`error: --peer: value 1: zone: "z 1" is not a name`, `error: --peer: value 1: region is missing`,
			`error: --peer: value 1: address: "localhost:1" is not an IP address with a port`,
			`error: --peer: value 1: disk: "maybe" is not true or false`, `error: --peer: value 1: unknown key "colour"`,
			"error: --operator-token-file: is missing", "error: --endpoint-token-file: is missing"))
	})

	DescribeTable("reports", func(change func(), want ...any) {
		change()
		_, findings := read()
		Expect(texts(findings)).To(HaveExactElements(want...))
	},
		Entry("self missing", func() { flags[flagHost] = "c1" }, "error: --peer: this host, c1, is not among the peers"),
		Entry("no peers", func() { peers = nil }, "error: --peer: is missing: list all hosts of the deployment, this one included"),
		Entry("other zone", func() { flags[flagZone] = "z2" }, "error: --zone: z2 differs from the zone z1 of this host among the peers"),
		Entry("other region", func() { flags[flagRegion] = "r2" }, "error: --region: r2 differs from the region r1 of this host among the peers"),
		Entry("duplicate id", func() { peers = append(peers, "id=b1,zone=z2,region=r1,address=127.0.0.1:7003") },
			"error: --peer: value 3: the id b1 is used twice"),
		Entry("duplicate address", func() { peers = append(peers, "id=b2,zone=z2,region=r1,address=127.0.0.1:7002") },
			"error: --peer: value 3: the address 127.0.0.1:7002 is used by b1 already"),
		Entry("zone without a disk", func() { peers[1] = "id=b1,zone=z2,region=r1,address=127.0.0.1:7002" },
			"error: --peer: zone z2 has no host with a disk"),
		Entry("zone in two regions", func() { peers = append(peers, "id=b2,zone=z2,region=r2,address=127.0.0.1:7003") },
			"error: --peer: zone z2 lies in the regions r1 and r2"),
		Entry("address mismatch", func() { flags[flagPeerListen] = "127.0.0.1:7009" },
			"error: --peer-listen: 127.0.0.1:7009 does not match the address 127.0.0.1:7001 of this host among the peers"),
		Entry("no folder", func() { flags[flagDataFolder] = "-" }, "error: --data-folder: is missing: this host has disk=true among the peers"),
		Entry("folder without disk", func() {
			peers = append(peers, "id=a2,zone=z1,region=r1,address=127.0.0.1:7003")
			flags[flagHost] = "a2"
		},
			"error: --data-folder: is given, but this host has no disk=true among the peers"),
		Entry("folder is a file", func() { flags[flagDataFolder] = flags[flagOperatorTokens] }, MatchRegexp("^error: --data-folder: .* is not a folder$")),
		Entry("not loopback", func() { flags[flagCallerListen] = "0.0.0.0:7080" },
			"error: --caller-listen: 0.0.0.0:7080 is not a loopback address: give TLS files, or --insecure"),
		Entry("not loopback, insecure", func() { flags[flagCallerListen] = "0.0.0.0:7080"; flags[flagInsecure] = "on" }),
		Entry("listen by name", func() { flags[flagCallerListen] = "localhost:7080" }, `error: --caller-listen: "localhost:7080" is not an IP address with a port`),
		Entry("key without certificate", func() { flags[flagTLSKey] = "k" }, "error: --tls-cert-file: is missing: --tls-key-file is given"),
		Entry("certificate alone", func() { flags[flagTLSCert] = "c" }, "error: --tls-key-file: is missing: --tls-cert-file is given",
			"error: --tls-ca-file: is missing: with TLS, hosts authenticate each other by it"),
		Entry("authority alone", func() { flags[flagTLSCA] = "c" }, "error: --tls-ca-file: needs --tls-cert-file, or --endpoint-tls"),
		Entry("insecure with TLS", func() {
			ca := newAuthority()
			flags[flagTLSCert], flags[flagTLSKey], flags[flagTLSCA] = ca.issue("a1", time.Hour)
			flags[flagInsecure] = "on"
		}, "error: --insecure: contradicts --tls-cert-file"),
		Entry("empty token file", func() { flags[flagPeerTokens] = file("t", "\n#x\n", 0o600) }, MatchRegexp("^error: --peer-token-file: .* holds no token$")),
		Entry("unreadable token file", func() { flags[flagPeerTokens] = "/nonexistent/token" },
			"error: --peer-token-file: cannot be read: open /nonexistent/token: no such file or directory"),
		Entry("world-readable token file", func() { flags[flagPeerTokens] = file("t", "x", 0o600); chmod(flags[flagPeerTokens]) },
			MatchRegexp("^warning: --peer-token-file: .* is readable by every user")),
		Entry("lease too short", func() { flags[flagLease] = "5s" }, "error: --lease: 5s must be at least 2 times --heartbeat, 3s"),
		Entry("leader lease too long", func() { flags[flagLeaderLease] = "1s" },
			"error: --leader-lease: 1s must be shorter than --election-min, 1s: an old leader's lease must end before an election"),
		Entry("elections", func() { flags[flagElectionMax] = "1s" }, "error: --election-max: 1s must be longer than --election-min, 1s"),
		Entry("call timeout", func() { flags[flagCallTimeout] = "2s" }, "error: --call-timeout: 2s must be shorter than the validity of reservations, 2s"),
		Entry("level", func() { flags[flagLogLevel] = "loud" }, `error: --log-level: "loud" is not error, info or debug`),
		Entry("limits", func() { flags[flagMaxBody] = "10" }, `error: --max-body-bytes: "10" is not a number from 4096 to 67108864`),
	)

	It("refuses an expired certificate", func() {
		flags[flagTLSCert], flags[flagTLSKey], flags[flagTLSCA] = newAuthority().issue("a1", -time.Minute)
		_, findings := read()
		Expect(findings).To(ConsistOf(And(HaveField("Setting", "--tls-cert-file"), HaveField("Message", ContainSubstring("is valid only from")))))
	})

	It("does not count warnings as errors", func() {
		flags[flagOperatorTokens] = file("t", "x", 0o644)
		chmod(flags[flagOperatorTokens])
		_, findings := read()
		Expect(findings).To(ConsistOf(HaveField("Warning", true)))
		Expect(hasErrors(findings)).To(BeFalse())
	})
})

// chmod makes a file readable by every user, whatever the umask is.
func chmod(path string) { Expect(os.Chmod(path, 0o644)).To(Succeed()) }
