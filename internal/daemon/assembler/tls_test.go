package assembler_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/config/loader"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/operator/authorizer"
)

// authority signs the certificates of a fleet.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	au := &authority{t: t}
	au.cert, au.key = au.sign(&x509.Certificate{
		Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	})
	return au
}

// sign returns a signed certificate with its key. The first one is the authority's own.
func (au *authority) sign(tmpl *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(au.t, err, qt.IsNil)
	tmpl.SerialNumber = big.NewInt(time.Now().UnixNano())
	tmpl.NotBefore, tmpl.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := au.cert, au.key
	if parent == nil {
		parent, signer = tmpl, key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	qt.Assert(au.t, err, qt.IsNil)
	cert, err := x509.ParseCertificate(der)
	qt.Assert(au.t, err, qt.IsNil)
	return cert, key
}

// settings writes the certificate files of a host. The certificate has the organizational unit.
func (au *authority) settings(hst modeler.Host, unit string) loader.TLSSettings {
	cert, key := au.sign(&x509.Certificate{
		Subject:     pkix.Name{CommonName: string(hst.Name), OrganizationalUnit: []string{unit}},
		IPAddresses: []net.IP{net.IP(hst.Peer.Addr().AsSlice())},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	keyDER, err := x509.MarshalECPrivateKey(key)
	qt.Assert(au.t, err, qt.IsNil)
	dir := au.t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		qt.Assert(au.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), qt.IsNil)
		return path
	}
	return loader.TLSSettings{
		Certificate: write("cert", "CERTIFICATE", cert.Raw),
		Key:         write("key", "EC PRIVATE KEY", keyDER),
		Authority:   write("authority", "CERTIFICATE", au.cert.Raw),
	}
}

// Guards against entry hosts that forward calls without mutual TLS, and against a peer that is
// accepted without the certificate of an entry host. Only dc-1 has runners, so that calls in dc-0
// are forwarded.
func TestMutualTLSBetweenHosts(t *testing.T) {
	for _, tc := range []struct {
		name, unit string
		answered   bool
	}{
		{"certificates of entry hosts", authorizer.PeerUnit, true},
		{"certificate of an operator at the sender", "Administer", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 2, 0)
				fl.addRunner("dc-1", 1, 0)
				fl.put(1)
				au := newAuthority(t)
				fl.adjust = func(hst modeler.Host, st *loader.Settings) {
					unit := authorizer.PeerUnit
					if hst.Name == "dc-0-host-0" {
						unit = tc.unit
					}
					st.TLS = au.settings(hst, unit)
				}
				fl.start()
				for num := range 10 {
					got := fl.call(fl.member(0), "POST", "/plans?RunTime=20ms", "", "body")
					qt.Check(t, got.outcome == modeler.Answered, qt.Equals, tc.answered, qt.Commentf("call %d: %+v", num, got))
				}
				ran := fl.runners["dc-1-runner-0"].Oracle().GreatestCalls > 0
				qt.Check(t, ran, qt.Equals, tc.answered)
				got := fl.call(fl.member(1), "POST", "/plans?RunTime=20ms", "key-1", "body")
				qt.Check(t, got.outcome, qt.Equals, modeler.Answered, qt.Commentf("%+v", got))
				fl.end()
			})
		})
	}
}
