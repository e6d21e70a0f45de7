// Package subscriber keeps the operators' configuration of queues in force. The revision in force
// never falls during the life of a process.
package subscriber

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/watcher"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// confirmTimeout bounds the read that precedes the answer that there is no such queue.
	confirmTimeout = 700 * time.Millisecond
	// fetchTimeout bounds the question to a peer that has a higher revision.
	fetchTimeout = 500 * time.Millisecond
	// ownDelay is how long this host's own watch may take before a peer is asked.
	ownDelay = 250 * time.Millisecond
)

// Source is where operators write the configuration.
type Source struct {
	Key    string
	Decode func(value []byte) (*modeler.Configuration, error)
}

// Store is the part of the key-value service that the subscriber needs.
type Store interface {
	watcher.Source
	Get(ctx context.Context, key string) (storer.Entry, error)
}

// Subscriber holds the configuration in force. It is safe for concurrent use.
type Subscriber struct {
	store   Store
	source  Source
	dial    func(netip.AddrPort) messenger.Jobs
	log     logr.Logger
	meter   *meter.Registry
	watcher *watcher.Watcher
	current atomic.Pointer[modeler.Configuration]

	mu sync.Mutex
	// written is the revision of the store's entry that was decoded last.
	written  int64
	fetching bool
}

// New returns a subscriber without a configuration. Peers are asked over dial.
func New(st Store, src Source, dial func(netip.AddrPort) messenger.Jobs, lg logr.Logger, rg *meter.Registry) *Subscriber {
	sb := &Subscriber{store: st, source: src, dial: dial, log: lg, meter: rg}
	sb.watcher = watcher.New(st, src.Key, watcher.Sink{Reset: sb.take, Apply: sb.take}, "queues", 0, lg)
	return sb
}

// Run follows the store until the context ends.
func (sb *Subscriber) Run(ctx context.Context) { sb.watcher.Run(ctx) }

// Current returns the configuration in force, or nil.
func (sb *Subscriber) Current() *modeler.Configuration { return sb.current.Load() }

// Revision returns the revision in force, zero for none.
func (sb *Subscriber) Revision() int64 {
	if cfg := sb.current.Load(); cfg != nil {
		return cfg.Revision
	}
	return 0
}

// Age returns how old the copy of the store may be at most, and false when there was none yet.
func (sb *Subscriber) Age() (time.Duration, bool) { return sb.watcher.Age() }

func (sb *Subscriber) take(ens []storer.Entry) {
	for _, en := range ens {
		if en.Key == sb.source.Key && !en.Deleted {
			sb.decode(en)
		}
	}
}

func (sb *Subscriber) decode(en storer.Entry) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	if en.Revision <= sb.written {
		return
	}
	cfg, err := sb.source.Decode(en.Value)
	if err != nil {
		logger.Log(sb.log, logger.QueuesInvalid, "Revision", en.Revision, "Error", err.Error())
		return
	}
	sb.written = en.Revision
	sb.accept(cfg, "store")
}

// accept puts a configuration in force unless it is older than the one in force.
func (sb *Subscriber) accept(cfg *modeler.Configuration, from string) {
	if former := sb.current.Load(); former != nil && former.Revision >= cfg.Revision {
		return
	}
	sb.current.Store(cfg)
	sb.meter.Set(meter.QueuesRevision, cfg.Revision)
	logger.Log(sb.log, logger.QueuesAccepted, "Revision", cfg.Revision, "Queues", len(cfg.Queues), "From", from)
}

// Confirm reads the store, so that an answer about a queue that is missing does not rest on an old
// copy. Errors are those of the store: the copy may be old then.
func (sb *Subscriber) Confirm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	en, err := sb.store.Get(ctx, sb.source.Key)
	if err == nil {
		sb.decode(en)
	}
	return err
}

// OnHigherRevision notes that a peer has a higher revision. The peer is asked unless this host's own watch
// brings that revision soon.
func (sb *Subscriber) OnHigherRevision(addr netip.AddrPort, revision int64) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	if sb.fetching {
		return
	}
	sb.fetching = true
	go sb.fetch(addr, revision)
}

func (sb *Subscriber) fetch(addr netip.AddrPort, revision int64) {
	defer func() {
		sb.mu.Lock()
		defer sb.mu.Unlock()
		sb.fetching = false
	}()
	time.Sleep(ownDelay)
	if sb.Revision() >= revision {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	doc, err := sb.dial(addr).Queues(ctx, &messenger.QueuesQuery{})
	if err == nil {
		err = sb.takeDocument(doc.Document, addr)
	}
	if err != nil {
		logger.Log(sb.log, logger.QueuesNotFetched, "Peer", addr, "Revision", revision, "Error", err.Error())
	}
}

func (sb *Subscriber) takeDocument(document []byte, addr netip.AddrPort) error {
	cfg := new(modeler.Configuration)
	if err := json.Unmarshal(document, cfg); err != nil {
		return err
	}
	sb.mu.Lock()
	defer sb.mu.Unlock()
	sb.accept(cfg, addr.String())
	return nil
}

// Document returns the configuration in force for a peer.
func (sb *Subscriber) Document() ([]byte, error) { return json.Marshal(sb.current.Load()) }
