// Package elector finds out which entry host leads, and takes leadership over when the leader is
// gone. Who leads is decided by the journal alone: at most one host can begin an epoch. This package
// only decides when to try. It answers leaders that are killed, frozen or cut off from their peers
// or from the store, without giving way to a host that alone cannot reach a healthy leader.
package elector

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// round is the time between two looks at the leader.
	round = 120 * time.Millisecond
	// greetTimeout bounds a greeting. Hosts answer in a few milliseconds unless they are frozen or
	// out of processor time.
	greetTimeout = 600 * time.Millisecond
	// canvassTimeout bounds the questions about a leader that has been silent for long already.
	canvassTimeout = 350 * time.Millisecond
	// suspectAfter is the silence of the leader after which the other hosts are asked. A leader that
	// is short of processor time answers late, and a takeover would cost it more.
	suspectAfter = 1100 * time.Millisecond
	// refusedAfter takes its place when the leader's address refuses connections, which only a
	// process that is gone or a broken network does.
	refusedAfter = 300 * time.Millisecond
	// agreeAfter is the silence from which a host agrees that the leader is gone.
	agreeAfter = 700 * time.Millisecond
	// standstill is how long the leader's record in the store stays unchanged before a host takes
	// over that cannot ask a majority. The leader changes it every beatInterval.
	standstill = 1600 * time.Millisecond
	// beatInterval is the time between two writes of the leader's record, announceInterval that
	// between two greetings of all hosts by the leader.
	beatInterval     = 700 * time.Millisecond
	announceInterval = time.Second
	// listInterval is the time between two reads of the list of hosts while there are few. It grows with
	// their number, by one turn for each hostsPerTurn of them, so that a host reads less than 4 KB/s. New hosts
	// make themselves known by greetings as well.
	listInterval = 3 * time.Second
	hostsPerTurn = 50
	// rankDelay is how much longer each lower rank waits once it has found that nobody leads, so that the
	// first usually succeeds alone. Beginning an epoch takes about half of it.
	rankDelay = 250 * time.Millisecond
	// storeSilence is the age of the store's last answer from which a host does not try to lead,
	// and a leader is given up by hosts that do reach the store.
	storeSilence = 1200 * time.Millisecond
	// settleTime is the time that a new leader has to make itself known.
	settleTime = 1300 * time.Millisecond
	// goneAfter is the silence after which the leader removes a host's record.
	goneAfter = 2 * time.Minute
	// audience is the age up to which greetings count as contact with a host.
	audience = 1200 * time.Millisecond
	// watchers is the number of hosts, the best ranked, that look at the leader every round. The
	// others do so every slowRounds rounds, so that the load of a leader stays bounded.
	watchers   = 3
	slowRounds = 6
)

const memberPrefix = "Member/"

// Store is the part of the key-value service that membership needs.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
	Snapshot(ctx context.Context, prefix string) ([]storer.Entry, int64, error)
}

// Term is one attempt to lead. It returns when the term is over.
type Term func(ctx context.Context, pred Predecessor) error

// Predecessor is what is known of the last leader.
type Predecessor struct {
	// Stopped is set when it is certain that no other host gives orders any more.
	Stopped bool
}

// Leader is who leads, as far as this host knows.
type Leader struct {
	Epoch   modeler.Epoch
	Host    fleet.HostName
	Boot    fleet.BootID
	Address netip.AddrPort
}

// Member is a host as stored.
type Member struct {
	Host    fleet.HostName
	Boot    fleet.BootID
	Address netip.AddrPort
	// Weight is the processor share in thousandths of a core.
	Weight int64
	// Heartbeat rises while the host leads.
	Heartbeat int64 `json:"Beat,omitempty"`
}

// Options are the parts that an elector works with.
type Options struct {
	Self  Member
	Store Store
	// StoreAge is the age of the store's last answer to this host.
	StoreAge func() time.Duration
	// Revision is that of the queues' configuration in force.
	Revision func() int64
	// OnHigherRevision is called for a host with a higher revision.
	OnHigherRevision func(address netip.AddrPort, revision int64)
	Dial             func(address netip.AddrPort) messenger.Jobs
	Lead             Term
	Seeds            []netip.AddrPort
	Log              logr.Logger
	Meter            *meter.Registry
}

