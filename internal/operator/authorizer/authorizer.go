// Package authorizer authenticates operators and peers by mutual TLS and determines the roles of
// operators.
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
	// ErrNotLoopback means that an interface without TLS was configured with, or called from, an
	// address that is not a loopback address.
	ErrNotLoopback = errors.New("insecure is allowed only on loopback")
	// ErrNoCertificate means that the caller has no valid client certificate.
	ErrNoCertificate = errors.New("no valid client certificate")
	// ErrNoRole means that the certificate names no role of an operator, or is not that of an entry
	// host where one is required.
	ErrNoRole = errors.New("the client certificate names no role")
	// ErrRoleTooLow means that the caller's role does not permit the command.
	ErrRoleTooLow = errors.New("the role does not include the command")
	// ErrCertificateFiles means that a certificate, key or CA file cannot be read or is not valid.
	ErrCertificateFiles = errors.New("certificate files are not usable")
)

// Role is the permission level of an operator. A higher role includes the lower ones.
type Role int

// The roles of operators. The organizational unit (OU) of the certificate's subject names the role.
const (
	// Read permits all queries.
	Read Role = iota + 1
	// Plan also permits importing plans and cancelling jobs.
	Plan
	// Administer also permits changing the configuration, draining hosts and statements about tasks
	// and workers.
	Administer
)

var rolesByName = map[string]Role{"Read": Read, "Plan": Plan, "Administer": Administer}

// String returns the name of the role.
func (rl Role) String() string {
	for name, known := range rolesByName {
		if known == rl {
			return name
		}
	}
	return "None"
}

// PeerUnit is the organizational unit (OU) in the certificates of entry hosts.
const PeerUnit = "EntryHost"

// Operator is an authenticated caller of the operators' interface.
type Operator struct {
	// Name is the common name of the certificate.
	Name string
	Role Role
	// From is the address that the request came from.
	From netip.Addr
}

// Files names the PEM files of a host or client.
type Files struct {
	Certificate string
	Key         string
	// Authorities has the certificates of the authorities (CAs) that sign the other side's
	// certificates.
	Authorities string
}

// reloadInterval is the time between two checks of the files for changes.
const reloadInterval = 10 * time.Second

// Authorizer holds the certificates in use. It is safe for concurrent use.
type Authorizer struct {
	files Files
	// insecure is set if the interface has no TLS. It never changes.
	insecure bool
	lg       logr.Logger
	// current is replaced by Reload. It is nil only if insecure is set.
	current atomic.Pointer[credentials]
}

// credentials are the certificates loaded from Files.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// fileStamps are the states of the files from which these credentials were loaded.
	fileStamps [3]fileStamp
}

// fileStamp detects changes of a file.
type fileStamp struct {
	modified time.Time
	size     int64
}

// New loads the certificate files. It returns ErrCertificateFiles when they are not usable.
func New(fls Files, lg logr.Logger) (*Authorizer, error) {
	au := &Authorizer{files: fls, lg: lg}
	cr, err := loadCredentials(fls)
	if err != nil {
		return nil, err
	}
	au.current.Store(cr)
	return au, nil
}

// NewInsecure returns an authorizer without TLS for an interface on a loopback address, where every
// caller has the role Administer. It returns ErrNotLoopback for any other address.
func NewInsecure(listen netip.AddrPort, lg logr.Logger) (*Authorizer, error) {
	if !listen.Addr().Unmap().IsLoopback() {
		return nil, fmt.Errorf("%w: %s", ErrNotLoopback, listen)
	}
	return &Authorizer{insecure: true, lg: lg}, nil
}

func loadCredentials(fls Files) (*credentials, error) {
	cr := &credentials{}
	// Take the stamps before reading the files, so that the next check detects a change in between.
	for at, name := range []string{fls.Certificate, fls.Key, fls.Authorities} {
		st, err := statFile(name)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrCertificateFiles, err)
		}
		cr.fileStamps[at] = st
	}
	var err error
	if cr.certificate, err = tls.LoadX509KeyPair(fls.Certificate, fls.Key); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCertificateFiles, err)
	}
	pem, err := os.ReadFile(fls.Authorities)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCertificateFiles, err)
	}
	cr.authorities = x509.NewCertPool()
	if !cr.authorities.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w: %s has no certificate", ErrCertificateFiles, fls.Authorities)
	}
	if time.Now().After(cr.certificate.Leaf.NotAfter) {
		return nil, fmt.Errorf("%w: %s has expired on %s", ErrCertificateFiles, fls.Certificate, cr.certificate.Leaf.NotAfter)
	}
	return cr, nil
}

