package distributor

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/config/checker"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

const (
	// maxStartTime bounds one search for the first configuration.
	maxStartTime = 2 * time.Second
	// maxPollTime bounds one long poll, and so the delay of a change when a connection was lost without
	// notice. The watches of 11 data centres then make about two calls a second.
	maxPollTime = 10 * time.Second
	// roleCheckInterval is the interval at which a host that doesn't watch the store checks whether it
	// should.
	roleCheckInterval = 500 * time.Millisecond
	// maxFetchDelay bounds the delay after a failed fetch. It is short because another peer may answer
	// at once, and a change must be in force on all hosts within 2 s.
	maxFetchDelay = 400 * time.Millisecond
)

// offeredDocument is the result of fetching a document from the store or a peer.
type offeredDocument struct {
	doc    []byte
	rev    modeler.Revision
	source string
	// peer is valid when a peer sent the document.
	peer netip.AddrPort
	err  error
}

// Start finds the first configuration. It reads the store and asks all peers, and puts the highest
// revision in force. It returns when the store and a peer have sent a configuration, when all have
// answered, or after maxStartTime. It waits for a peer even when the store has answered, because a store
// that was restored from an old copy has a lower revision than the one in force elsewhere. Error:
// ErrNoConfiguration.
func (dst *Distributor) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxStartTime)
	defer cancel()
	addrs := dst.opt.Peers.Addresses()
	results := make(chan offeredDocument, len(addrs)+1)
	go func() { results <- dst.fetchFromStore(ctx) }()
	for _, addr := range addrs {
		go func() { results <- dst.fetchFromPeer(ctx, addr, 1) }()
	}
	var found []offeredDocument
	fromStore, fromPeer := false, false
	for range len(addrs) + 1 {
		select {
		case od := <-results:
			if od.err != nil || od.rev == 0 {
				continue
			}
			found = append(found, od)
			fromStore = fromStore || od.source == "store"
			fromPeer = fromPeer || od.source != "store"
		case <-ctx.Done():
		}
		if fromStore && fromPeer || ctx.Err() != nil {
			break
		}
	}
	return dst.offerHighest(found)
}

func (dst *Distributor) offerHighest(found []offeredDocument) error {
	slices.SortStableFunc(found, func(a, b offeredDocument) int { return cmp.Compare(b.rev, a.rev) })
	for _, od := range found {
		if od.rev < dst.revision() {
			break
		}
		// Refusals are logged. A document with a lower revision may still be valid.
		_ = dst.offer(od)
	}
	if dst.Current() == nil {
		return ErrNoConfiguration
	}
	return nil
}

func (dst *Distributor) fetchFromStore(ctx context.Context) offeredDocument {
	sr, _, err := dst.readCurrent(ctx)
	return offeredDocument{doc: sr.doc, rev: sr.rev, source: "store", err: err}
}

func (dst *Distributor) fetchFromPeer(ctx context.Context, addr netip.AddrPort, minimum modeler.Revision) offeredDocument {
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	base, baseRev := dst.Document()
	doc, rev, err := dst.opt.Peers.Fetch(ctx, addr, minimum, base, baseRev)
	return offeredDocument{doc: doc, rev: rev, source: addr.String(), peer: addr, err: err}
}

// Run watches the store while IsWatching returns true, and fetches documents from peers that report
// a higher revision. While there is no configuration, it repeats Start. It returns when the context
// is cancelled.
func (dst *Distributor) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { dst.watchLoop(ctx) })
	wg.Go(func() { dst.fetchLoop(ctx) })
	wg.Go(func() { dst.startLoop(ctx) })
	wg.Wait()
}

func (dst *Distributor) startLoop(ctx context.Context) {
	for dst.Current() == nil && dst.Start(ctx) != nil {
		if !sleepJittered(ctx, maxRetryDelay) {
			return
		}
	}
}

