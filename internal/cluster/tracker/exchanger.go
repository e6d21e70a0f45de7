package tracker

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// heartbeatInterval is the interval of exchanges within this host's data centre.
	heartbeatInterval = time.Second
	// remoteIntervalTicks is the number of heartbeats between exchanges with other data centres, while
	// other hosts of this data centre are alive.
	remoteIntervalTicks = 2
	// probeIntervalTicks is the number of heartbeats between probes of a host that is dead or
	// unheard, while other hosts of the data centre are alive.
	probeIntervalTicks = 3
	// maxRemoteAnnouncements is the number of other data centres that a change is announced to at
	// once. Each of them relays it, so that a partition between two data centres does not delay it.
	maxRemoteAnnouncements = 2
	// maxSubstitutes is the number of other hosts that a heartbeat tries after a live host did not answer.
	maxSubstitutes = 2
)

// errUnknownAddress means that a document can't be fetched because the peer has no valid address.
var errUnknownAddress = errors.New("fetch configuration document: peer address is unknown")

// target is a host to exchange with. The name and data centre of a seed are empty.
type target struct {
	name modeler.HostName
	dc   modeler.DataCentreName
	addr netip.AddrPort
	// silent states that the host is dead or unheard, so that no other one is tried in its place.
	silent bool
}

func newTarget(pr Peer) target {
	return target{pr.Host, pr.DataCentre, pr.Address, pr.Health == Dead || pr.Health == Unheard}
}

// Run exchanges heartbeats and announces changes until the context ends, then waits for exchanges
// in progress.
func (trk *Tracker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	send := func(tgs []target, exchange func(context.Context, target)) {
		for _, tg := range tgs {
			wg.Go(func() { exchange(ctx, tg) })
		}
	}
	// The hash of the name staggers the heartbeats of hosts that start together.
	firstDelay := time.Duration(xxhash.Sum64String(string(trk.opt.Self.Name)) % uint64(heartbeatInterval))
	tm := time.NewTimer(firstDelay)
	defer tm.Stop()
	for tick := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-trk.announcements:
			send(trk.announcementTargets(), trk.announce)
		case <-tm.C:
			tm.Reset(heartbeatInterval)
			trk.beginHeartbeat()
			send(trk.heartbeatTargets(tick), trk.heartbeat)
			tick++
		}
	}
}

// beginHeartbeat updates this host's state and the health of all members before a heartbeat is
// sent.
func (trk *Tracker) beginHeartbeat() {
	var ld Load
	if trk.opt.Load != nil {
		ld = trk.opt.Load()
	}
	trk.mu.Lock()
	defer trk.mu.Unlock()
	trk.self.Sequence++
	trk.self.FreeSlots = int32(ld.FreeSlots)
	trk.self.QueuedCalls = int32(ld.QueuedCalls)
	trk.updateHealth()
	trk.publishSnapshots()
}

// heartbeatTargets returns the hosts to exchange with in the heartbeat numbered tick.
func (trk *Tracker) heartbeatTargets(tick int) []target {
	var local, remote, silent []target
	for _, pr := range trk.Peers() {
		tg := newTarget(pr)
		switch {
		case !pr.Address.IsValid():
		case tg.silent:
			silent = append(silent, tg)
		case pr.DataCentre == trk.opt.Self.DataCentre:
			local = append(local, tg)
		default:
			remote = append(remote, tg)
		}
	}
	var tgs []target
	if len(local) > 0 {
		tgs = append(tgs, local[trk.ringPeer(local, uint64(time.Now().Unix()))])
	}
	if len(remote) > 0 && (len(local) == 0 || tick%remoteIntervalTicks == 0) {
		tgs = append(tgs, remote[rand.IntN(len(remote))])
	}
	if len(silent) > 0 && (len(local) == 0 || tick%probeIntervalTicks == 0) {
		tgs = append(tgs, silent[rand.IntN(len(silent))])
	}
	if len(tgs) == 0 && len(trk.opt.Seeds) > 0 {
		tgs = append(tgs, target{addr: trk.opt.Seeds[tick%len(trk.opt.Seeds)], silent: true})
	}
	return tgs
}

// ringPeer returns the index in local of the peer to exchange with in a second of the Unix time.
// The hosts of the data centre form a ring, ordered by name. All of them use the same offset on the
// ring in the same second, so that each sends one request and receives one. Every second offset is
// a third of the ring: a change then reaches all of up to 9 hosts in two exchanges. With ascending
// offsets it took three, and live hosts whose heartbeats were relayed too slowly became suspect.
func (trk *Tracker) ringPeer(local []target, second uint64) int {
	self, _ := slices.BinarySearchFunc(local, trk.opt.Self.Name, func(tg target, name modeler.HostName) int {
		return strings.Compare(string(tg.name), string(name))
	})
	ringSize := len(local) + 1
	third := max(1, (ringSize+1)/3)
	offset := third
	if second%2 == 0 {
		offset = alternateOffset(ringSize, third, second/2)
	}
	idx := (self + offset) % ringSize
	if idx > self {
		idx--
	}
	return idx
}

// alternateOffset cycles through the ring offsets that are not multiples of third.
func alternateOffset(ringSize, third int, turn uint64) int {
	var offsets []int
	for offset := 1; offset < ringSize; offset++ {
		if third == 1 || offset%third != 0 {
			offsets = append(offsets, offset)
		}
	}
	return offsets[turn%uint64(len(offsets))]
}