func statFile(name string) (fileStamp, error) {
	fi, err := os.Stat(name)
	if err != nil {
		return fileStamp{}, err
	}
	return fileStamp{modified: fi.ModTime(), size: fi.Size()}, nil
}

// Insecure reports whether the interface has no TLS.
func (au *Authorizer) Insecure() bool { return au.insecure }

// Run checks the files every reloadInterval and reloads them after a change, until ctx ends.
func (au *Authorizer) Run(ctx context.Context) {
	if au.insecure {
		return
	}
	// Reload logs its error and keeps the certificates in use.
	pauser.Every(ctx, reloadInterval, func(context.Context) { _ = au.Reload() })
}

// Reload reloads the files if they have changed since they were last loaded. When they are not
// usable, it returns ErrCertificateFiles and keeps the certificates in use.
func (au *Authorizer) Reload() error {
	if au.insecure || !au.filesChanged() {
		return nil
	}
	cr, err := loadCredentials(au.files)
	if err != nil {
		logger.Log(au.lg, logger.CertificateKept, "Error", err.Error())
		return err
	}
	au.current.Store(cr)
	logger.Log(au.lg, logger.CertificateReloaded, "NotAfter", cr.certificate.Leaf.NotAfter)
	return nil
}

func (au *Authorizer) filesChanged() bool {
	known := au.current.Load().fileStamps
	for at, name := range []string{au.files.Certificate, au.files.Key, au.files.Authorities} {
		if st, err := statFile(name); err != nil || st != known[at] {
			return true
		}
	}
	return false
}

// ServerConfig returns the TLS configuration of a listener, or nil when insecure. Each new
// connection uses the certificates that are current at its start.
func (au *Authorizer) ServerConfig() *tls.Config {
	if au.insecure {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cr := au.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{cr.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    cr.authorities,
				NextProtos:   []string{"h2", "http/1.1"},
				// A resumed session would accept a client whose CA has been removed.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration of connections to a server, or nil when insecure. New
// connections present the certificate that is current at their start. The CAs, however, are fixed
// at the call of ClientConfig: where a change of CAs must take effect, use DialTLS or call
// ClientConfig for each connection.
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

// DialTLS connects with the current certificates and CAs. It can be used as DialTLSContext of
// http.Transport. It must not be called when insecure.
func (au *Authorizer) DialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	dl := &tls.Dialer{Config: au.ClientConfig()}
	return dl.DialContext(ctx, network, address)
}

// SecurePeer performs the mutual TLS handshake on an open connection to an entry host, with the
// current certificates and CAs. When the other side's certificate is not that of an entry host with
// the given address, it closes the connection and returns an error. It must not be called when
// insecure.
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

// Identify returns the operator that sent a request. Its errors are ErrNoCertificate, ErrNoRole
// and, for an insecure interface, ErrNotLoopback. The operator's name is set even with ErrNoRole.
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
	return au.operatorOf(op, rq.TLS.VerifiedChains[0][0])
}

// operatorOf adds the name and role in the certificate to op. It checks the expiry again, because
// the certificate may have expired after the TLS handshake.
func (au *Authorizer) operatorOf(op Operator, cert *x509.Certificate) (Operator, error) {
	op.Name = cert.Subject.CommonName
	if op.Name == "" {
		return op, fmt.Errorf("%w: it has no common name", ErrNoCertificate)
	}
	if time.Now().After(cert.NotAfter) {
		return op, fmt.Errorf("%w: it has expired", ErrNoCertificate)
	}
	for _, unit := range cert.Subject.OrganizationalUnit {
		op.Role = max(op.Role, rolesByName[unit])
	}
	if op.Role == 0 {
		return op, ErrNoRole
	}
	return op, nil
}

// IdentifyPeer returns the name of the entry host that sent a request on the peers' interface,
// which is the common name of its certificate, or an empty name when insecure. Its errors are
// ErrNoCertificate, ErrNotLoopback, and ErrNoRole when the certificate is not that of an entry
// host. A valid chain alone does not identify a peer, because operators' certificates can be signed
// by the same CA.
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

// Require returns ErrRoleTooLow when the operator's role is lower than the needed one.
func (op Operator) Require(needed Role) error {
	if op.Role < needed {
		return fmt.Errorf("%w: it needs %s, %s has %s", ErrRoleTooLow, needed, op.Name, op.Role)
	}
	return nil
}