// Elector is the membership and leadership of one host. It is safe for concurrent use.
type Elector struct {
	op Options

	mu      sync.Mutex
	members map[fleet.HostName]*member
	leader  Leader
	// heard is when the leader was last known to lead and to reach the store.
	heard time.Time
	// refused is set while the leader's address refuses connections.
	refused bool
	// leading is set during a term of this host, established once its epoch has begun.
	leading, established bool
	endTerm              context.CancelFunc
	termOver             chan struct{}
	leaving              bool
	// invited is set when a leader that has stopped asked this host to follow it.
	invited bool
	// vacantSince is when this host first found that nobody leads, zero while it does not.
	vacantSince time.Time
	// beat is the last seen revision of the leader's record, and beatAt when it changed.
	beat   int64
	beatAt time.Time
	rounds int
	own    int64
	// listed is set once this host has read the records of all hosts. turns counts the times when it
	// could have read them.
	listed bool
	turns  int
}

type member struct {
	Member
	// revision is that of the record in the store.
	revision int64
	// greeted is when the host last greeted this one, replied when it last answered.
	greeted, replied time.Time
	// epoch is the highest that the host is known to know.
	epoch    modeler.Epoch
	silence  time.Duration
	storeAge time.Duration
	leaving  bool
	leads    bool
	// refused is set when the leader's address refuses the host's connections.
	refused bool
}

// New returns an elector that is not running.
func New(op Options) *Elector {
	return &Elector{op: op, members: map[fleet.HostName]*member{}, heard: time.Now()}
}

// Run takes part until the context ends. It then gives leadership up.
func (el *Elector) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { el.register(ctx) })
	loops.Go(func() { every(ctx, listInterval, el.listInTurn) })
	loops.Go(func() { every(ctx, announceInterval, el.announce) })
	loops.Go(func() { every(ctx, beatInterval, el.writeBeat) })
	every(ctx, round, el.look)
	el.Resign()
	loops.Wait()
}

// every calls the function at once and then at intervals until the context ends.
func every(ctx context.Context, interval time.Duration, run func(context.Context)) {
	run(ctx)
	pauser.Every(ctx, interval, run)
}

// Leader returns who leads. The zero value means nobody that this host knows.
func (el *Elector) Leader() Leader {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.leader
}

// Leading reports whether this host leads.
func (el *Elector) Leading() bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.leading && el.established
}

// HasQuorum reports whether more than half of all hosts have greeted this one lately and know no
// later leader.
func (el *Elector) HasQuorum() bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	count := 1
	for _, mb := range el.members {
		if mb.Host != el.op.Self.Host && time.Since(mb.greeted) < audience && mb.epoch <= el.leader.Epoch {
			count++
		}
	}
	return 2*count > max(len(el.members), 1)
}

// Peers returns the addresses of the other hosts that answered lately and reach the store.
func (el *Elector) Peers() []netip.AddrPort {
	return el.useful(2*announceInterval, func(one, two *member) int {
		return cmp.Or(cmp.Compare(one.storeAge, two.storeAge), cmp.Compare(one.Host, two.Host))
	})
}

// useful returns the addresses of the other hosts that were heard of within the time and reach the
// store, in the order of the comparison.
func (el *Elector) useful(within time.Duration, compare func(one, two *member) int) []netip.AddrPort {
	el.mu.Lock()
	defer el.mu.Unlock()
	var list []*member
	for _, mb := range el.members {
		if mb.Host != el.op.Self.Host && !mb.leaving && mb.storeAge < storeSilence && time.Since(later(mb.greeted, mb.replied)) < within {
			list = append(list, mb)
		}
	}
	slices.SortFunc(list, compare)
	addrs := make([]netip.AddrPort, len(list))
	for ix, mb := range list {
		addrs[ix] = mb.Address
	}
	return addrs
}