// announcementTargets returns all hosts of this data centre that are not dead, and one live host of
// up to maxRemoteAnnouncements other data centres. When only the revision has changed, it leaves
// out hosts that have the revision and other data centres with such a host.
func (trk *Tracker) announcementTargets() []target {
	trk.mu.Lock()
	toAll := trk.announceToAll
	trk.announceToAll = false
	trk.mu.Unlock()
	rev := trk.Self().Revision
	var tgs []target
	remote := map[modeler.DataCentreName][]target{}
	informed := map[modeler.DataCentreName]bool{trk.opt.Self.DataCentre: true}
	for _, pr := range trk.Peers() {
		tg := newTarget(pr)
		switch {
		case !pr.Address.IsValid() || pr.Health == Dead:
		case !toAll && pr.Revision >= rev:
			informed[pr.DataCentre] = true
		case pr.DataCentre == trk.opt.Self.DataCentre:
			tgs = append(tgs, tg)
		case pr.Health == Alive:
			remote[pr.DataCentre] = append(remote[pr.DataCentre], tg)
		}
	}
	left := maxRemoteAnnouncements
	for dc, hosts := range remote {
		if left == 0 {
			break
		}
		if informed[dc] {
			continue
		}
		// Maps iterate in random order, so that announcements take different paths.
		tgs = append(tgs, hosts[rand.IntN(len(hosts))])
		left--
	}
	return tgs
}

// heartbeat exchanges with a host or, if it is live and does not answer, with up to maxSubstitutes other ones. Without
// them, a host that others of its data centre can't reach learns of a change only from the few remote heartbeats.
func (trk *Tracker) heartbeat(ctx context.Context, tg target) {
	tried := []netip.AddrPort{tg.addr}
	for !trk.exchange(ctx, tg, false) && !tg.silent && len(tried) <= maxSubstitutes && ctx.Err() == nil {
		var ok bool
		if tg, ok = trk.substitute(tried); !ok {
			return
		}
		tried = append(tried, tg.addr)
	}
}

// substitute returns a random live host that has not been tried, if possible one that answered the last exchange.
func (trk *Tracker) substitute(tried []netip.AddrPort) (target, bool) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	var answering, others []target
	for _, mb := range trk.members {
		tg := newTarget(mb.Peer)
		switch {
		case tg.silent || !tg.addr.IsValid() || slices.Contains(tried, tg.addr):
		case mb.answered:
			answering = append(answering, tg)
		default:
			others = append(others, tg)
		}
	}
	if len(answering) == 0 {
		answering = others
	}
	if len(answering) == 0 {
		return target{}, false
	}
	return answering[rand.IntN(len(answering))], true
}

func (trk *Tracker) announce(ctx context.Context, tg target) { trk.exchange(ctx, tg, true) }

// exchange sends this host's state to a peer, merges the response and reports whether there was one. With senderOnly,
// the request carries no state of other hosts.
func (trk *Tracker) exchange(ctx context.Context, tg target, senderOnly bool) bool {
	req := trk.newExchangeRequest(tg.name, tg.dc, senderOnly)
	trk.opt.Meter.Add(meter.PeerExchanges, 1)
	rsp, err := trk.opt.Dial(tg.addr).Exchange(ctx, req)
	trk.noteAnswer(tg.name, err == nil)
	if err != nil {
		trk.opt.Meter.Add(meter.PeerExchangesFailed, 1)
		return false
	}
	trk.receive(rsp, tg.addr)
	return true
}

func (trk *Tracker) noteAnswer(name modeler.HostName, answered bool) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	if mb := trk.members[name]; mb != nil {
		mb.answered = answered
	}
}

// exchangeMessage is implemented by the requests and responses of an exchange.
type exchangeMessage interface {
	GetSender() *messenger.HostDigest
	GetOthers() []*messenger.HostDigest
	GetAges() []byte
	GetAgeHosts() uint32
}

// newExchangeRequest returns a request to a host of a data centre. With senderOnly, it carries no
// state of other hosts.
func (trk *Tracker) newExchangeRequest(name modeler.HostName, dc modeler.DataCentreName, senderOnly bool) *messenger.ExchangeRequest {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	req := &messenger.ExchangeRequest{Sender: trk.selfDigest(dc)}
	if !senderOnly {
		req.Others = trk.relayedDigests(name, dc)
		req.Ages, req.AgeHosts = trk.encodeAges(), trk.configHostsHash
	}
	return req
}

// Addresses returns the addresses of all peers that are not dead, followed by the seeds.
func (trk *Tracker) Addresses() []netip.AddrPort {
	seen := map[netip.AddrPort]bool{trk.opt.Self.Peer: true}
	var addrs []netip.AddrPort
	add := func(addr netip.AddrPort) {
		if addr.IsValid() && !seen[addr] {
			seen[addr] = true
			addrs = append(addrs, addr)
		}
	}
	for _, pr := range trk.Peers() {
		if pr.Health != Dead {
			add(pr.Address)
		}
	}
	for _, addr := range trk.opt.Seeds {
		add(addr)
	}
	return addrs
}

// Fetch reads a configuration document of at least the minimum revision from a peer. The peer sends
// only the difference from base if it has kept the revision baseRev; a nil base stands for none.
func (trk *Tracker) Fetch(ctx context.Context, addr netip.AddrPort, minimum modeler.Revision, base []byte, baseRev modeler.Revision) ([]byte, modeler.Revision, error) {
	if !addr.IsValid() {
		return nil, 0, errUnknownAddress
	}
	rsp, err := trk.opt.Dial(addr).Fetch(ctx, &messenger.FetchRequest{
		MinimumRevision: int64(minimum),
		BaseRevision:    int64(baseRev),
		BaseHash:        xxhash.Sum64(base),
	})
	if err != nil {
		return nil, 0, err
	}
	doc, err := applyDelta(base, rsp)
	return doc, modeler.Revision(rsp.GetRevision()), err
}
