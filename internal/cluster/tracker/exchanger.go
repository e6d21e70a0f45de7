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
	// heartbeat is the interval of exchanges within the own data centre.
	heartbeat = time.Second
	// remoteTicks is the number of heartbeats between exchanges with other data centres.
	remoteTicks = 2
	// probeTicks is the number of heartbeats between attempts to reach a host that is dead or was
	// never heard, while others are alive.
	probeTicks = 3
	// spreadRemote is the number of other data centres that a change is sent to at once. Each
	// passes it on, so that a partition between two data centres does not delay it.
	spreadRemote = 2
)

// errNoClient means that there is no address to send a message to.
var errNoClient = errors.New("address of the peer is not known")

// target is a host to exchange with. A seed has no name.
type target struct {
	name modeler.HostName
	dc   modeler.DataCentreName
	addr netip.AddrPort
}

// Run exchanges heartbeats until the context ends.
func (trk *Tracker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	send := func(tgs []target, brief bool) {
		for _, tg := range tgs {
			wg.Go(func() { trk.exchange(ctx, tg, brief) })
		}
	}
	// Hosts that start together spread their heartbeats over the interval by their names.
	first := time.Duration(xxhash.Sum64String(string(trk.opt.Self.Name)) % uint64(heartbeat))
	tm := time.NewTimer(first)
	defer tm.Stop()
	for tick := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-trk.spreads:
			send(trk.spreadTargets(), true)
		case <-tm.C:
			tm.Reset(heartbeat)
			trk.beat()
			send(trk.targets(tick), false)
			tick++
		}
	}
}

// beat begins a heartbeat.
func (trk *Tracker) beat() {
	var ld Load
	if trk.opt.Load != nil {
		ld = trk.opt.Load()
	}
	trk.mu.Lock()
	defer trk.mu.Unlock()
	trk.self.Sequence++
	trk.self.FreeSlots = int32(ld.FreeSlots)
	trk.self.QueuedCalls = int32(ld.QueuedCalls)
	trk.age()
	trk.publish()
}

// targets returns the hosts to exchange with in one heartbeat.
func (trk *Tracker) targets(tick int) []target {
	var near, far, silent []target
	for _, pr := range trk.Peers() {
		tg := target{pr.Host, pr.DataCentre, pr.Address}
		switch {
		case !pr.Address.IsValid():
		case pr.Health == Dead || pr.Health == Unheard:
			silent = append(silent, tg)
		case pr.DataCentre == trk.opt.Self.DataCentre:
			near = append(near, tg)
		default:
			far = append(far, tg)
		}
	}
	var tgs []target
	if len(near) > 0 {
		tgs = append(tgs, near[trk.rotation(near, uint64(time.Now().Unix()))])
	}
	if len(far) > 0 && tick%remoteTicks == 0 {
		tgs = append(tgs, far[rand.IntN(len(far))])
	}
	if len(silent) > 0 && (len(near) == 0 || tick%probeTicks == 0) {
		tgs = append(tgs, silent[rand.IntN(len(silent))])
	}
	if len(tgs) == 0 && len(trk.opt.Seeds) > 0 {
		tgs = append(tgs, target{addr: trk.opt.Seeds[tick%len(trk.opt.Seeds)]})
	}
	return tgs
}

// rotation returns the index of the peer of the own data centre to exchange with. The hosts form a
// ring by name, and all of them use the same distance in the same second, so that each one sends a
// message and receives one. Every other distance is a third of the ring: news then reaches all of
// up to 9 hosts in two exchanges. With distances in their order it took three, and hosts with
// slow news were suspected.
func (trk *Tracker) rotation(near []target, second uint64) int {
	own, _ := slices.BinarySearchFunc(near, trk.opt.Self.Name, func(tg target, name modeler.HostName) int {
		return strings.Compare(string(tg.name), string(name))
	})
	ring := len(near) + 1
	third := max(1, (ring+1)/3)
	distance := third
	if second%2 == 0 {
		distance = otherDistance(ring, third, second/2)
	}
	idx := (own + distance) % ring
	if idx > own {
		idx--
	}
	return idx
}

