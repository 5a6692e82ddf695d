package test

import (
	"bytes"
	"crypto/tls"
	"io"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// enableTLS makes all hosts use TLS, with a certificate of a new authority.
func (c *cluster) enableTLS() {
	GinkgoHelper()
	c.authority = newAuthority()
	c.write("ca.pem", c.authority.pem())
	c.replaceCertificate()
}

// replaceCertificate replaces the certificate of all hosts on disk and returns its serial number. Each file is
// replaced by a rename, as tools that renew certificates do.
func (c *cluster) replaceCertificate() int64 {
	GinkgoHelper()
	cert, key, serial := c.authority.issue()
	for name, content := range map[string]string{"host.key": key, "host.pem": cert} {
		c.write(name+".new", content)
		Expect(os.Rename(c.file(name+".new"), c.file(name))).To(Succeed())
	}
	return serial
}

// serial returns the serial number of the certificate that a host presents on a new connection.
func (c *cluster) serial(address string) (int64, error) {
	conn, err := tls.Dial("tcp", address, c.tls())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// deliver sends an empty batch of messages to the peer listener of a host and returns the status.
func (c *cluster) deliver(address string, config *tls.Config) (int, error) {
	transport := &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}
	request, err := http.NewRequest(http.MethodPost, "https://"+address+"/twirp/mustardwalk.rpc.Peer/Deliver", bytes.NewReader(nil))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/protobuf")
	request.Header.Set("Authorization", "Bearer "+peerToken)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

var _ = Describe("TLS between hosts", func() {
	// Guards against hosts that accept messages from clients without a certificate of the authority, and against hosts that
	// must be restarted to use a new certificate.
	It("refuses clients without a certificate of the authority, and uses replaced certificates without a restart", func(ctx SpecContext) {
		c := newCluster(threeHosts())
		c.enableTLS()
		for _, h := range c.hosts {
			c.initialize(ctx, h)
			c.start(h.id)
		}
		c.awaitReady()
		at := c.host("a1").peer

		Expect(c.deliver(at, &tls.Config{RootCAs: c.authority.pool()})).To(Equal(http.StatusUnauthorized), "without a certificate")
		foreign, key, _ := newAuthority().issue()
		pair, err := tls.X509KeyPair([]byte(foreign), []byte(key))
		Expect(err).NotTo(HaveOccurred())
		_, err = c.deliver(at, &tls.Config{RootCAs: c.authority.pool(), Certificates: []tls.Certificate{pair}})
		Expect(err).To(HaveOccurred(), "with a certificate of another authority")
		_, err = c.deliver(at, &tls.Config{RootCAs: newAuthority().pool()})
		Expect(err).To(HaveOccurred(), "a client that trusts another authority does not accept the host's certificate")

		serial := c.replaceCertificate()
		for _, h := range c.hosts {
			for _, address := range []string{h.peer, h.serve} {
				Eventually(c.serial).WithArguments(address).Should(Equal(serial), "host %s", h.id)
			}
		}
		// A restarted host makes new connections to all others, with the new certificates on both sides.
		c.stop("b1")
		c.start("b1")
		c.awaitReady("b1")
		c.awaitReconnected(ctx)
		Expect(c.running["a1"].Running() && c.running["c1"].Running()).To(BeTrue())
		Expect(c.daemons.Stop()).To(Succeed())
		c.checkHistory()
	}, SpecTimeout(time.Minute))
})
