// Package authorizer authenticates operators and peers by mutual TLS and gives operators roles.
package authorizer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// Errors of this package. Callers test for them with errors.Is.
var (
	// ErrNotLoopback means that an interface without TLS was to listen on or was called from
	// another address than loopback.
	ErrNotLoopback = errors.New("insecure is allowed only on loopback")
	// ErrNoCertificate means that the caller has no valid client certificate.
	ErrNoCertificate = errors.New("no valid client certificate")
	// ErrNoRole means that the certificate names no role.
	ErrNoRole = errors.New("the client certificate names no role")
	// ErrRole means that the caller's role does not include the command.
	ErrRole = errors.New("the role does not include the command")
	// ErrMaterial means that the certificate files are not usable.
	ErrMaterial = errors.New("certificate files are not usable")
)

// Role is what an operator may do. A higher role includes the lower ones.
type Role int

// The roles of operators, as an organizational unit of the certificate's subject names them.
const (
	// Read may look at everything.
	Read Role = iota + 1
	// Plan may also import plans and cancel jobs.
	Plan
	// Administer may also change the configuration and drain hosts.
	Administer
)

var roleNames = map[string]Role{"Read": Read, "Plan": Plan, "Administer": Administer}

// String returns the name of the role.
func (rl Role) String() string {
	for name, known := range roleNames {
		if known == rl {
			return name
		}
	}
	return "None"
}

// PeerUnit is the organizational unit in the certificates of entry hosts.
const PeerUnit = "EntryHost"

// Operator is an authenticated caller of the operators' interface.
type Operator struct {
	// Name is the common name of the certificate.
	Name string
	Role Role
	// From is the address that the request came from.
	From netip.Addr
}

// Files names the files in PEM form.
type Files struct {
	Certificate string
	Key         string
	// Authorities has the certificates that sign those of the other side.
	Authorities string
}

// reloadInterval is the time between two looks at the files.
const reloadInterval = 10 * time.Second

// Authorizer holds the certificates in use. It is safe for concurrent use.
type Authorizer struct {
	files Files
	// insecure is set when there is no TLS, and never changes.
	insecure bool
	lg       logr.Logger
	// current is replaced as a whole by Reload. It is nil only when insecure.
	current atomic.Pointer[material]
}

type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// stamps are the times of change and sizes of the files that were read.
	stamps [3]stamp
}

type stamp struct {
	modified time.Time
	size     int64
}

// New loads the certificate files. It returns ErrMaterial when they are not usable.
func New(fls Files, lg logr.Logger) (*Authorizer, error) {
	au := &Authorizer{files: fls, lg: lg}
	mt, err := load(fls)
	if err != nil {
		return nil, err
	}
	au.current.Store(mt)
	return au, nil
}

// NewInsecure returns an authorizer without TLS for an interface on loopback, where every caller
// may do everything. It returns ErrNotLoopback for any other address.
func NewInsecure(listen netip.AddrPort, lg logr.Logger) (*Authorizer, error) {
	if !listen.Addr().Unmap().IsLoopback() {
		return nil, fmt.Errorf("%w: %s", ErrNotLoopback, listen)
	}
	return &Authorizer{insecure: true, lg: lg}, nil
}

func load(fls Files) (*material, error) {
	mt := &material{}
	// Stamps are taken before the files are read, so that a change in between is seen next time.
	for at, name := range []string{fls.Certificate, fls.Key, fls.Authorities} {
		st, err := stampOf(name)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMaterial, err)
		}
		mt.stamps[at] = st
	}
	var err error
	if mt.certificate, err = tls.LoadX509KeyPair(fls.Certificate, fls.Key); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMaterial, err)
	}
	pem, err := os.ReadFile(fls.Authorities)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMaterial, err)
	}
	mt.authorities = x509.NewCertPool()
	if !mt.authorities.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w: %s has no certificate", ErrMaterial, fls.Authorities)
	}
	if time.Now().After(mt.certificate.Leaf.NotAfter) {
		return nil, fmt.Errorf("%w: %s has expired on %s", ErrMaterial, fls.Certificate, mt.certificate.Leaf.NotAfter)
	}
	return mt, nil
}

func stampOf(name string) (stamp, error) {
	fi, err := os.Stat(name)
	if err != nil {
		return stamp{}, err
	}
	return stamp{modified: fi.ModTime(), size: fi.Size()}, nil
}

// Insecure reports whether there is no TLS.
func (au *Authorizer) Insecure() bool { return au.insecure }

// Run reloads the files after they have changed, until ctx ends.
func (au *Authorizer) Run(ctx context.Context) {
	if au.insecure {
		return
	}
	// Reload logs its error, and the certificates in use stay.
	pauser.Every(ctx, reloadInterval, func(context.Context) { _ = au.Reload() })
}

// Reload reads the files if they have changed since they were read last. It returns ErrMaterial
// when they are not usable; the certificates in use then stay.
func (au *Authorizer) Reload() error {
	if au.insecure || !au.changed() {
		return nil
	}
	mt, err := load(au.files)
	if err != nil {
		logger.Log(au.lg, logger.CertificateKept, "Error", err.Error())
		return err
	}
	au.current.Store(mt)
	logger.Log(au.lg, logger.CertificateReloaded, "NotAfter", mt.certificate.Leaf.NotAfter)
	return nil
}

