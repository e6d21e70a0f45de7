// Package distributor holds the revision of the shared configuration that is in force at a host.
// The revision never goes down in the life of a process, whatever the store or peers offer.
package distributor

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/daemon/meter"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/platform/storer"
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
	// Reachable lists the hosts that may answer, the best ones first.
	Reachable() []modeler.HostName
	// Fetch returns a document of at least the minimum revision. A peer that has none returns an
	// error.
	Fetch(ctx context.Context, host modeler.HostName, minimum modeler.Revision) ([]byte, modeler.Revision, error)
}

// Options configure a Distributor.
type Options struct {
	Store Store
	Peers Peers
	// Watching says whether this host watches the store for its data centre at present.
	Watching func() bool
	// Accepted is called after every change with the revision now in force. fromPeer is set when
	// a peer sent it. It may be nil.
	Accepted func(rev modeler.Revision, fromPeer bool)
	// Timeout bounds one call to the store or a peer, except a waiting watch.
	Timeout time.Duration
	Log     logr.Logger
	Meter   *meter.Registry
}

// Distributor holds the configuration in force. It is safe for concurrent use.
type Distributor struct {
	opt Options
	cur atomic.Pointer[modeler.Configuration]
}

// New returns a distributor without a configuration.
func New(opt Options) *Distributor { return &Distributor{opt: opt} }

// Current returns the configuration in force, and nil when there is none. It takes no lock.
func (dst *Distributor) Current() *modeler.Configuration { return dst.cur.Load() }

// Changed returns a channel that is closed at the next change.
func (dst *Distributor) Changed() <-chan struct{} { return nil }

// Document returns the document in force, and a zero revision when there is none.
func (dst *Distributor) Document() ([]byte, modeler.Revision) { return nil, 0 }

// Offer puts a document in force if its revision is higher than the present one. The same
// document is accepted again without effect. Errors: ErrLowerRevision, ErrContentDiffers and
// checker.ErrInvalid.
func (dst *Distributor) Offer(_ []byte, _ modeler.Revision) error { return ErrLowerRevision }

// Start finds a first configuration: from the store, else from all peers for up to 2 s. It
// returns ErrNoConfiguration when there is none.
func (dst *Distributor) Start(_ context.Context) error { return ErrNoConfiguration }

// Run watches the store while Watching says so and fetches from peers when they report a higher
// revision. It returns when the context ends.
func (dst *Distributor) Run(_ context.Context) {}

// Learn tells that a peer has a revision. Run fetches it when it is higher than the one in force.
func (dst *Distributor) Learn(_ modeler.HostName, _ modeler.Revision) {}

// Put validates a document and writes it as the successor of the expected revision, which is zero
// for the first one. Errors: ErrConflict, ErrResultUnknown, checker.ErrInvalid and
// storer.ErrUnavailable.
func (dst *Distributor) Put(_ context.Context, _ []byte, _ modeler.Revision) (modeler.Revision, error) {
	return 0, ErrConflict
}

// History lists the kept revisions in the store, the oldest first.
func (dst *Distributor) History(_ context.Context) ([]modeler.Revision, error) { return nil, nil }

// Past returns the document of a kept revision. Errors: storer.ErrNotFound, storer.ErrUnavailable.
func (dst *Distributor) Past(_ context.Context, _ modeler.Revision) ([]byte, error) {
	return nil, storer.ErrNotFound
}
