// Package distributor holds the shared configuration that is in force at a host, and updates it from
// the store and from peers. The revision never decreases during the lifetime of a process.
package distributor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/config/checker"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Errors of a Distributor. They may be wrapped.
var (
	// ErrLowerRevision means that a document was refused because its revision is lower than the one in
	// force.
	ErrLowerRevision = errors.New("configuration revision is lower than the one in force")
	// ErrContentDiffers means that a document was refused because it has the revision in force but
	// other content. The store was written without compare-and-swap or restored from an old copy.
	ErrContentDiffers = errors.New("document differs from the one in force with the same revision")
	// ErrConflict means that the expected revision isn't the current one, because another operator
	// changed the configuration. Nothing was written.
	ErrConflict = errors.New("configuration was changed by another operator")
	// ErrResultUnknown means that the answer to a write was lost and its result could not be
	// determined. The change may still take effect.
	ErrResultUnknown = errors.New("result of the change is unknown")
	// ErrNoConfiguration means that neither the store nor a peer has a configuration.
	ErrNoConfiguration = errors.New("no configuration found in the store or at peers")
)

// Store is the part of the key-value service that a distributor uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
	List(ctx context.Context, prefix, after string, limit int) ([]storer.Entry, error)
	Wait(ctx context.Context, prefix string, after int64) ([]storer.Entry, int64, error)
}

// Peers calls the other entry hosts.
type Peers interface {
	// Addresses returns the addresses of the peers to ask.
	Addresses() []netip.AddrPort
	// Fetch returns the document in force at a peer and its revision. It fails when the revision is
	// below the minimum. The base is the document in force at the caller and its revision, zero when
	// there is none; the peer may send only the difference from it.
	Fetch(ctx context.Context, addr netip.AddrPort, minimum modeler.Revision, base []byte, baseRev modeler.Revision) ([]byte, modeler.Revision, error)
}

// Options configure a Distributor.
type Options struct {
	Store Store
	Peers Peers
	// IsWatching reports whether this host currently watches the store for its data centre.
	IsWatching func() bool
	// OnAccepted is called after every change with the revision now in force and the address of the
	// peer that sent it, which is not valid if the document came from the store or an operator.
	// OnAccepted may be nil.
	OnAccepted func(rev modeler.Revision, from netip.AddrPort)
	// Timeout bounds one call to the store or a peer, except Store.Wait.
	Timeout time.Duration
	Log     logr.Logger
	Meter   *meter.Registry
}

// maxRecent is the number of documents that are kept as bases of differences for peers. At 15,000
// changes a day this covers peers up to 45 s behind; others are sent the whole document.
const maxRecent = 8

// Distributor holds the configuration in force. It is safe for concurrent use.
type Distributor struct {
	opt Options
	// cur is nil until the first configuration is accepted. Its revision only increases.
	cur atomic.Pointer[parsedDocument]

	// mu serializes changes of cur and guards the fields below.
	mu sync.Mutex
	// changed is closed and replaced at every change of cur.
	changed chan struct{}
	// lastRefusal is the last refusal that was logged. Repetitions of it are counted but not logged.
	lastRefusal refusal
	// reported maps a peer to the highest revision that it reported, if that is above the one in force.
	reported map[netip.AddrPort]modeler.Revision
	// recent holds the last documents in force, the newest last.
	recent []*parsedDocument
	// invalidRev is the last revision fetched from a peer that this process refused as invalid.
	invalidRev modeler.Revision
	// wake signals that reported has a new entry. It buffers one signal.
	wake chan struct{}
}

// parsedDocument is a configuration and the document that it was parsed from.
type parsedDocument struct {
	cfg *modeler.Configuration
	doc []byte
}

// refusal identifies a refused document.
type refusal struct {
	// event is the number of the log event.
	event  int
	source string
	rev    modeler.Revision
}

// New returns a distributor without a configuration.
func New(opt Options) *Distributor {
	return &Distributor{
		opt:      opt,
		changed:  make(chan struct{}),
		reported: map[netip.AddrPort]modeler.Revision{},
		wake:     make(chan struct{}, 1),
	}
}

// Current returns the configuration in force, or nil when there is none. It takes no lock.
func (dst *Distributor) Current() *modeler.Configuration {
	if pd := dst.cur.Load(); pd != nil {
		return pd.cfg
	}
	return nil
}

