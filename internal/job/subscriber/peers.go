package subscriber

import (
	"compress/flate"
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/process/deflater"
	"github.com/currantrouter/currantrouter/internal/process/watchdog"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// ownWatchGrace is how long this host waits for a higher revision from its own watch of the store
	// before it requests the revision from a peer.
	ownWatchGrace = 250 * time.Millisecond
	// fetchStallTimeout bounds the time in which nothing of a peer's answer arrives, and fetchTimeout the whole
	// request.
	fetchStallTimeout = time.Second
	fetchTimeout      = time.Minute
	// maxDocumentBytes bounds the document of a peer. The store holds 1 MB, which takes more in the form for peers.
	maxDocumentBytes = 8 << 20
	// maxSources bounds the peers that are remembered for a request.
	maxSources = 64
)

var documentCompressor = deflater.New(flate.BestSpeed)

// peerDocument is the configuration of one revision as peers get it.
type peerDocument struct {
	mu         sync.Mutex
	revision   int64
	compressed []byte
}

// compress returns the compressed document of a configuration. It is encoded once for all peers.
func (pd *peerDocument) compress(cfg *modeler.Configuration) ([]byte, error) {
	pd.mu.Lock()
	defer pd.mu.Unlock()
	if pd.compressed != nil && pd.revision == cfg.Revision {
		return pd.compressed, nil
	}
	document, err := json.Marshal(cfg)
	if err != nil {
		return nil, err
	}
	pd.revision, pd.compressed = cfg.Revision, documentCompressor.Compress(document)
	return pd.compressed, nil
}

// Answer returns the configuration in force for a peer. Errors: those of package json.
func (sb *Subscriber) Answer(qr *messenger.QueuesQuery) (*messenger.QueuesDocument, error) {
	sb.mu.Lock()
	cfg, storeRevision := sb.current.Load(), sb.storeRevision
	sb.mu.Unlock()
	if cfg == nil || !qr.GetAcceptsCompressed() {
		document, err := json.Marshal(cfg)
		return &messenger.QueuesDocument{Document: document, StoreRevision: storeRevision}, err
	}
	compressed, err := sb.document.compress(cfg)
	return &messenger.QueuesDocument{Compressed: compressed, StoreRevision: storeRevision}, err
}

// OnHigherRevision starts requests for the configuration of peers that have a higher revision, one after the other. None is
// sent if this host's own watch returns that revision within ownWatchGrace.
func (sb *Subscriber) OnHigherRevision(addr netip.AddrPort, revision int64) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	sb.lag.report(revision, time.Now())
	if _, known := sb.sources[addr]; !known && len(sb.sources) >= maxSources {
		return
	}
	sb.sources[addr] = revision
	if sb.fetching {
		return
	}
	sb.fetching = true
	go sb.fetchHigher()
}

func (sb *Subscriber) fetchHigher() {
	time.Sleep(ownWatchGrace)
	for {
		addr, revision, ok := sb.nextSource()
		if !ok {
			return
		}
		err := sb.fetch(addr)
		sb.onFetch(err)
		if err != nil {
			logger.Log(sb.log, logger.QueuesNotFetched, "Peer", addr, "Revision", revision, "Error", err.Error())
		}
	}
}

// nextSource returns the peer that reported the highest revision, which is then not asked again until it reports one anew.
// It returns false, and ends the requests, if no peer has a revision higher than the one in force.
func (sb *Subscriber) nextSource() (addr netip.AddrPort, revision int64, ok bool) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	revision = sb.Revision()
	for source, reported := range sb.sources {
		if reported > revision {
			addr, revision, ok = source, reported, true
		}
	}
	if ok {
		delete(sb.sources, addr)
		return addr, revision, true
	}
	clear(sb.sources)
	sb.fetching = false
	return addr, revision, false
}

// fetch requests the configuration of a peer and puts it in force. An invalid one is reported and is no error. Errors: those
// of the request.
func (sb *Subscriber) fetch(addr netip.AddrPort) error {
	ctx, cancel := watchdog.WithTimeout(context.Background(), fetchStallTimeout, fetchTimeout)
	defer cancel()
	answer, err := sb.dial(addr).Queues(ctx, &messenger.QueuesQuery{AcceptsCompressed: true})
	if err != nil {
		return err
	}
	if err := sb.applyAnswer(answer, addr); err != nil {
		sb.invalid.Report(logger.PeerInvalid, meter.ReportsInvalid, addr.String(), err, "Peer", addr)
	}
	return nil
}

// applyAnswer puts the configuration of a peer in force. Errors: those of packages json and flate,
// modeler.ErrInvalidConfiguration, also for a peer that has no configuration.
func (sb *Subscriber) applyAnswer(answer *messenger.QueuesDocument, addr netip.AddrPort) error {
	document := answer.GetDocument()
	if compressed := answer.GetCompressed(); len(compressed) > 0 {
		var err error
		if document, err = deflater.Decompress(compressed, maxDocumentBytes); err != nil {
			return err
		}
	}
	cfg := new(modeler.Configuration)
	if err := json.Unmarshal(document, cfg); err != nil {
		return err
	}
	if err := cfg.Check(); err != nil {
		return err
	}
	sb.mu.Lock()
	defer sb.mu.Unlock()
	if sb.accept(cfg, answer.GetStoreRevision(), addr.String()) {
		sb.watcher.Advance(answer.GetStoreRevision())
	}
	return nil
}
