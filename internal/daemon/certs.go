package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
)

// certCheckPeriod is the shortest time between two checks of the files for changes.
const certCheckPeriod = time.Second

// certs holds the certificate of this host and those of the certificate authority by which it verifies others. It
// rereads the files when they change.
type certs struct {
	files       TLSFiles
	log         logr.Logger
	checkPeriod time.Duration
	mu          sync.Mutex
	lastCheck   time.Time
	versions    []fileVersion
	pair        *tls.Certificate // Certificate and key of this host; nil if no file is given.
	roots       *x509.CertPool   // Certificates of the authority; nil if no file is given.
}

// fileVersion identifies a version of a file; a changed file has another time or size.
type fileVersion struct {
	modTime time.Time
	size    int64
}

func loadCerts(files TLSFiles, log logr.Logger) (*certs, error) {
	c := &certs{files: files, log: log, checkPeriod: certCheckPeriod, lastCheck: time.Now(), versions: versionsOf(files)}
	var err error
	c.pair, c.roots, err = readCerts(files)
	return c, err
}

// readCerts reads the files that are given. It returns nil for the others.
func readCerts(files TLSFiles) (pair *tls.Certificate, roots *x509.CertPool, err error) {
	if files.Cert != "" {
		p, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		if err != nil {
			return nil, nil, eris.Wrap(err, "loading the certificate")
		}
		pair = &p
	}
	if files.CA == "" {
		return pair, nil, nil
	}
	data, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, nil, eris.Wrap(err, "reading the authority's certificates")
	}
	roots = x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, nil, errors.New("the authority's file holds no certificate")
	}
	return pair, roots, nil
}

func versionsOf(files TLSFiles) []fileVersion {
	out := make([]fileVersion, 3)
	for i, path := range []string{files.Cert, files.Key, files.CA} {
		if info, err := os.Stat(path); path != "" && err == nil {
			out[i] = fileVersion{info.ModTime(), info.Size()}
		}
	}
	return out
}

// current returns the certificate and the authority's certificates, reread if a file has changed. If the changed files
// cannot be used, for example because the certificate is replaced and its key not yet, the old ones stay in use.
func (c *certs) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastCheck) < c.checkPeriod {
		return c.pair, c.roots
	}
	c.lastCheck = time.Now()
	now := versionsOf(c.files)
	if sameVersions(now, c.versions) {
		return c.pair, c.roots
	}
	pair, roots, err := readCerts(c.files)
	if err != nil {
		c.log.Error(err, "changed certificates are not usable, the old ones stay in use", "event", "certs_failed")
		return c.pair, c.roots
	}
	c.pair, c.roots, c.versions = pair, roots, now
	c.log.Info("certificates reread", "event", "certs_reread")
	return c.pair, c.roots
}

func sameVersions(a, b []fileVersion) bool {
	for i := range a {
		if !a[i].modTime.Equal(b[i].modTime) || a[i].size != b[i].size {
			return false
		}
	}
	return true
}

// serverConfig returns the TLS configuration of a listener. A listener for peers verifies the certificate of a client
// that sends one.
func (c *certs) serverConfig(peers bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, roots := c.current()
			config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*pair}}
			if peers && roots != nil {
				config.ClientAuth = tls.VerifyClientCertIfGiven
				config.ClientCAs = roots
			}
			return config, nil
		},
	}
}

// dial connects with TLS. It verifies the server by the authority's certificates, or by those of the operating system
// if none are given.
func (c *certs) dial(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	pair, roots := c.current()
	config := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: host, RootCAs: roots}
	if pair != nil {
		config.Certificates = []tls.Certificate{*pair}
	}
	d := &tls.Dialer{Config: config}
	return d.DialContext(ctx, network, address)
}

// tlsFiles checks that the TLS files are given in a valid combination, and then their content.
func (c *settingsChecker) tlsFiles() {
	f := TLSFiles{Cert: c.raw.text(flagTLSCert), Key: c.raw.text(flagTLSKey), CA: c.raw.text(flagTLSCA)}
	c.settings.TLS, c.settings.EndpointTLS = f, c.raw.values[flagEndpointTLS].enabled
	before := len(c.findings)
	if f.Cert != "" && f.Key == "" {
		c.addFinding(flagTLSKey, "is missing: --%s is given", flagTLSCert)
	}
	if f.Key != "" && f.Cert == "" {
		c.addFinding(flagTLSCert, "is missing: --%s is given", flagTLSKey)
	}
	if f.CA != "" && f.Cert == "" && !c.settings.EndpointTLS {
		c.addFinding(flagTLSCA, "needs --%s, or --%s", flagTLSCert, flagEndpointTLS)
	}
	if f.Cert != "" && f.CA == "" && len(c.settings.Peers) > 1 {
		c.addFinding(flagTLSCA, "is missing: with TLS, hosts authenticate each other by it")
	}
	if len(c.findings) > before {
		return
	}
	c.tlsContent(f)
}

// tlsContent checks that the TLS files can be used and that the certificate is valid at present.
func (c *settingsChecker) tlsContent(f TLSFiles) {
	pair, _, err := readCerts(TLSFiles{Cert: f.Cert, Key: f.Key})
	if err != nil {
		c.addFinding(flagTLSCert, "%v", err)
	}
	if _, _, err := readCerts(TLSFiles{CA: f.CA}); err != nil {
		c.addFinding(flagTLSCA, "%v", err)
	}
	if pair == nil || pair.Leaf == nil {
		return
	}
	if now := time.Now(); now.After(pair.Leaf.NotAfter) || now.Before(pair.Leaf.NotBefore) {
		c.addFinding(flagTLSCert, "is valid only from %s to %s", pair.Leaf.NotBefore.Format(time.RFC3339), pair.Leaf.NotAfter.Format(time.RFC3339))
	}
}