func (au *Authorizer) changed() bool {
	known := au.current.Load().stamps
	for at, name := range []string{au.files.Certificate, au.files.Key, au.files.Authorities} {
		if st, err := stampOf(name); err != nil || st != known[at] {
			return true
		}
	}
	return false
}

// ServerConfig returns the settings of a listener, or nil when insecure. Each new connection uses
// the certificates of that moment.
func (au *Authorizer) ServerConfig() *tls.Config {
	if au.insecure {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			mt := au.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{mt.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    mt.authorities,
				NextProtos:   []string{"h2", "http/1.1"},
				// A resumed session would keep a client whose authority was removed.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig returns the settings of connections to a server, or nil when insecure. New
// connections present the certificate of their moment. The authorities are those of the call, so
// use DialTLS, or call it for each connection, where a change of authorities must take effect.
func (au *Authorizer) ClientConfig() *tls.Config {
	if au.insecure {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &au.current.Load().certificate, nil
		},
		RootCAs: au.current.Load().authorities,
	}
}

// DialTLS connects with the certificates of the moment, for the field DialTLSContext of
// http.Transport. It must not be used when insecure.
func (au *Authorizer) DialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	dl := &tls.Dialer{Config: au.ClientConfig()}
	return dl.DialContext(ctx, network, address)
}

// SecurePeer makes an open connection to an entry host one of mutual TLS, with the certificates and
// authorities of the moment. It closes the connection and returns an error when the other side does
// not prove to be an entry host at that address. It must not be used when insecure.
func (au *Authorizer) SecurePeer(ctx context.Context, nc net.Conn, addr netip.Addr) (net.Conn, error) {
	cfg := au.ClientConfig()
	cfg.ServerName = addr.Unmap().WithZone("").String()
	cfg.VerifyConnection = func(cs tls.ConnectionState) error {
		if cert := cs.PeerCertificates[0]; !slices.Contains(cert.Subject.OrganizationalUnit, PeerUnit) {
			return fmt.Errorf("%w: %s is not an entry host", ErrNoRole, cert.Subject.CommonName)
		}
		return nil
	}
	tc := tls.Client(nc, cfg)
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return tc, nil
}

// Identify returns the operator that sent a request. It returns ErrNoCertificate, ErrNoRole or, for
// an insecure interface, ErrNotLoopback. The operator's name is known even with ErrNoRole.
func (au *Authorizer) Identify(rq *http.Request) (Operator, error) {
	ap, err := netip.ParseAddrPort(rq.RemoteAddr)
	if err != nil {
		return Operator{}, fmt.Errorf("%w: remote address: %w", ErrNoCertificate, err)
	}
	op := Operator{From: ap.Addr().Unmap()}
	if au.insecure {
		if !op.From.IsLoopback() {
			return op, fmt.Errorf("%w: called from %s", ErrNotLoopback, op.From)
		}
		op.Name, op.Role = "insecure", Administer
		return op, nil
	}
	if rq.TLS == nil || len(rq.TLS.VerifiedChains) == 0 {
		return op, ErrNoCertificate
	}
	return au.fromCertificate(op, rq.TLS.VerifiedChains[0][0])
}

// fromCertificate checks the end of validity again, because connections can be older than that.
func (au *Authorizer) fromCertificate(op Operator, cert *x509.Certificate) (Operator, error) {
	op.Name = cert.Subject.CommonName
	if op.Name == "" {
		return op, fmt.Errorf("%w: it has no common name", ErrNoCertificate)
	}
	if time.Now().After(cert.NotAfter) {
		return op, fmt.Errorf("%w: it has expired", ErrNoCertificate)
	}
	for _, unit := range cert.Subject.OrganizationalUnit {
		op.Role = max(op.Role, roleNames[unit])
	}
	if op.Role == 0 {
		return op, ErrNoRole
	}
	return op, nil
}

// IdentifyPeer returns the entry host that sent a request on the peers' interface, by the common
// name of its certificate, and an empty name when insecure. It returns ErrNoCertificate, ErrNoRole
// when the certificate is not one of an entry host, or ErrNotLoopback. Operators' certificates can
// be signed by the same authority, so a valid chain alone does not make a peer.
func (au *Authorizer) IdentifyPeer(rq *http.Request) (modeler.HostName, error) {
	op, err := au.Identify(rq)
	switch {
	case err != nil && !errors.Is(err, ErrNoRole):
		return "", err
	case au.insecure:
		return "", nil
	case !slices.Contains(rq.TLS.VerifiedChains[0][0].Subject.OrganizationalUnit, PeerUnit):
		return "", fmt.Errorf("%w: %s is not an entry host", ErrNoRole, op.Name)
	}
	return modeler.HostName(op.Name), nil
}

// Require returns ErrRole when the operator's role does not include the one that is needed.
func (op Operator) Require(needed Role) error {
	if op.Role < needed {
		return fmt.Errorf("%w: it needs %s, %s has %s", ErrRole, needed, op.Name, op.Role)
	}
	return nil
}
