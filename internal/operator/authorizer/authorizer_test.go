package authorizer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/operator/authorizer"
)

// authority is a CA that signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	qt.Assert(t, err, qt.IsNil)
	cert, err := x509.ParseCertificate(der)
	qt.Assert(t, err, qt.IsNil)
	return &authority{cert: cert, key: key}
}

// write issues a certificate and writes it, its key and the CA certificate to the files in a
// directory, replacing those that exist.
func (at *authority) write(t *testing.T, dir, name string, valid time.Duration, units ...string) authorizer.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name, OrganizationalUnit: units},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(valid), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, at.cert, &key.PublicKey, at.key)
	qt.Assert(t, err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	qt.Assert(t, err, qt.IsNil)
	fls := authorizer.Files{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Authorities: filepath.Join(dir, "ca")}
	for _, fl := range []struct {
		name, kind string
		der        []byte
	}{{fls.Certificate, "CERTIFICATE", der}, {fls.Key, "EC PRIVATE KEY", keyDER}, {fls.Authorities, "CERTIFICATE", at.cert.Raw}} {
		qt.Assert(t, os.WriteFile(fl.name, pem.EncodeToMemory(&pem.Block{Type: fl.kind, Bytes: fl.der}), 0o600), qt.IsNil)
	}
	return fls
}

func mustNew(t *testing.T, fls authorizer.Files) *authorizer.Authorizer {
	t.Helper()
	au, err := authorizer.New(fls, logr.Discard())
	qt.Assert(t, err, qt.IsNil)
	return au
}

// serve starts a server that returns the identified operator, role and peer in the header Seen.
func serve(t *testing.T, au *authorizer.Authorizer) *httptest.Server {
	t.Helper()
	sv := httptest.NewUnstartedServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		op, err := au.Identify(rq)
		host, _ := au.IdentifyPeer(rq)
		seen := fmt.Sprintf("%s %s peer=%q", op.Name, op.Role, host)
		if errors.Is(err, authorizer.ErrNoRole) {
			seen += " no role"
		}
		wr.Header().Set("Seen", seen)
	}))
	sv.TLS = au.ServerConfig()
	sv.StartTLS()
	t.Cleanup(sv.Close)
	return sv
}

// call sends a request over a new connection and returns the header Seen.
func call(sv *httptest.Server, cfg *tls.Config) (string, error) {
	cl := &http.Client{Transport: &http.Transport{TLSClientConfig: cfg, DisableKeepAlives: true}}
	rs, err := cl.Get(sv.URL)
	if err != nil {
		return "", err
	}
	return rs.Header.Get("Seen"), rs.Body.Close()
}

// Guards against operators with a higher role than their certificate names, and against operators
// that are accepted as peers.
func TestRoles(t *testing.T) {
	ca := newAuthority(t)
	sv := serve(t, mustNew(t, ca.write(t, t.TempDir(), "entry-1", time.Hour)))
	for name, tc := range map[string]struct {
		ca    *authority
		units []string
		seen  string
	}{
		"read":            {ca, []string{"Read"}, `awa Read peer=""`},
		"plan":            {ca, []string{"Plan"}, `awa Plan peer=""`},
		"highest counts":  {ca, []string{"Read", "Administer", "Bakery"}, `awa Administer peer=""`},
		"peer":            {ca, []string{"EntryHost"}, `awa None peer="awa" no role`},
		"no role":         {ca, nil, `awa None peer="" no role`},
		"other spelling":  {ca, []string{"administer"}, `awa None peer="" no role`},
		"other authority": {newAuthority(t), []string{"Administer"}, "refused"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := mustNew(t, tc.ca.write(t, t.TempDir(), "awa", time.Hour, tc.units...)).ClientConfig()
			cfg.RootCAs = x509.NewCertPool()
			cfg.RootCAs.AddCert(ca.cert)
			seen, err := call(sv, cfg)
			qt.Check(t, err != nil, qt.Equals, tc.seen == "refused", qt.Commentf("%v", err))
			if err == nil {
				qt.Check(t, seen, qt.Equals, tc.seen)
			}
		})
	}
	t.Run("no certificate", func(t *testing.T) {
		pool := x509.NewCertPool()
		pool.AddCert(ca.cert)
		_, err := call(sv, &tls.Config{RootCAs: pool})
		qt.Check(t, err, qt.IsNotNil)
	})
	t.Run("certificate that expires while connected", func(t *testing.T) {
		au := mustNew(t, ca.write(t, t.TempDir(), "entry-1", time.Hour))
		rq := httptest.NewRequest("GET", "/", nil)
		rq.TLS = &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{{Subject: pkix.Name{CommonName: "awa", OrganizationalUnit: []string{"Read"}}, NotAfter: time.Now().Add(-time.Second)}}}}
		_, err := au.Identify(rq)
		qt.Check(t, err, qt.ErrorIs, authorizer.ErrNoCertificate)
	})
}