func (dst *Distributor) watchLoop(ctx context.Context) {
	delay := minRetryDelay
	readable := true
	for ctx.Err() == nil {
		if !dst.opt.IsWatching() {
			sleepJittered(ctx, roleCheckInterval)
			continue
		}
		err := dst.watchOnce(ctx)
		if err == nil {
			delay = minRetryDelay
		}
		if ctx.Err() == nil && readable != (err == nil) {
			readable = err == nil
			dst.logWatchState(err)
		}
		if err != nil {
			sleepJittered(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
		}
	}
}

func (dst *Distributor) logWatchState(err error) {
	if err == nil {
		logger.Log(dst.opt.Log, logger.ConfigurationReadable)
		return
	}
	logger.Log(dst.opt.Log, logger.ConfigurationNotRead, "Error", err.Error())
}

// watchOnce reads the configuration and waits for changes until a poll ends without one. The caller
// then calls it again to read the store, because a watch misses changes after the store was restored
// and its revisions went back.
func (dst *Distributor) watchOnce(ctx context.Context) error {
	sr, storeRev, err := dst.readCurrent(ctx)
	if err != nil {
		return err
	}
	if storeRev > 0 || dst.Current() != nil {
		_ = dst.offer(offeredDocument{doc: sr.doc, rev: sr.rev, source: "store"})
	}
	for dst.opt.IsWatching() {
		changed, err := dst.waitForChange(ctx, &storeRev)
		if err != nil || !changed {
			return err
		}
	}
	return nil
}

// waitForChange waits for one change after a revision of the store, which it advances. It returns false
// when the poll ended without a change.
func (dst *Distributor) waitForChange(ctx context.Context, storeRev *int64) (bool, error) {
	poll, cancel := context.WithTimeout(ctx, maxPollTime)
	defer cancel()
	ents, next, err := dst.opt.Store.Wait(poll, keyCurrent, *storeRev)
	if errors.Is(err, storer.ErrGap) {
		// The store no longer has the changes since this revision, and would return the same error for it
		// every time. From zero it returns its current state and revision.
		if *storeRev == 0 {
			sleepJittered(ctx, minRetryDelay)
		}
		*storeRev = 0
		return true, nil
	}
	if err != nil && poll.Err() != nil {
		// The timeout of the poll is no failure of the store. The read that follows detects one.
		return false, nil
	}
	if err != nil {
		return false, err
	}
	changed := false
	for _, ent := range ents {
		if ent.Key != keyCurrent {
			continue
		}
		changed = true
		sr, err := decode(ent.Value)
		if err != nil && !ent.Deleted {
			return false, err
		}
		// Refusals are logged and counted. Only the newest change matters.
		_ = dst.offer(offeredDocument{doc: sr.doc, rev: sr.rev, source: "store"})
	}
	*storeRev = max(*storeRev, next)
	return changed, nil
}

// ObserveRevision records that a peer has reported a revision. Run fetches it when it is higher
// than the one in force. ObserveRevision does not block on the network.
func (dst *Distributor) ObserveRevision(addr netip.AddrPort, rev modeler.Revision) {
	if rev <= dst.revision() {
		return
	}
	dst.mu.Lock()
	defer dst.mu.Unlock()
	if rev <= dst.revision() || rev == dst.invalidRev || dst.reported[addr] >= rev {
		return
	}
	dst.reported[addr] = rev
	select {
	case dst.wake <- struct{}{}:
	default:
	}
}

// fetchLoop fetches the highest reported revision from the peers that have it.
func (dst *Distributor) fetchLoop(ctx context.Context) {
	delay := minRetryDelay
	for {
		addr, rev, ok := dst.highestReported()
		if !ok {
			delay = minRetryDelay
			select {
			case <-dst.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		od := dst.fetchFromPeer(ctx, addr, rev)
		if od.err == nil {
			od.err = dst.offer(od)
		}
		if od.err == nil {
			continue
		}
		if errors.Is(od.err, checker.ErrInvalid) {
			dst.markInvalid(od.rev)
		}
		// A healthy peer repeats its report with the next heartbeat.
		dst.removeReport(addr, rev)
		if !sleepJittered(ctx, delay) {
			return
		}
		delay = min(2*delay, maxFetchDelay)
	}
}

// highestReported returns the highest revision reported above the one in force and a peer that has it.
// It returns false when there is none.
func (dst *Distributor) highestReported() (netip.AddrPort, modeler.Revision, bool) {
	dst.mu.Lock()
	defer dst.mu.Unlock()
	dst.pruneReports(dst.revision())
	var best netip.AddrPort
	var top modeler.Revision
	for addr, rev := range dst.reported {
		// The random order of the map spreads the fetches of many hosts over the peers.
		if rev > top {
			best, top = addr, rev
		}
	}
	return best, top, top > 0
}

// markInvalid prevents repeated fetches of a revision that this process refused as invalid and that
// peers keep reporting.
func (dst *Distributor) markInvalid(rev modeler.Revision) {
	dst.mu.Lock()
	defer dst.mu.Unlock()
	dst.invalidRev = rev
	maps.DeleteFunc(dst.reported, func(_ netip.AddrPort, peerRev modeler.Revision) bool { return peerRev == rev })
}

func (dst *Distributor) removeReport(addr netip.AddrPort, rev modeler.Revision) {
	dst.mu.Lock()
	defer dst.mu.Unlock()
	if dst.reported[addr] == rev {
		delete(dst.reported, addr)
	}
}
