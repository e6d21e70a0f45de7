// Package subscriber keeps the queues' configuration that is in force at a host up to date with the
// operators' document in the store. The revision in force never decreases while a process runs.
package subscriber

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/singleflight"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/watcher"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
	"github.com/currantrouter/currantrouter/internal/telemetry/reporter"
)

// ConfigurationEntry describes the entry in the store to which operators write the configuration.
type ConfigurationEntry struct {
	Key string
	// Decode returns the configuration that the entry's value describes.
	Decode func(value []byte) (*modeler.Configuration, error)
}

// Store is the part of the key-value service that the subscriber needs.
type Store interface {
	watcher.Source
	// Poll returns what Wait does, but at once if there are no changes. Errors: those of package storer.
	Poll(ctx context.Context, prefix string, after int64) ([]storer.Entry, int64, error)
	Get(ctx context.Context, key string) (storer.Entry, error)
}

// Subscriber holds the configuration in force. It is safe for concurrent use.
type Subscriber struct {
	store Store
	entry ConfigurationEntry
	dial  func(netip.AddrPort) messenger.Jobs
	log   logr.Logger
	meter *meter.Registry
	// invalid reports configurations that are refused.
	invalid *reporter.Reporter
	watcher *watcher.Watcher
	current atomic.Pointer[modeler.Configuration]
	// document is what peers get.
	document peerDocument
	// reads has the read of the store for Refresh that is under way.
	reads singleflight.Group

	mu sync.Mutex
	// decodedRevision is the store's revision of the entry that was decoded last.
	decodedRevision int64
	// storeRevision is the store's revision of the entry with the configuration in force, or zero if it is unknown.
	storeRevision int64
	// sources holds the revisions of peers that reported a higher one and were not asked for it since.
	sources map[netip.AddrPort]int64
	// fetching is set while the configurations of peers are requested.
	fetching bool
	lag      lag
	// readAt is when the last successful read for Refresh began.
	readAt time.Time
	// watchFailures and fetchFailures are those of calls to the store and of requests to peers.
	watchFailures, fetchFailures failures
}

// New returns a subscriber without a configuration. The function dial returns the client for a
// peer.
func New(st Store, ce ConfigurationEntry, dial func(netip.AddrPort) messenger.Jobs, lg logr.Logger, rg *meter.Registry) *Subscriber {
	sb := &Subscriber{store: st, entry: ce, dial: dial, log: lg, meter: rg, invalid: reporter.New(lg, rg), sources: map[netip.AddrPort]int64{}}
	sb.watcher = watcher.NewForEntry(st, ce.Key, watcher.Sink{Reset: sb.applyEntries, Apply: sb.applyEntries, OnCall: sb.onWatchCall}, "queues", lg)
	return sb
}

// Run watches the store until the context ends.
func (sb *Subscriber) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { sb.reportLag(ctx) })
	sb.watcher.Run(ctx)
	wg.Wait()
}

// Current returns the configuration in force, or nil.
func (sb *Subscriber) Current() *modeler.Configuration { return sb.current.Load() }

// Revision returns the revision in force, or zero if there is none.
func (sb *Subscriber) Revision() int64 {
	if cfg := sb.current.Load(); cfg != nil {
		return cfg.Revision
	}
	return 0
}

func (sb *Subscriber) applyEntries(ens []storer.Entry) {
	for _, en := range ens {
		if en.Key == sb.entry.Key && !en.Deleted {
			sb.decode(en)
		}
	}
}

// decode puts the configuration of an entry in force if the entry is newer than the last one.
func (sb *Subscriber) decode(en storer.Entry) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	if en.Revision <= sb.decodedRevision {
		return
	}
	cfg, err := sb.entry.Decode(en.Value)
	if err != nil {
		sb.invalid.Report(logger.QueuesInvalid, meter.EntriesInvalid, en.Key, err, "Revision", en.Revision)
		return
	}
	sb.decodedRevision = en.Revision
	sb.accept(cfg, en.Revision, "store")
}

// accept puts a configuration in force if its revision is higher than the one in force, and reports whether it did. The
// caller holds mu.
func (sb *Subscriber) accept(cfg *modeler.Configuration, storeRevision int64, origin string) bool {
	if current := sb.current.Load(); current != nil && current.Revision >= cfg.Revision {
		return false
	}
	sb.storeRevision = storeRevision
	sb.current.Store(cfg)
	behind := sb.lag.advance(cfg.Revision, time.Now())
	sb.meter.Set(meter.QueuesRevision, cfg.Revision)
	sb.meter.Set(meter.QueuesLag, behind.Milliseconds())
	logger.Log(sb.log, logger.QueuesAccepted, "Revision", cfg.Revision, "Queues", len(cfg.Queues), "From", origin, "Lag", behind.String(),
		"WatchFailures", sb.watchFailures.count, "FetchFailures", sb.fetchFailures.count)
	return true
}