// Guards against a change of certificates that takes effect only after a restart, and against a
// damaged file that interrupts the service.
func TestReload(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	dir, clientDir := t.TempDir(), t.TempDir()
	au := mustNew(t, ca.write(t, dir, "entry-1", time.Hour))
	sv := serve(t, au)
	client := mustNew(t, ca.write(t, clientDir, "awa", time.Hour, "Read"))
	check := func(reachable bool) {
		t.Helper()
		cl := &http.Client{Transport: &http.Transport{DialTLSContext: client.DialTLS, DisableKeepAlives: true}}
		rs, err := cl.Get(sv.URL)
		qt.Check(t, err == nil, qt.Equals, reachable, qt.Commentf("%v", err))
		if err == nil {
			qt.Check(t, rs.Body.Close(), qt.IsNil)
		}
	}
	check(true)

	qt.Assert(t, os.WriteFile(filepath.Join(dir, "cert"), []byte("damaged"), 0o600), qt.IsNil)
	qt.Check(t, au.Reload(), qt.ErrorIs, authorizer.ErrCertificateFiles)
	check(true)

	other.write(t, dir, "entry-1", time.Hour)
	qt.Assert(t, au.Reload(), qt.IsNil)
	check(false)

	old := client.ClientConfig()
	other.write(t, clientDir, "awa", time.Hour, "Read")
	qt.Assert(t, client.Reload(), qt.IsNil)
	check(true)
	old.RootCAs.AddCert(other.cert)
	_, err := call(sv, old)
	qt.Check(t, err, qt.IsNil)
}

// Guards against connections to a peer that is not an entry host or has another address than its
// certificate, and against a change of CAs that new connections to peers ignore.
func TestSecurePeer(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	client := mustNew(t, ca.write(t, dir, "entry-1", time.Hour, authorizer.PeerUnit))
	entry := serve(t, mustNew(t, ca.write(t, t.TempDir(), "entry-2", time.Hour, authorizer.PeerUnit)))
	operator := serve(t, mustNew(t, ca.write(t, t.TempDir(), "awa", time.Hour, "Administer")))
	connect := func(sv *httptest.Server, addr string) error {
		nc, err := net.Dial("tcp", sv.Listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer nc.Close()
		_, err = client.SecurePeer(t.Context(), nc, netip.MustParseAddr(addr))
		return err
	}
	qt.Check(t, connect(entry, "127.0.0.1"), qt.IsNil)
	qt.Check(t, connect(entry, "127.0.0.2"), qt.IsNotNil)
	qt.Check(t, connect(operator, "127.0.0.1"), qt.ErrorIs, authorizer.ErrNoRole)
	other.write(t, dir, "entry-1", time.Hour, authorizer.PeerUnit)
	qt.Assert(t, client.Reload(), qt.IsNil)
	qt.Check(t, connect(entry, "127.0.0.1"), qt.IsNotNil)
}

// Guards against an interface without TLS that other machines can reach.
func TestInsecure(t *testing.T) {
	for listen, want := range map[string]error{
		"127.0.0.1:7443": nil, "[::1]:7443": nil, "[::ffff:127.0.0.1]:7443": nil,
		"0.0.0.0:7443": authorizer.ErrNotLoopback, "[::]:7443": authorizer.ErrNotLoopback, "192.0.2.1:7443": authorizer.ErrNotLoopback,
	} {
		_, err := authorizer.NewInsecure(netip.MustParseAddrPort(listen), logr.Discard())
		qt.Check(t, errors.Is(err, want), qt.IsTrue, qt.Commentf(listen))
	}
	au, err := authorizer.NewInsecure(netip.MustParseAddrPort("127.0.0.1:7443"), logr.Discard())
	qt.Assert(t, err, qt.IsNil)
	for from, want := range map[string]error{"127.0.0.1:9": nil, "192.0.2.1:9": authorizer.ErrNotLoopback, "": authorizer.ErrNoCertificate} {
		rq := httptest.NewRequest("GET", "/", nil)
		rq.RemoteAddr = from
		_, err := au.Identify(rq)
		qt.Check(t, errors.Is(err, want), qt.IsTrue, qt.Commentf("%q %v", from, err))
	}
	qt.Check(t, au.ServerConfig(), qt.IsNil)
}

// Guards against unusable files that are accepted at the start and fail only at the first
// connection.
func TestUnusableFiles(t *testing.T) {
	ca := newAuthority(t)
	for name, damage := range map[string]func(fls authorizer.Files) error{
		"missing key":    func(fls authorizer.Files) error { return os.Remove(fls.Key) },
		"no authorities": func(fls authorizer.Files) error { return os.WriteFile(fls.Authorities, nil, 0o600) },
		"expired":        func(fls authorizer.Files) error { ca.write(t, filepath.Dir(fls.Key), "x", -time.Minute); return nil },
	} {
		t.Run(name, func(t *testing.T) {
			fls := ca.write(t, t.TempDir(), "entry-1", time.Hour)
			qt.Assert(t, damage(fls), qt.IsNil)
			_, err := authorizer.New(fls, logr.Discard())
			qt.Check(t, err, qt.ErrorIs, authorizer.ErrCertificateFiles)
		})
	}
}
