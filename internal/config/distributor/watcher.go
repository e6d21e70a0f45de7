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
	// startLimit bounds the search for a first configuration.
	startLimit = 2 * time.Second
	// watchLimit bounds one long poll, so that a connection that lost its state costs at most this
	// time. Watches of 11 data centres are then about two calls a second.
	watchLimit = 10 * time.Second
	// idleCheck is the interval at which a host that does not watch asks whether it has to.
	idleCheck = 500 * time.Millisecond
	// fetchDelay bounds the delay after a failed fetch. Another peer may answer at once, and a
	// change has 2 s to be in force everywhere.
	fetchDelay = 400 * time.Millisecond
)

// offered is a document with its source.
type offered struct {
	doc    []byte
	rev    modeler.Revision
	source string
	// peer is valid when a peer sent the document.
	peer netip.AddrPort
	err  error
}

// Start finds a first configuration. It asks the store and all peers for up to 2 s and takes the
// highest revision. It waits for one peer even when the store answers, because a store that was
// restored from an old copy has a revision below the one in force elsewhere. Error:
// ErrNoConfiguration.
func (dst *Distributor) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	addrs := dst.opt.Peers.Addresses()
	results := make(chan offered, len(addrs)+1)
	go func() { results <- dst.askStore(ctx) }()
	for _, addr := range addrs {
		go func() { results <- dst.askPeer(ctx, addr, 1) }()
	}
	var found []offered
	fromStore, fromPeer := false, false
	for range len(addrs) + 1 {
		select {
		case off := <-results:
			if off.err != nil || off.rev == 0 {
				continue
			}
			found = append(found, off)
			fromStore = fromStore || off.source == "store"
			fromPeer = fromPeer || off.source != "store"
		case <-ctx.Done():
		}
		if fromStore && fromPeer || ctx.Err() != nil {
			break
		}
	}
	return dst.offerHighest(found)
}

func (dst *Distributor) offerHighest(found []offered) error {
	slices.SortStableFunc(found, func(a, b offered) int { return cmp.Compare(b.rev, a.rev) })
	for _, off := range found {
		if off.rev < dst.revision() {
			break
		}
		// A refusal is logged; a lower document may still be valid.
		_ = dst.offer(off)
	}
	if dst.Current() == nil {
		return ErrNoConfiguration
	}
	return nil
}

func (dst *Distributor) askStore(ctx context.Context) offered {
	sto, _, err := dst.read(ctx)
	return offered{doc: sto.doc, rev: sto.rev, source: "store", err: err}
}

func (dst *Distributor) askPeer(ctx context.Context, addr netip.AddrPort, minimum modeler.Revision) offered {
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	base, baseRev := dst.Document()
	doc, rev, err := dst.opt.Peers.Fetch(ctx, addr, minimum, base, baseRev)
	return offered{doc: doc, rev: rev, source: addr.String(), peer: addr, err: err}
}

// Run watches the store while Watching says so and fetches from peers when they report a higher
// revision. It searches for a first configuration while there is none. It returns when the
// context ends.
func (dst *Distributor) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { dst.watch(ctx) })
	wg.Go(func() { dst.fetch(ctx) })
	wg.Go(func() { dst.search(ctx) })
	wg.Wait()
}

func (dst *Distributor) search(ctx context.Context) {
	for dst.Current() == nil && dst.Start(ctx) != nil {
		if !pause(ctx, maxDelay) {
			return
		}
	}
}

func (dst *Distributor) watch(ctx context.Context) {
	delay := minDelay
	readable := true
	for ctx.Err() == nil {
		if !dst.opt.Watching() {
			pause(ctx, idleCheck)
			continue
		}
		err := dst.watchOnce(ctx)
		if err == nil {
			delay = minDelay
		}
		if ctx.Err() == nil && readable != (err == nil) {
			readable = err == nil
			dst.logReadable(err)
		}
		if err != nil {
			pause(ctx, delay)
			delay = min(2*delay, maxDelay)
		}
	}
}

func (dst *Distributor) logReadable(err error) {
	if err == nil {
		logger.Log(dst.opt.Log, logger.ConfigurationReadable)
		return
	}
	logger.Log(dst.opt.Log, logger.ConfigurationNotRead, "Error", err.Error())
}