// otherDistance returns the distances that are no multiple of a third in turn.
func otherDistance(ring, third int, turn uint64) int {
	var all []int
	for dist := 1; dist < ring; dist++ {
		if third == 1 || dist%third != 0 {
			all = append(all, dist)
		}
	}
	return all[turn%uint64(len(all))]
}

// spreadTargets returns all hosts of the own data centre that may live and one host of some other
// data centres. When only the revision has changed, hosts that have it and other data centres with
// such a host are left out.
func (trk *Tracker) spreadTargets() []target {
	trk.mu.Lock()
	all := trk.spreadAll
	trk.spreadAll = false
	trk.mu.Unlock()
	own := trk.Self().Revision
	var tgs []target
	far := map[modeler.DataCentreName][]target{}
	informed := map[modeler.DataCentreName]bool{trk.opt.Self.DataCentre: true}
	for _, pr := range trk.Peers() {
		tg := target{pr.Host, pr.DataCentre, pr.Address}
		switch {
		case !pr.Address.IsValid() || pr.Health == Dead:
		case !all && pr.Revision >= own:
			informed[pr.DataCentre] = true
		case pr.DataCentre == trk.opt.Self.DataCentre:
			tgs = append(tgs, tg)
		case pr.Health == Alive:
			far[pr.DataCentre] = append(far[pr.DataCentre], tg)
		}
	}
	left := spreadRemote
	for dc, hosts := range far {
		if left == 0 {
			break
		}
		if informed[dc] {
			continue
		}
		// The order of a map is random, so that changes take different paths.
		tgs = append(tgs, hosts[rand.IntN(len(hosts))])
		left--
	}
	return tgs
}

// exchange sends this host's state to a peer and merges the answer. A brief message carries no
// other hosts.
func (trk *Tracker) exchange(ctx context.Context, tg target, brief bool) {
	req := trk.compose(tg.name, tg.dc, brief)
	trk.opt.Meter.Add(meter.PeerExchanges, 1)
	rsp, err := trk.opt.Dial(tg.addr).Exchange(ctx, req)
	if err != nil {
		trk.opt.Meter.Add(meter.PeerExchangesFailed, 1)
		return
	}
	trk.receive(rsp, tg.addr)
}

// message is what requests and answers have in common.
type message interface {
	GetSender() *messenger.HostDigest
	GetOthers() []*messenger.HostDigest
	GetAges() []byte
	GetAgeHosts() uint32
}

func (trk *Tracker) compose(name modeler.HostName, dc modeler.DataCentreName, brief bool) *messenger.ExchangeRequest {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	req := &messenger.ExchangeRequest{Sender: trk.sender(dc)}
	if !brief {
		req.Others = trk.others(name, dc)
		req.Ages, req.AgeHosts = trk.ages(), trk.orderHash
	}
	return req
}

// Addresses lists the peers that may answer: hosts that are not dead, and the seeds.
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

// Fetch reads a configuration document of at least the minimum revision from a peer. The caller's
// present document, if any, saves sending what has not changed.
func (trk *Tracker) Fetch(ctx context.Context, addr netip.AddrPort, minimum modeler.Revision, base []byte, baseRev modeler.Revision) ([]byte, modeler.Revision, error) {
	if !addr.IsValid() {
		return nil, 0, errNoClient
	}
	rsp, err := trk.opt.Dial(addr).Fetch(ctx, &messenger.FetchRequest{
		MinimumRevision: int64(minimum),
		BaseRevision:    int64(baseRev),
		BaseHash:        xxhash.Sum64(base),
	})
	if err != nil {
		return nil, 0, err
	}
	doc, err := unpack(base, rsp)
	return doc, modeler.Revision(rsp.GetRevision()), err
}
