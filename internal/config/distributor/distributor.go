// Package distributor holds the revision of the shared configuration that is in force at a host.
// The revision never goes down in the life of a process, whatever the store or peers offer.
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

// Errors of a distributor. Callers test for them with errors.Is.
var (
	// ErrLowerRevision means that an offered revision is below the one in force. It was refused.
	ErrLowerRevision = errors.New("revision is lower than the one in force")
	// ErrContentDiffers means that an offered document has the revision in force and another
	// content. It was refused. Somebody wrote the store without compare-and-swap.
	ErrContentDiffers = errors.New("document differs from the one in force with the same revision")
	// ErrConflict means that another operator's change came first. Nothing was written.
	ErrConflict = errors.New("configuration was changed by another operator")
	// ErrResultUnknown means that the answer to a write was lost and the store can't be read. The
	// change may come into force later.
	ErrResultUnknown = errors.New("result of the change is unknown")
	// ErrNoConfiguration means that neither the store nor a peer has a configuration.
	ErrNoConfiguration = errors.New("no configuration found")
)

// Store is the part of the key-value service that a distributor uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
	List(ctx context.Context, prefix, after string, limit int) ([]storer.Entry, error)
	Wait(ctx context.Context, prefix string, after int64) ([]storer.Entry, int64, error)
}

// Peers reaches the other entry hosts.
type Peers interface {
	// Addresses lists the peers that may answer.
	Addresses() []netip.AddrPort
	// Fetch returns a document of at least the minimum revision. It fails when the peer has none.
	// The base is the caller's present document and its revision, zero for none.
	Fetch(ctx context.Context, addr netip.AddrPort, minimum modeler.Revision, base []byte, baseRev modeler.Revision) ([]byte, modeler.Revision, error)
}

// Options configure a Distributor.
type Options struct {
	Store Store
	Peers Peers
	// Watching says whether this host watches the store for its data centre at present.
	Watching func() bool
	// Accepted is called after every change with the revision now in force and the peer that sent
	// it. The address is not valid for a document from the store or an operator. It may be nil.
	Accepted func(rev modeler.Revision, from netip.AddrPort)
	// Timeout bounds one call to the store or a peer, except a waiting watch.
	Timeout time.Duration
	Log     logr.Logger
	Meter   *meter.Registry
}

// keptFormers is the number of documents that are kept to tell peers the difference from them. At
// 15,000 changes a day a peer may be 45 s behind; one that is further behind gets the whole.
const keptFormers = 8

// Distributor holds the configuration in force. It is safe for concurrent use.
type Distributor struct {
	opt Options
	// cur is nil until a first configuration is accepted. Its revision only rises.
	cur atomic.Pointer[inForce]

	// mu orders changes of cur and guards the fields below.
	mu sync.Mutex
	// changed is closed and replaced with every change of cur.
	changed chan struct{}
	// refused is the last refusal that was logged. A source that keeps offering the same wrong
	// revision is logged once and counted every time.
	refused refusal
	// known maps a peer to the revision it last reported, for revisions above the one in force.
	known map[netip.AddrPort]modeler.Revision
	// formers holds the last documents, the newest one included.
	formers []*inForce
	// unusable is the last revision that a peer sent and that has faults for this process.
	unusable modeler.Revision
	// wake signals that known has a new revision. It holds at most one signal.
	wake chan struct{}
}

type inForce struct {
	cfg *modeler.Configuration
	doc []byte
}

type refusal struct {
	event  int
	source string
	rev    modeler.Revision
}

// New returns a distributor without a configuration.
func New(opt Options) *Distributor {
	return &Distributor{
		opt:     opt,
		changed: make(chan struct{}),
		known:   map[netip.AddrPort]modeler.Revision{},
		wake:    make(chan struct{}, 1),
	}
}

// Current returns the configuration in force, and nil when there is none. It takes no lock.
func (dst *Distributor) Current() *modeler.Configuration {
	if inf := dst.cur.Load(); inf != nil {
		return inf.cfg
	}
	return nil
}