// EpochBegun notes that this host's epoch has begun.
func (el *Elector) EpochBegun(epoch modeler.Epoch) {
	el.mu.Lock()
	self := el.op.Self
	el.leader = Leader{Epoch: epoch, Host: self.Host, Boot: self.Boot, Address: self.Address}
	el.established, el.heard = true, time.Now()
	el.mu.Unlock()
	logger.Log(el.op.Log, logger.LeaderElected, "Epoch", epoch, "Leader", self.Host, "Self", true)
	go el.announce(context.Background())
}

// register stores this host's record until it is there.
func (el *Elector) register(ctx context.Context) {
	for ctx.Err() == nil {
		if err := el.writeMember(ctx); err == nil {
			el.list(ctx)
			return
		}
		pauser.Pause(ctx, round)
	}
}

// writeMember writes this host's record.
func (el *Elector) writeMember(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeSilence)
	defer cancel()
	el.mu.Lock()
	el.op.Self.Heartbeat++
	self, expected := el.op.Self, el.own
	el.mu.Unlock()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	key := memberPrefix + string(self.Host)
	rev, err := el.op.Store.Put(ctx, key, value, expected)
	if errors.Is(err, storer.ErrConflict) {
		// A former process of this host, or a write of this one whose answer was lost.
		var en storer.Entry
		if en, err = el.op.Store.Get(ctx, key); err == nil {
			rev, err = el.op.Store.Put(ctx, key, value, en.Revision)
		} else if errors.Is(err, storer.ErrNotFound) {
			rev, err = el.op.Store.Put(ctx, key, value, 0)
		}
	}
	if err != nil {
		return err
	}
	el.mu.Lock()
	el.own = rev
	el.mu.Unlock()
	return nil
}

// writeBeat shows hosts that cannot reach this one that it leads and reaches the store.
func (el *Elector) writeBeat(ctx context.Context) {
	if !el.Leading() {
		return
	}
	if err := el.writeMember(ctx); err != nil && ctx.Err() == nil {
		logger.Log(el.op.Log, logger.MemberNotStored, "Error", err.Error())
	}
}

// listInTurn reads the records of all hosts when it is time for it.
func (el *Elector) listInTurn(ctx context.Context) {
	el.mu.Lock()
	el.turns++
	due := !el.listed || el.turns%(1+len(el.members)/hostsPerTurn) == 0
	el.mu.Unlock()
	if due {
		el.list(ctx)
	}
}

// list reads the records of all hosts.
func (el *Elector) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeSilence)
	defer cancel()
	ens, _, err := el.op.Store.Snapshot(ctx, memberPrefix)
	if err != nil {
		// The watches of the store report an outage.
		return
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	el.listed = true
	listed := map[fleet.HostName]bool{}
	for _, en := range ens {
		var mb Member
		if json.Unmarshal(en.Value, &mb) != nil || mb.Host == "" {
			logger.Log(el.op.Log, logger.MemberDamaged, "Key", en.Key)
			continue
		}
		listed[mb.Host] = true
		known := el.member(mb.Host)
		if known.revision < en.Revision {
			known.revision, known.Member = en.Revision, mb
		}
	}
	for host := range el.members {
		if !listed[host] {
			delete(el.members, host)
		}
	}
}

// member returns the member, which is made when it is new.
func (el *Elector) member(host fleet.HostName) *member {
	mb := el.members[host]
	if mb == nil {
		mb = &member{}
		mb.Host = host
		el.members[host] = mb
	}
	return mb
}

// look checks the leader, and takes over when it is gone.
func (el *Elector) look(ctx context.Context) {
	el.mu.Lock()
	el.rounds++
	leader, leading, leaving := el.leader, el.leading, el.leaving
	skip := el.rounds%slowRounds != 0 && el.rank(nil) >= watchers
	doubted := time.Since(el.heard) >= el.doubtAfter()
	el.mu.Unlock()
	if leading || leaving {
		return
	}
	if leader.Host != "" && leader.Host != el.op.Self.Host && !skip && !doubted {
		el.greet(ctx, leader.Address, greetTimeout)
	}
	el.mu.Lock()
	silence, patience := time.Since(el.heard), el.doubtAfter()
	invited, listed := el.invited, el.listed
	el.invited = false
	el.mu.Unlock()
	if invited {
		el.lead(ctx, Predecessor{Stopped: true})
		return
	}
	// A host that has just started and does not know the others cannot tell whether one leads.
	if !listed || silence < patience || el.op.StoreAge() > storeSilence {
		return
	}
	el.canvass(ctx, silence)
}

