package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mustardwalk/mustardwalk/internal/rpc"
)

// authority issues certificates for 127.0.0.1.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	file string
}

func newAuthority() *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return &authority{key, cert, file("ca.pem", encodePEM("CERTIFICATE", der), 0o600)}
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// issue returns the files of a new certificate, its key and the authority.
func (a *authority) issue(name string, validity time.Duration) (cert, key, ca string) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, k.Public(), a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(k)
	Expect(err).NotTo(HaveOccurred())
	return file(name+".pem", encodePEM("CERTIFICATE", der), 0o600), file(name+".key", encodePEM("EC PRIVATE KEY", keyDER), 0o600), a.file
}

// issueCerts loads a new certificate of an authority. Its files are checked for changes at each use.
func issueCerts(a *authority, name string) *certs {
	var f TLSFiles
	f.Cert, f.Key, f.CA = a.issue(name, time.Hour)
	c, err := loadCerts(f, logr.Discard())
	Expect(err).NotTo(HaveOccurred())
	c.checkPeriod = 0
	return c
}

// emptyPeerHandler answers requests from clients with a verified certificate, as peers have, with an empty body.
var emptyPeerHandler = &peerAuthenticator{inner: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), mutualTLS: true}

// serveTLS serves a handler and returns its URL.
func serveTLS(c *certs, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &http.Server{Handler: h, ErrorLog: serverLog(logr.Discard())}
	go func() { _ = s.Serve(tls.NewListener(l, c.serverConfig(true))) }()
	DeferCleanup(s.Close)
	return "https://" + l.Addr().String()
}

// servedName makes a request over a new connection. It returns the name in the server's certificate and the status.
func servedName(c *certs, url string) (string, int, error) {
	t := newTransport(c, 1)
	defer t.CloseIdleConnections()
	r, err := newClient(t, "").Get(url)
	if err != nil {
		return "", 0, err
	}
	defer r.Body.Close()
	return r.TLS.PeerCertificates[0].Subject.CommonName, r.StatusCode, nil
}

var _ = Describe("Certificates", func() {
	copyFile := func(from, to string) {
		data, err := os.ReadFile(from)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(to, data, 0o600)).To(Succeed())
		later := time.Now().Add(time.Minute)
		Expect(os.Chtimes(to, later, later)).To(Succeed())
	}

	// Guards against hosts that serve an expired certificate until a restart.
	It("are reread when their files change, and kept while the new certificate and key do not match", func() {
		a := newAuthority()
		server, client := issueCerts(a, "old"), issueCerts(a, "client")
		url := serveTLS(server, emptyPeerHandler)
		name, status, err := servedName(client, url)
		Expect(err).NotTo(HaveOccurred())
		Expect([]any{name, status}).To(Equal([]any{"old", 200}))
		cert, key, _ := a.issue("new", time.Hour)
		copyFile(cert, server.files.Cert)
		name, _, err = servedName(client, url)
		Expect(err).NotTo(HaveOccurred())
		Expect(name).To(Equal("old"), "the key is still the old one")
		copyFile(key, server.files.Key)
		name, _, err = servedName(client, url)
		Expect(err).NotTo(HaveOccurred())
		Expect(name).To(Equal("new"))
	})

	It("are not checked for changes more often than the check period", func() {
		a := newAuthority()
		c := issueCerts(a, "old")
		c.checkPeriod = time.Hour
		cert, key, _ := a.issue("new", time.Hour)
		copyFile(cert, c.files.Cert)
		copyFile(key, c.files.Key)
		pair, _ := c.current()
		Expect(pair.Leaf.Subject.CommonName).To(Equal("old"))
	})

	It("authenticate hosts to each other by the deployment's authority only", func() {
		a, other := newAuthority(), newAuthority()
		url := serveTLS(issueCerts(a, "server"), emptyPeerHandler)
		_, _, err := servedName(issueCerts(other, "client"), url)
		Expect(err).To(MatchError(ContainSubstring("certificate signed by unknown authority")))
		foreign := issueCerts(other, "client")
		foreign.roots = issueCerts(a, "x").roots
		foreign.checkPeriod = time.Hour
		_, _, err = servedName(foreign, url)
		Expect(err).To(HaveOccurred(), "the server refuses a certificate of another authority")
		none := &certs{roots: foreign.roots, checkPeriod: time.Hour, lastCheck: time.Now()}
		_, status, err := servedName(none, url)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusUnauthorized), "no certificate")
	})

	// Guards against an endpoint that sends messages as a host, with its own certificate of the same authority.
	It("must be for the address of the host that sends", func() {
		received := &inputRecorder{}
		handler := newPeerAuthenticator(&peerServer{peerIPs: map[string]string{"a1": "127.0.0.1", "b1": "127.0.0.2"}, push: received.push,
			metrics: newMetrics()}, nil, true)
		a := newAuthority()
		url := serveTLS(issueCerts(a, "server"), handler)
		client := newClient(newTransport(issueCerts(a, "client"), 1), "")
		DeferCleanup(client.CloseIdleConnections)
		peer := rpc.NewPeerProtobufClient(url, client)
		_, err := peer.Deliver(context.Background(), &rpc.Batch{From: "b1", Payloads: [][]byte{{1}}})
		Expect(err).To(MatchError(ContainSubstring("the certificate is not the sender's")))
		Expect(received.all()).To(BeEmpty())
		_, err = peer.Deliver(context.Background(), &rpc.Batch{From: "a1", Payloads: [][]byte{{1}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(received.all()).To(HaveLen(1))
	})
})