// Changed returns a channel that is closed at the next change. Callers must get the channel before
// they call Current, or they may miss a change.
func (dst *Distributor) Changed() <-chan struct{} {
	dst.mu.Lock()
	defer dst.mu.Unlock()
	return dst.changed
}

// Document returns the document in force and its revision, which is zero when there is none. The
// document must not be modified.
func (dst *Distributor) Document() ([]byte, modeler.Revision) {
	pd := dst.cur.Load()
	if pd == nil {
		return nil, 0
	}
	return pd.doc, pd.cfg.Revision
}

// RecentDocument returns the document of one of the last revisions in force, or nil when it is no
// longer kept. The document must not be modified.
func (dst *Distributor) RecentDocument(rev modeler.Revision) []byte {
	dst.mu.Lock()
	defer dst.mu.Unlock()
	for _, pd := range dst.recent {
		if pd.cfg.Revision == rev {
			return pd.doc
		}
	}
	return nil
}

// Offer puts a document in force if its revision is higher than the one in force. It does nothing when
// the document already is in force. Errors: ErrLowerRevision, ErrContentDiffers and
// checker.ErrInvalid.
func (dst *Distributor) Offer(document []byte, rev modeler.Revision) error {
	return dst.offer(offeredDocument{doc: document, rev: rev, source: "caller"})
}

func (dst *Distributor) offer(od offeredDocument) error {
	accepted, err := dst.accept(od.doc, od.rev, od.source)
	if accepted && dst.opt.OnAccepted != nil {
		dst.opt.OnAccepted(od.rev, od.peer)
	}
	return err
}

// accept implements Offer. It returns true when the configuration in force has changed.
func (dst *Distributor) accept(doc []byte, rev modeler.Revision, source string) (bool, error) {
	dst.mu.Lock()
	defer dst.mu.Unlock()
	current := dst.revision()
	if rev < current || rev <= 0 {
		dst.recordRefusal(logger.ConfigurationRefused, meter.RevisionsRefused, source, rev)
		return false, fmt.Errorf("accept revision %d from %s at revision %d: %w", rev, source, current, ErrLowerRevision)
	}
	if rev == current {
		if bytes.Equal(doc, dst.cur.Load().doc) {
			return false, nil
		}
		dst.recordRefusal(logger.ConfigurationDiffers, meter.RevisionsDiffering, source, rev)
		return false, fmt.Errorf("revision %d from %s: %w", rev, source, ErrContentDiffers)
	}
	cfg, err := checker.Parse(doc, rev)
	if err != nil {
		dst.recordRefusal(logger.ConfigurationInvalid, meter.RevisionsInvalid, source, rev)
		return false, err
	}
	pd := &parsedDocument{cfg: cfg, doc: bytes.Clone(doc)}
	dst.cur.Store(pd)
	dst.recent = append(dst.recent, pd)
	dst.recent = dst.recent[max(0, len(dst.recent)-maxRecent):]
	close(dst.changed)
	dst.changed = make(chan struct{})
	dst.pruneReports(rev)
	dst.opt.Meter.Set(meter.ConfigurationRevision, int64(rev))
	logger.Log(dst.opt.Log, logger.ConfigurationAccepted, "Revision", rev, "Source", source)
	return true, nil
}

// recordRefusal counts a refusal, and logs it unless it equals the last one.
func (dst *Distributor) recordRefusal(ev logger.Event, mt meter.Metric, source string, rev modeler.Revision) {
	dst.opt.Meter.Add(mt, 1)
	ref := refusal{ev.Number, source, rev}
	if ref == dst.lastRefusal {
		return
	}
	dst.lastRefusal = ref
	logger.Log(dst.opt.Log, ev, "Source", source, "Revision", rev, "InForce", dst.revision())
}

// revision returns the revision in force, or zero when there is none.
func (dst *Distributor) revision() modeler.Revision {
	if pd := dst.cur.Load(); pd != nil {
		return pd.cfg.Revision
	}
	return 0
}

// pruneReports removes the reports of revisions that are not above rev. mu is held.
func (dst *Distributor) pruneReports(rev modeler.Revision) {
	for addr, peerRev := range dst.reported {
		if peerRev <= rev {
			delete(dst.reported, addr)
		}
	}
}