// doubtAfter returns the silence after which this host doubts the leader.
func (el *Elector) doubtAfter() time.Duration {
	if el.refused || el.leader.Host == "" {
		return refusedAfter
	}
	return suspectAfter
}

// canvass asks all hosts about the leader.
func (el *Elector) canvass(ctx context.Context, silence time.Duration) {
	el.mu.Lock()
	asked := el.leader
	addrs := slices.Clone(el.op.Seeds)
	for _, mb := range el.members {
		if mb.Host != el.op.Self.Host && !slices.Contains(addrs, mb.Address) {
			addrs = append(addrs, mb.Address)
		}
	}
	el.mu.Unlock()
	began := time.Now()
	el.greetAll(ctx, addrs, canvassTimeout)
	stands := el.beatStands(ctx, asked)
	el.mu.Lock()
	now, agreed, total := time.Now(), el.agreement(began), len(el.members)
	vacant := el.leader == asked && now.Sub(el.heard) >= silence && (2*agreed > total || stands)
	switch {
	case !vacant:
		el.vacantSince = time.Time{}
	case el.vacantSince.IsZero():
		el.vacantSince = now
	}
	rank, stopped := el.rank(&began), el.predecessorStopped()
	early := now.Sub(el.vacantSince) < time.Duration(rank)*rankDelay
	el.mu.Unlock()
	if !vacant || early {
		return
	}
	logger.Log(el.op.Log, logger.LeaderGone, "Leader", asked.Host, "Epoch", asked.Epoch, "Silence", silence.String(), "Agreed", agreed, "Hosts", total, "Rank", rank, "Stopped", stopped)
	el.lead(ctx, Predecessor{Stopped: stopped})
}

// agreement counts the hosts that have not heard of the leader, this one included.
func (el *Elector) agreement(since time.Time) int {
	agreed := 1
	for _, mb := range el.members {
		if mb.Host != el.op.Self.Host && !mb.replied.Before(since) && mb.agrees() {
			agreed++
		}
	}
	return agreed
}

// agrees reports whether the host has not heard of the leader either.
func (mb *member) agrees() bool {
	return !mb.leads && (mb.silence >= agreeAfter || mb.refused)
}

// rank returns how many hosts should rather lead than this one. With a time, only hosts count that have
// answered since and agree that nobody leads: others will not try soon.
func (el *Elector) rank(since *time.Time) int {
	rank := 0
	for _, mb := range el.members {
		if mb.Host == el.op.Self.Host || mb.leaving || since != nil && (mb.replied.Before(*since) || mb.storeAge > storeSilence || !mb.agrees()) {
			continue
		}
		if compareRank(&mb.Member, &el.op.Self) < 0 {
			rank++
		}
	}
	return rank
}

// compareRank orders hosts by which should rather lead.
func compareRank(one, two *Member) int {
	return cmp.Or(cmp.Compare(two.Weight, one.Weight), cmp.Compare(precedence(two.Host), precedence(one.Host)))
}

// precedence orders hosts of equal weight without regard to their data centres.
func precedence(host fleet.HostName) uint64 { return xxhash.Sum64String(string(host)) }

// predecessorStopped reports whether the last leader's process is known to be over.
func (el *Elector) predecessorStopped() bool {
	if el.leader.Host == "" {
		return false
	}
	if el.leader.Host == el.op.Self.Host {
		return true
	}
	mb := el.members[el.leader.Host]
	return mb != nil && mb.Boot != "" && mb.Boot != el.leader.Boot
}