// Changed returns a channel that is closed at the next change. A caller takes the channel before
// it reads Current, so that it misses no change.
func (dst *Distributor) Changed() <-chan struct{} {
	dst.mu.Lock()
	defer dst.mu.Unlock()
	return dst.changed
}

// Document returns the document in force, and a zero revision when there is none. The document
// must not be changed.
func (dst *Distributor) Document() ([]byte, modeler.Revision) {
	inf := dst.cur.Load()
	if inf == nil {
		return nil, 0
	}
	return inf.doc, inf.cfg.Revision
}

// Former returns the document of a revision that was in force lately, or nil when it is not kept.
// It must not be changed.
func (dst *Distributor) Former(rev modeler.Revision) []byte {
	dst.mu.Lock()
	defer dst.mu.Unlock()
	for _, inf := range dst.formers {
		if inf.cfg.Revision == rev {
			return inf.doc
		}
	}
	return nil
}

// Offer puts a document in force if its revision is higher than the present one. The document in
// force is accepted again without effect. Errors: ErrLowerRevision, ErrContentDiffers and
// checker.ErrInvalid.
func (dst *Distributor) Offer(document []byte, rev modeler.Revision) error {
	return dst.offer(offered{doc: document, rev: rev, source: "caller"})
}

func (dst *Distributor) offer(off offered) error {
	accepted, err := dst.accept(off.doc, off.rev, off.source)
	if accepted && dst.opt.Accepted != nil {
		dst.opt.Accepted(off.rev, off.peer)
	}
	return err
}

func (dst *Distributor) accept(doc []byte, rev modeler.Revision, source string) (bool, error) {
	dst.mu.Lock()
	defer dst.mu.Unlock()
	present := dst.revision()
	if rev < present || rev <= 0 {
		dst.refuse(logger.ConfigurationRefused, meter.RevisionsRefused, source, rev)
		return false, fmt.Errorf("revision %d from %s, in force is %d: %w", rev, source, present, ErrLowerRevision)
	}
	if rev == present {
		if bytes.Equal(doc, dst.cur.Load().doc) {
			return false, nil
		}
		dst.refuse(logger.ConfigurationDiffers, meter.RevisionsDiffering, source, rev)
		return false, fmt.Errorf("revision %d from %s: %w", rev, source, ErrContentDiffers)
	}
	cfg, err := checker.Parse(doc, rev)
	if err != nil {
		dst.refuse(logger.ConfigurationInvalid, meter.RevisionsInvalid, source, rev)
		return false, err
	}
	inf := &inForce{cfg: cfg, doc: bytes.Clone(doc)}
	dst.cur.Store(inf)
	dst.formers = append(dst.formers, inf)
	dst.formers = dst.formers[max(0, len(dst.formers)-keptFormers):]
	close(dst.changed)
	dst.changed = make(chan struct{})
	dst.forget(rev)
	dst.opt.Meter.Set(meter.ConfigurationRevision, int64(rev))
	logger.Log(dst.opt.Log, logger.ConfigurationAccepted, "Revision", rev, "Source", source)
	return true, nil
}

// refuse counts a refusal and logs it unless it is the same as the one before.
func (dst *Distributor) refuse(ev logger.Event, mt meter.Metric, source string, rev modeler.Revision) {
	dst.opt.Meter.Add(mt, 1)
	ref := refusal{ev.Number, source, rev}
	if ref == dst.refused {
		return
	}
	dst.refused = ref
	logger.Log(dst.opt.Log, ev, "Source", source, "Revision", rev, "InForce", dst.revision())
}

// revision returns the revision in force, and zero when there is none.
func (dst *Distributor) revision() modeler.Revision {
	if inf := dst.cur.Load(); inf != nil {
		return inf.cfg.Revision
	}
	return 0
}

// forget removes reports that are not above the revision in force.
func (dst *Distributor) forget(rev modeler.Revision) {
	for addr, reported := range dst.known {
		if reported <= rev {
			delete(dst.known, addr)
		}
	}
}