// watchOnce reads the configuration and waits for changes until a poll ends without one. The
// store is then read again, because a watch misses changes of a store whose revisions went back.
func (dst *Distributor) watchOnce(ctx context.Context) error {
	sto, at, err := dst.read(ctx)
	if err != nil {
		return err
	}
	if at > 0 || dst.Current() != nil {
		_ = dst.offer(offered{doc: sto.doc, rev: sto.rev, source: "store"})
	}
	for dst.opt.Watching() {
		changed, err := dst.await(ctx, &at)
		if err != nil || !changed {
			return err
		}
	}
	return nil
}

// await waits for one change after a revision of the store, which it moves on.
func (dst *Distributor) await(ctx context.Context, at *int64) (bool, error) {
	poll, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	ents, next, err := dst.opt.Store.Wait(poll, keyCurrent, *at)
	if errors.Is(err, storer.ErrGap) {
		// The changes since the entry's revision are no longer known. Waiting from its revision again
		// would end at once and for ever; from zero, the store returns its present state and revision.
		if *at == 0 {
			pause(ctx, minDelay)
		}
		*at = 0
		return true, nil
	}
	if err != nil && poll.Err() != nil {
		// The poll's own limit is no failure of the store. The read that follows tells.
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
		sto, err := decode(ent.Value)
		if err != nil && !ent.Deleted {
			return false, err
		}
		// A refusal is logged and counted. Only the newest change matters.
		_ = dst.offer(offered{doc: sto.doc, rev: sto.rev, source: "store"})
	}
	*at = max(*at, next)
	return changed, nil
}

// Learn tells that a peer has a revision. Run fetches it when it is higher than the one in force.
// It does not block on the network.
func (dst *Distributor) Learn(addr netip.AddrPort, rev modeler.Revision) {
	if rev <= dst.revision() {
		return
	}
	dst.mu.Lock()
	defer dst.mu.Unlock()
	if rev <= dst.revision() || rev == dst.unusable || dst.known[addr] >= rev {
		return
	}
	dst.known[addr] = rev
	select {
	case dst.wake <- struct{}{}:
	default:
	}
}

// fetch reads the highest reported revision from the peers that have it.
func (dst *Distributor) fetch(ctx context.Context) {
	delay := minDelay
	for {
		addr, rev, ok := dst.highest()
		if !ok {
			delay = minDelay
			select {
			case <-dst.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		off := dst.askPeer(ctx, addr, rev)
		if off.err == nil {
			off.err = dst.offer(off)
		}
		if off.err == nil {
			continue
		}
		if errors.Is(off.err, checker.ErrInvalid) {
			dst.giveUp(off.rev)
		}
		// The report is dropped: a peer that is well repeats it with its next heartbeat.
		dst.drop(addr, rev)
		if !pause(ctx, delay) {
			return
		}
		delay = min(2*delay, fetchDelay)
	}
}

// highest returns a peer that reported the highest revision above the one in force.
func (dst *Distributor) highest() (netip.AddrPort, modeler.Revision, bool) {
	dst.mu.Lock()
	defer dst.mu.Unlock()
	dst.forget(dst.revision())
	var best netip.AddrPort
	var top modeler.Revision
	for addr, rev := range dst.known {
		// The map's order is random, which spreads the fetches of many hosts over the peers.
		if rev > top {
			best, top = addr, rev
		}
	}
	return best, top, top > 0
}

// giveUp stops fetching a revision that this process can't read, which every heartbeat reports.
func (dst *Distributor) giveUp(rev modeler.Revision) {
	dst.mu.Lock()
	defer dst.mu.Unlock()
	dst.unusable = rev
	maps.DeleteFunc(dst.known, func(_ netip.AddrPort, reported modeler.Revision) bool { return reported == rev })
}

func (dst *Distributor) drop(addr netip.AddrPort, rev modeler.Revision) {
	dst.mu.Lock()
	defer dst.mu.Unlock()
	if dst.known[addr] == rev {
		delete(dst.known, addr)
	}
}