// Replaced reports whether a host's process is known to be over because a later one runs.
func (el *Elector) Replaced(host fleet.HostName, boot fleet.BootID) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	if host == el.op.Self.Host {
		return true
	}
	mb := el.members[host]
	return mb != nil && mb.Boot != "" && mb.Boot != boot
}

// beatStands reports whether the leader's record in the store has stopped changing.
func (el *Elector) beatStands(ctx context.Context, leader Leader) bool {
	if leader.Host == "" {
		return el.nobodyKnown()
	}
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	en, err := el.op.Store.Get(ctx, memberPrefix+string(leader.Host))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return false
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	if en.Revision != el.beat || el.beatAt.IsZero() {
		el.beat, el.beatAt = en.Revision, time.Now()
		return false
	}
	return time.Since(el.beatAt) > standstill
}

// nobodyKnown reports whether no host has told of a leader for long enough.
func (el *Elector) nobodyKnown() bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return time.Since(el.heard) > standstill
}

// lead runs a term in the background.
func (el *Elector) lead(ctx context.Context, pred Predecessor) {
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.leading || el.leaving {
		return
	}
	tctx, cancel := context.WithCancel(ctx)
	el.leading, el.established, el.endTerm, el.termOver = true, false, cancel, make(chan struct{})
	over := el.termOver
	go func() {
		defer close(over)
		defer cancel()
		err := el.op.Lead(tctx, pred)
		el.mu.Lock()
		defer el.mu.Unlock()
		el.leading, el.established = false, false
		// Whoever was faster needs a moment to make itself known.
		el.heard = time.Now().Add(settleTime - suspectAfter)
		el.beatAt, el.vacantSince = time.Time{}, time.Time{}
		text := ""
		if err != nil {
			text = err.Error()
		}
		logger.Log(el.op.Log, logger.LeadershipEnded, "Epoch", el.leader.Epoch, "Cause", text)
	}()
}

// Resign ends a term of this host for good and asks another host to follow at once.
func (el *Elector) Resign() {
	el.mu.Lock()
	el.leaving = true
	leading, established := el.leading, el.established
	end, over := el.endTerm, el.termOver
	el.mu.Unlock()
	if !leading {
		return
	}
	end()
	<-over
	if !established {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*greetTimeout)
	defer cancel()
	for _, addr := range el.successors() {
		if _, err := el.op.Dial(addr).Resign(ctx, el.greeting()); err == nil {
			return
		}
	}
}

// successors returns the addresses of the hosts that can lead, the best first.
func (el *Elector) successors() []netip.AddrPort {
	return el.useful(audience, func(one, two *member) int { return compareRank(&one.Member, &two.Member) })
}

// announce greets all hosts while this one leads, and forgets hosts that are long gone.
func (el *Elector) announce(ctx context.Context) {
	if !el.Leading() {
		return
	}
	el.mu.Lock()
	var addrs []netip.AddrPort
	var gone []*member
	for _, mb := range el.members {
		if mb.Host == el.op.Self.Host {
			continue
		}
		addrs = append(addrs, mb.Address)
		if last := later(mb.greeted, mb.replied); !last.IsZero() && time.Since(last) > goneAfter {
			gone = append(gone, mb)
		}
	}
	el.mu.Unlock()
	el.greetAll(ctx, addrs, greetTimeout)
	for _, mb := range gone {
		// A host that is back writes its record again when it starts.
		if err := el.op.Store.Delete(ctx, memberPrefix+string(mb.Host), mb.revision); err == nil {
			logger.Log(el.op.Log, logger.MemberRemoved, "Host", mb.Host)
		}
	}
}

func (el *Elector) greetAll(ctx context.Context, addrs []netip.AddrPort, limit time.Duration) {
	var gr errgroup.Group
	for _, addr := range addrs {
		gr.Go(func() error {
			el.greet(ctx, addr, limit)
			return nil
		})
	}
	// Greetings return no error: a host that does not answer shows by its silence.
	_ = gr.Wait()
}

func (el *Elector) greet(ctx context.Context, addr netip.AddrPort, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := el.op.Dial(addr).Greet(ctx, el.greeting())
	el.noteRefusal(addr, errors.Is(err, syscall.ECONNREFUSED))
	if err != nil {
		return
	}
	el.learn(reply, false)
}

// noteRefusal notes whether the leader's address refuses connections.
func (el *Elector) noteRefusal(addr netip.AddrPort, refused bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	if addr == el.leader.Address {
		el.refused = refused
	}
}

func (el *Elector) greeting() *messenger.Greeting {
	el.mu.Lock()
	defer el.mu.Unlock()
	silence := time.Since(el.heard)
	if el.leading && el.established {
		silence = 0
	}
	return &messenger.Greeting{
		Host: string(el.op.Self.Host), Boot: string(el.op.Self.Boot), Address: el.op.Self.Address.String(),
		Weight: el.op.Self.Weight, Leaving: el.leaving,
		Epoch: int64(el.leader.Epoch), Leader: string(el.leader.Host), LeaderBoot: string(el.leader.Boot),
		LeaderAddress: el.leader.Address.String(), Silence: silence.Milliseconds(),
		StoreAge: el.op.StoreAge().Milliseconds(), Revision: el.op.Revision(), Refused: el.refused,
	}
}

// learn takes what another host says.
func (el *Elector) learn(gr *messenger.Greeting, greeted bool) {
	addr, err := netip.ParseAddrPort(gr.Address)
	if err != nil || gr.Host == "" || gr.Host == string(el.op.Self.Host) {
		return
	}
	if gr.Revision > el.op.Revision() {
		el.op.OnHigherRevision(addr, gr.Revision)
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	now := time.Now()
	mb := el.member(fleet.HostName(gr.Host))
	mb.Boot, mb.Address, mb.Weight, mb.leaving = fleet.BootID(gr.Boot), addr, gr.Weight, gr.Leaving
	mb.epoch = modeler.Epoch(gr.Epoch)
	mb.silence = time.Duration(gr.Silence) * time.Millisecond
	mb.storeAge = time.Duration(gr.StoreAge) * time.Millisecond
	mb.refused = gr.Refused
	mb.leads = gr.Leader == gr.Host && gr.LeaderBoot == gr.Boot && gr.Silence == 0
	if greeted {
		mb.greeted = now
	} else {
		mb.replied = now
	}
	el.learnLeader(gr, mb, now)
}

func (el *Elector) learnLeader(gr *messenger.Greeting, mb *member, now time.Time) {
	epoch := modeler.Epoch(gr.Epoch)
	if epoch > el.leader.Epoch {
		addr, err := netip.ParseAddrPort(gr.LeaderAddress)
		if err != nil {
			return
		}
		el.leader = Leader{Epoch: epoch, Host: fleet.HostName(gr.Leader), Boot: fleet.BootID(gr.LeaderBoot), Address: addr}
		el.heard, el.beatAt, el.vacantSince, el.refused = now, time.Time{}, time.Time{}, false
		logger.Log(el.op.Log, logger.LeaderElected, "Epoch", epoch, "Leader", gr.Leader, "Self", false)
		if el.leading && el.established {
			el.endTerm()
		}
		return
	}
	// A leader that cannot reach the store is given up by hosts that can.
	useful := mb.storeAge < storeSilence || el.op.StoreAge() > storeSilence
	if epoch == el.leader.Epoch && mb.leads && mb.Boot == el.leader.Boot && useful {
		el.heard, el.vacantSince = later(el.heard, now), time.Time{}
	}
}

// HandleGreeting answers another host's greeting.
func (el *Elector) HandleGreeting(gr *messenger.Greeting) *messenger.Greeting {
	el.learn(gr, true)
	return el.greeting()
}

// HandleResignation notes that the leader has stopped and that this host should succeed it.
func (el *Elector) HandleResignation(gr *messenger.Greeting) {
	el.learn(gr, true)
	el.mu.Lock()
	defer el.mu.Unlock()
	el.invited = modeler.Epoch(gr.Epoch) == el.leader.Epoch && el.leader.Host == fleet.HostName(gr.Host)
}

func later(one, two time.Time) time.Time {
	if two.After(one) {
		return two
	}
	return one
}
