// Package elector tracks which entry host leads, and detects when the leader has failed so that
// another host takes over. The journal alone decides who leads: at most one host can begin an
// epoch. This package only decides when a host tries to. It replaces a leader that was killed, is
// frozen, or is cut off from its peers or from the store. It does not replace a healthy leader that
// only a single host cannot reach.
//
// An entry host is a host that runs the daemon and answers callers. An epoch is a number that rises
// with each change of leader (Raft calls it a term). A term is the period in which one host tries
// to begin an epoch and then leads.
//
// Entry hosts exchange heartbeats in which each reports what it knows about the leader. All are
// calls of the RPC Greet with a messenger.Greeting: the leader announces itself with them to all
// hosts, the other hosts probe the leader with them, and a host that suspects the leader polls all
// hosts with them. A leader that drains sends its successor one with the RPC Resign. While it
// leads, a host also rewrites its record in the store at intervals, so that hosts which cannot
// reach it see that it still leads.
package elector

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	"github.com/currantrouter/currantrouter/internal/telemetry/reporter"
)

const (
	// probeInterval is the time between two rounds in which hosts probe the leader.
	probeInterval = 120 * time.Millisecond
	// heartbeatTimeout bounds a heartbeat and its reply. Hosts reply in a few milliseconds unless they
	// are frozen or short of processor time.
	heartbeatTimeout = 600 * time.Millisecond
	// pollTimeout bounds the heartbeats that poll all hosts about a suspected leader. It is shorter
	// than heartbeatTimeout because the leader has been unreachable for a while by then.
	pollTimeout = 350 * time.Millisecond
	// suspicionTimeout is the time without contact with the leader after which a host polls the other
	// hosts. A leader that is short of processor time answers late, and replacing it would cost more
	// than waiting.
	suspicionTimeout = 1100 * time.Millisecond
	// refusedSuspicionTimeout replaces suspicionTimeout while the leader's address refuses
	// connections, which happens only if its process has ended or the network is broken. It also
	// applies while no leader is known.
	refusedSuspicionTimeout = 300 * time.Millisecond
	// agreementTimeout is the time without contact with the leader from which a polled host counts as
	// agreeing that the leader has failed.
	agreementTimeout = 700 * time.Millisecond
	// storeHeartbeatTimeout is how long the leader's record in the store must be unchanged before a
	// host takes over without the agreement of a majority. The leader changes it every
	// storeHeartbeatInterval.
	storeHeartbeatTimeout = 1600 * time.Millisecond
	// storeHeartbeatInterval is the time between two writes of the leader's record.
	storeHeartbeatInterval = 700 * time.Millisecond
	// leaderHeartbeatInterval is the time between two heartbeats of the leader to all hosts.
	leaderHeartbeatInterval = time.Second
	// minListInterval is the time between two reads of all hosts' records while there are fewer than
	// hostsPerListInterval. New hosts make themselves known by heartbeats as well.
	minListInterval = 3 * time.Second
	// hostsPerListInterval makes the time between two reads minListInterval * (1 + hosts /
	// hostsPerListInterval), with an integer division, so that a host reads less than 4 KB/s.
	hostsPerListInterval = 50
	// rankDelay is how much longer a candidate waits for each host ranked above it, counted from when
	// it found that there is no leader, so that usually only the highest ranked tries. Beginning an
	// epoch takes about half of rankDelay.
	rankDelay = 250 * time.Millisecond
	// storeContactTimeout is the time since the store's last answer up to which a host counts as
	// reaching the store. A host that does not reach it does not try to lead, and a leader that does
	// not is replaced by a host that does. It also bounds writing this host's record and reading
	// those of all hosts.
	storeContactTimeout = 1200 * time.Millisecond
	// newLeaderGrace is how long a host whose own term ended waits for another leader to make itself
	// known before it suspects that there is none, if suspicionTimeout applies. With
	// refusedSuspicionTimeout, the wait is shorter by the difference of the two timeouts.
	newLeaderGrace = 1300 * time.Millisecond
	// memberRemovalTimeout is the time without contact with a host, while this host leads, after which it
	// removes the host's record.
	memberRemovalTimeout = 2 * time.Minute
	// minRemovalTermAge is how old a term is before its leader removes records while PrecludesQuorum does not hold.
	// A quorum confirms an earlier leader that is cut off from the store for 30 s.
	minRemovalTermAge = 40 * time.Second
	// removalTimeout bounds the removal of records in one round of heartbeats.
	removalTimeout = 500 * time.Millisecond
	// maxSuccessorSilence is the time without contact up to which a host is asked to take over.
	maxSuccessorSilence = 1200 * time.Millisecond
	// maxFrequentProbers is the number of hosts, the highest ranked, that probe the leader in every
	// round. It bounds the load of the leader.
	maxFrequentProbers = 3
	// roundsPerSlowProbe is the number of rounds between two probes by the other hosts.
	roundsPerSlowProbe = 6
)

// memberPrefix is the prefix of the keys of hosts' records in the store.
const memberPrefix = "Member/"

// Store is the part of the key-value service that the elector needs.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
	Snapshot(ctx context.Context, prefix string) ([]storer.Entry, int64, error)
}

// LeadFunc runs one term: it tries to begin an epoch and then leads. It returns when it could not
// begin one, the context ended or another host leads. It asks MayReplace before it begins the epoch, and
// calls EpochBegun before it leads.
type LeadFunc func(ctx context.Context) error

// Leader is the entry host that leads, as far as this host knows. The zero value means that no
// leader is known.
type Leader struct {
	Epoch   modeler.Epoch
	Host    fleet.HostName
	Boot    fleet.BootID
	Address netip.AddrPort
}

// Member is an entry host's record in the store.
type Member struct {
	Host    fleet.HostName
	Boot    fleet.BootID
	Address netip.AddrPort
	// DataCentre is empty for a host of an earlier version.
	DataCentre fleet.DataCentreName `json:",omitempty"`
	// Weight is the host's processor share in thousandths of a core. Hosts with a higher weight are
	// preferred as leaders.
	Weight int64
	// Heartbeat is incremented at each write of the record, which a leader repeats at intervals. It is
	// stored under the name Beat.
	Heartbeat int64 `json:"Beat,omitempty"`
}

// Options configure an elector.
type Options struct {
	Self  Member
	Store Store
	// StoreAge returns the time since the store last answered this host.
	StoreAge func() time.Duration
	// ConfigurationRevision returns the revision of the queues' configuration in force.
	ConfigurationRevision func() int64
	// OnHigherRevision is called with the address and the configuration revision of a host that has a
	// higher one.
	OnHigherRevision func(address netip.AddrPort, revision int64)
	// Dial returns the client for an entry host.
	Dial func(address netip.AddrPort) messenger.Jobs
	// Lead is called for each term of this host.
	Lead LeadFunc
	// Seeds are addresses of entry hosts that are polled even if their records were not read.
	Seeds []netip.AddrPort
	Log   logr.Logger
	Meter *meter.Registry
}

// Elector tracks the entry hosts and the leader for one host, and runs this host's terms. It is
// safe for concurrent use.
type Elector struct {
	op Options
	// invalid reports records and messages of other hosts that are left out.
	invalid *reporter.Reporter

	mu      sync.Mutex
	members map[fleet.HostName]*member
	leader  Leader
	// awaited is the leader of a later epoch than leader's that this host has found in the journal, and
	// that has not made itself known yet. It is the zero value if there is none. Its address may be missing.
	// It is not passed on to other hosts, which may rely on a leader that they know to have begun its term.
	awaited Leader
	// leaderKnownAt is when this host first knew of the leader.
	leaderKnownAt time.Time
	// leaderLastSeen is when the leader last reported that it leads and reaches the store, or when this host
	// began to await another one. After a term of this host it may be in the future, see newLeaderGrace.
	leaderLastSeen time.Time
	// leaderRefuses is set while the address of the leader, or of the awaited one, refuses connections.
	leaderRefuses bool
	// inTerm is set while Options.Lead runs, which includes the time before it leads. epochBegun is
	// set once its epoch has begun.
	inTerm, epochBegun bool
	// replaced is the epoch that the term is to replace. A later one is not deposed.
	replaced modeler.Epoch
	// own is the leader of the last epoch that this process began.
	own Leader
	// epochBegunAt is when the last epoch of this host began, announcedAt when it last sent heartbeats as the
	// leader, or epochBegunAt.
	epochBegunAt, announcedAt time.Time
	cancelTerm                context.CancelFunc
	// termBegun is closed when the epoch of the term has begun, and termDone when the term has ended.
	termBegun, termDone chan struct{}
	// runCtx is the context of Run, nil before.
	runCtx context.Context
	// draining is set by Drain. This host begins no further term then.
	draining bool
	// noLeaderSince is when this host first found that there is no leader, and zero if there is one.
	noLeaderSince time.Time
	// leaderRevision is the last seen revision of the leader's record in the store, and
	// leaderRevisionAt the time when this host first saw it.
	leaderRevision   int64
	leaderRevisionAt time.Time
	// probeRounds counts the rounds of probes.
	probeRounds int
	// ownRevision is the revision of this host's record in the store.
	ownRevision int64
	// membersRead is set once this host has read the records of all hosts. listRounds counts the
	// times at minListInterval when it could have read them.
	membersRead bool
	listRounds  int
	// membersReadAt is when the last read of the records that succeeded began.
	membersReadAt time.Time
}

// member is what this host knows about an entry host.
type member struct {
	Member
	// revision is the revision of the record in the store.
	revision int64
	// lastHeartbeat is when the host's last heartbeat arrived, and lastReply when it last replied to a
	// heartbeat of this one.
	lastHeartbeat, lastReply time.Time
	// confirmedAt is when this host sent the last heartbeat whose reply named no later epoch than its own.
	confirmedAt time.Time
	// processSeenAt is when this host first heard of the process reportedBy.
	processSeenAt time.Time
	// silentFor is for how long this host has led, in all its terms together, since it last heard of the host.
	// While it does not lead, it may have no contact with hosts that do not either.
	silentFor time.Duration
	// The remaining fields are what the host last reported. reportedBy is the process that did, epoch the
	// highest that it knows.
	reportedBy fleet.BootID
	epoch      modeler.Epoch
	// sinceLeaderSeen is the time since the leader last reported to the host.
	sinceLeaderSeen time.Duration
	// storeAge is the time since the store last answered the host.
	storeAge time.Duration
	// draining is sent as Leaving.
	draining bool
	// leading is set when the host itself leads.
	leading bool
	// leaderRefuses is set when the leader's address refuses the host's connections.
	leaderRefuses bool
	// resigned is the process that resigned as leader last.
	resigned fleet.BootID
}

// New returns an elector that is not running.
func New(op Options) *Elector {
	return &Elector{op: op, members: map[fleet.HostName]*member{}, leaderLastSeen: time.Now(), invalid: reporter.New(op.Log, op.Meter)}
}

// Run tracks the other hosts and takes leadership over when needed, until the context ends. It then
// calls Drain.
func (el *Elector) Run(ctx context.Context) {
	el.mu.Lock()
	el.runCtx = ctx
	el.mu.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { el.register(ctx) })
	loops.Go(func() { every(ctx, minListInterval, el.listMembersIfDue) })
	loops.Go(func() { every(ctx, leaderHeartbeatInterval, el.announce) })
	loops.Go(func() { every(ctx, storeHeartbeatInterval, el.writeStoreHeartbeat) })
	every(ctx, probeInterval, el.probeLeader)
	el.Drain()
	loops.Wait()
}

// every calls run at once and then at intervals until the context ends.
func every(ctx context.Context, interval time.Duration, run func(context.Context)) {
	run(ctx)
	pauser.Every(ctx, interval, run)
}

// Leader returns the leader that this host knows, or the zero value if it knows none.
func (el *Elector) Leader() Leader {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.leader
}

// Leading reports whether this host leads, that is, whether the epoch of its term has begun.
func (el *Elector) Leading() bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.inTerm && el.epochBegun
}

// HasQuorum reports whether more than half of all entry hosts, this one included, have a record and knew no later
// epoch than this host's own when they answered a heartbeat that it sent after a time. A process that this host first heard
// of after it last found its epoch in the store, at known, does not count: before its start, the host may
// have been told of a later epoch.
func (el *Elector) HasQuorum(after, known time.Time) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	count, hosts := el.countHosts(func(mb *member) bool { return mb.confirmedAt.After(after) && !mb.processSeenAt.After(known) })
	return 2*count > hosts
}

// countHosts returns how many entry hosts there are and how many of them count: this one, and each other one with a
// record of which that holds. The caller holds mu.
func (el *Elector) countHosts(counts func(*member) bool) (count, hosts int) {
	count, hosts = 1, 1
	for _, mb := range el.members {
		if mb.Host == el.op.Self.Host {
			continue
		}
		hosts++
		if mb.revision != 0 && counts(mb) {
			count++
		}
	}
	return count, hosts
}

// PrecludesQuorum reports whether so many entry hosts with a record know the epoch of this host's term that no
// earlier leader has a quorum any more. It relies on the records of all hosts as they were after that epoch began, which include
// those that an earlier leader can have read.
func (el *Elector) PrecludesQuorum(epoch modeler.Epoch) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.precludesQuorum(epoch)
}

func (el *Elector) precludesQuorum(epoch modeler.Epoch) bool {
	if el.own.Epoch != epoch || el.membersReadAt.Before(el.epochBegunAt) {
		return false
	}
	count, hosts := el.countHosts(func(mb *member) bool { return mb.epoch >= epoch })
	return 2*count >= hosts
}

// ReachablePeers returns the addresses of the other hosts that were recently in contact with this
// one and reach the store, those with the most recent answer of the store first.
func (el *Elector) ReachablePeers() []netip.AddrPort {
	return el.reachablePeers(2*leaderHeartbeatInterval, func(one, two *member) int {
		return cmp.Or(cmp.Compare(one.storeAge, two.storeAge), cmp.Compare(one.Host, two.Host))
	})
}

// PeersReachedStore reports whether the store has answered another host after a time, as far as the last messages of the
// other hosts tell. An answer counts as later than it was by as long as its host's message was under way.
func (el *Elector) PeersReachedStore(after time.Time) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	for _, mb := range el.members {
		if mb.Host != el.op.Self.Host && later(mb.lastHeartbeat, mb.lastReply).Add(-mb.storeAge).After(after) {
			return true
		}
	}
	return false
}

// ReachableHosts returns the other hosts that were in contact with this one within the last heartbeats and are not
// draining, whether they reach the store or not.
func (el *Elector) ReachableHosts() []Member {
	el.mu.Lock()
	defer el.mu.Unlock()
	var list []Member
	for _, mb := range el.members {
		if mb.Host != el.op.Self.Host && !mb.draining && mb.Address.IsValid() && time.Since(later(mb.lastHeartbeat, mb.lastReply)) < 2*leaderHeartbeatInterval {
			list = append(list, mb.Member)
		}
	}
	return list
}

// KnownEpoch returns the highest epoch that this host knows to have begun.
func (el *Elector) KnownEpoch() modeler.Epoch {
	el.mu.Lock()
	defer el.mu.Unlock()
	return max(el.leader.Epoch, el.own.Epoch)
}

// reachablePeers returns the addresses of the other hosts that are not draining, reach the store,
// and were in contact with this host within maxAge, sorted by compare.
func (el *Elector) reachablePeers(maxAge time.Duration, compare func(one, two *member) int) []netip.AddrPort {
	el.mu.Lock()
	defer el.mu.Unlock()
	var list []*member
	for _, mb := range el.members {
		if mb.Host != el.op.Self.Host && !mb.draining && mb.storeAge < storeContactTimeout && time.Since(later(mb.lastHeartbeat, mb.lastReply)) < maxAge {
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

// register retries until it has stored this host's record, and then reads those of all hosts.
func (el *Elector) register(ctx context.Context) {
	for ctx.Err() == nil {
		if err := el.writeMember(ctx); err == nil {
			el.listMembers(ctx)
			return
		}
		pauser.Sleep(ctx, probeInterval)
	}
}

// writeMember stores this host's record with an incremented Heartbeat.
func (el *Elector) writeMember(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeContactTimeout)
	defer cancel()
	el.mu.Lock()
	el.op.Self.Heartbeat++
	self, expected := el.op.Self, el.ownRevision
	el.mu.Unlock()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	key := memberPrefix + string(self.Host)
	rev, err := el.op.Store.Put(ctx, key, value, expected)
	if errors.Is(err, storer.ErrConflict) {
		// The record was written by an earlier process of this host, or by a write of this process
		// whose answer was lost.
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
	el.ownRevision = rev
	el.mu.Unlock()
	return nil
}

// writeStoreHeartbeat rewrites this host's record while it leads. Hosts that cannot reach this one
// see from it that it leads and reaches the store.
func (el *Elector) writeStoreHeartbeat(ctx context.Context) {
	if !el.Leading() {
		return
	}
	if err := el.writeMember(ctx); err != nil && ctx.Err() == nil {
		logger.Log(el.op.Log, logger.MemberNotStored, "Error", err.Error())
	}
}

// listMembersIfDue calls listMembers at each call until it has succeeded once, and afterwards less
// often the more hosts there are, see hostsPerListInterval.
func (el *Elector) listMembersIfDue(ctx context.Context) {
	el.mu.Lock()
	el.listRounds++
	due := !el.membersRead || el.listRounds%(1+len(el.members)/hostsPerListInterval) == 0
	el.mu.Unlock()
	if due {
		el.listMembers(ctx)
	}
}

// listMembers reads the records of all hosts and drops hosts without one. If this host's own was deleted, as the
// leader had not heard of it for memberRemovalTimeout, it stores it again.
func (el *Elector) listMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeContactTimeout)
	defer cancel()
	began := time.Now()
	ens, _, err := el.op.Store.Snapshot(ctx, memberPrefix)
	if err != nil {
		// An outage of the store is logged by package watcher.
		return
	}
	if !el.replaceMembers(ens, began) {
		return
	}
	if err := el.writeMember(ctx); err != nil && ctx.Err() == nil {
		logger.Log(el.op.Log, logger.MemberNotStored, "Error", err.Error())
	}
}

// replaceMembers takes over the records of all hosts, of which the read began at a time. It returns true if this
// host's own was deleted.
func (el *Elector) replaceMembers(ens []storer.Entry, began time.Time) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.membersRead, el.membersReadAt = true, later(el.membersReadAt, began)
	stored := map[fleet.HostName]bool{}
	for _, en := range ens {
		mb, err := decodeMember(en)
		if err != nil {
			el.invalid.Report(logger.MemberDamaged, meter.EntriesInvalid, en.Key, err, "Key", en.Key)
			continue
		}
		stored[mb.Host] = true
		known := el.getOrAddMember(mb.Host)
		if known.revision < en.Revision {
			known.revision, known.Member = en.Revision, mb
		}
	}
	for host := range el.members {
		if !stored[host] {
			delete(el.members, host)
		}
	}
	return el.ownRevision != 0 && !stored[el.op.Self.Host] && !el.draining
}

// ErrInvalidMember means that a host's record, or its message, has values out of bounds.
var ErrInvalidMember = errors.New("invalid host")

// decodeMember decodes a host's record in the store. Errors: ErrInvalidMember, also for a record under
// the key of another host.
func decodeMember(en storer.Entry) (Member, error) {
	var mb Member
	if err := json.Unmarshal(en.Value, &mb); err != nil {
		return Member{}, fmt.Errorf("%w: %w", ErrInvalidMember, err)
	}
	if en.Key != memberPrefix+string(mb.Host) {
		return Member{}, fmt.Errorf("%w: key %q holds host %.200q", ErrInvalidMember, en.Key, mb.Host)
	}
	return mb, mb.Check()
}

// Check returns ErrInvalidMember, wrapped with the reason, for a host that cannot be called or has
// values out of bounds.
func (mb *Member) Check() error {
	if mb.Host == "" || mb.Weight < 0 || mb.Weight > modeler.MaxWeight {
		return fmt.Errorf("%w: name %.200q, weight %d", ErrInvalidMember, mb.Host, mb.Weight)
	}
	if err := errors.Join(modeler.CheckName("host", string(mb.Host)), modeler.CheckName("boot", string(mb.Boot)), modeler.CheckName("data centre", string(mb.DataCentre)), fleet.CheckAddress(mb.Address)); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidMember, err)
	}
	return nil
}

// getOrAddMember returns the member for a host, and adds it if it is new. The caller holds mu.
func (el *Elector) getOrAddMember(host fleet.HostName) *member {
	mb := el.members[host]
	if mb == nil {
		mb = new(member)
		mb.Host = host
		el.members[host] = mb
	}
	return mb
}

// probeLeader sends a heartbeat to the leader. It polls the other hosts when the leader has not
// been seen for the suspicion timeout.
func (el *Elector) probeLeader(ctx context.Context) {
	el.mu.Lock()
	el.probeRounds++
	leader, inTerm, draining := el.watched(), el.inTerm, el.draining
	skipProbe := leader != el.awaited && el.probeRounds%roundsPerSlowProbe != 0 && el.rank(nil) >= maxFrequentProbers
	suspected := time.Since(el.leaderLastSeen) >= el.currentSuspicionTimeout()
	el.mu.Unlock()
	if inTerm || draining {
		return
	}
	if leader.Address.IsValid() && leader.Host != el.op.Self.Host && !skipProbe && !suspected {
		el.sendHeartbeat(ctx, leader.Address, heartbeatTimeout)
	}
	el.mu.Lock()
	sinceSeen, timeout := time.Since(el.leaderLastSeen), el.currentSuspicionTimeout()
	membersRead := el.membersRead
	el.mu.Unlock()
	// A host that has just started and has not read the other hosts' records cannot know whether one
	// of them leads.
	if !membersRead || sinceSeen < timeout || el.op.StoreAge() > storeContactTimeout {
		return
	}
	el.pollPeers(ctx, sinceSeen)
}

// currentSuspicionTimeout returns the time without contact with the leader after which this host
// suspects that it failed. The caller holds mu.
func (el *Elector) currentSuspicionTimeout() time.Duration {
	if el.leaderEnded() || el.watched().Host == "" {
		return refusedSuspicionTimeout
	}
	return suspicionTimeout
}

// leaderEnded reports whether the leader's address refuses connections or another process of its host
// answers. The caller holds mu.
func (el *Elector) leaderEnded() bool {
	leader := el.watched()
	mb := el.members[leader.Host]
	return el.leaderRefuses || mb != nil && mb.reportedBy != "" && mb.reportedBy != leader.Boot
}

// pollPeers sends heartbeats to all hosts and takes over if it finds that there is no leader: the
// majority agrees that the leader has failed, or its record in the store has not changed for
// storeHeartbeatTimeout. The leader has not been seen for the duration sinceSeen.
func (el *Elector) pollPeers(ctx context.Context, sinceSeen time.Duration) {
	el.mu.Lock()
	suspect := el.watched()
	el.mu.Unlock()
	pollBegan := time.Now()
	el.sendHeartbeats(ctx, el.otherHosts(), pollTimeout)
	stale := el.storeHeartbeatStale(ctx, suspect)
	el.mu.Lock()
	now, agreed, total := time.Now(), el.countAgreeing(pollBegan), len(el.members)
	noLeader := el.watched() == suspect && now.Sub(el.leaderLastSeen) >= sinceSeen && (2*agreed > total || stale)
	switch {
	case !noLeader:
		el.noLeaderSince = time.Time{}
	case el.noLeaderSince.IsZero():
		el.noLeaderSince = now
	}
	rank, stopped := el.rank(&pollBegan), suspect.Host != "" && el.hasStopped(suspect.Host, suspect.Boot, suspect.Epoch+1)
	tooEarly := now.Sub(el.noLeaderSince) < time.Duration(rank)*rankDelay
	el.mu.Unlock()
	if !noLeader || tooEarly {
		return
	}
	logger.Log(el.op.Log, logger.LeaderGone, "Leader", suspect.Host, "Epoch", suspect.Epoch, "Silence", sinceSeen.String(), "Agreed", agreed, "Hosts", total, "Rank", rank, "Stopped", stopped)
	el.mu.Lock()
	defer el.mu.Unlock()
	el.startTerm(suspect.Epoch)
}

// otherHosts returns the addresses of all other hosts, of seeds too.
func (el *Elector) otherHosts() []netip.AddrPort {
	el.mu.Lock()
	defer el.mu.Unlock()
	addrs := slices.Clone(el.op.Seeds)
	for _, mb := range el.members {
		if mb.Host != el.op.Self.Host && !slices.Contains(addrs, mb.Address) {
			addrs = append(addrs, mb.Address)
		}
	}
	return addrs
}

// countAgreeing returns the number of hosts that agree that the leader has failed and that replied
// since the given time. This host counts as one. The caller holds mu.
func (el *Elector) countAgreeing(since time.Time) int {
	agreed := 1
	for _, mb := range el.members {
		if mb.Host != el.op.Self.Host && !mb.lastReply.Before(since) && mb.agreesLeaderFailed() {
			agreed++
		}
	}
	return agreed
}

// agreesLeaderFailed reports whether the host does not lead and reported that it cannot reach the
// leader either.
func (mb *member) agreesLeaderFailed() bool {
	return !mb.leading && (mb.sinceLeaderSeen >= agreementTimeout || mb.leaderRefuses)
}

// rank returns the number of hosts that are preferred to this one as leader and are not draining.
// If since is not nil, it counts only those of them that have replied since, reach the store and
// agree that the leader has failed: the others will not try to lead soon. The caller holds mu.
func (el *Elector) rank(since *time.Time) int {
	rank := 0
	for _, mb := range el.members {
		if mb.Host == el.op.Self.Host || mb.draining || since != nil && (mb.lastReply.Before(*since) || mb.storeAge > storeContactTimeout || !mb.agreesLeaderFailed()) {
			continue
		}
		if compareCandidates(&mb.Member, &el.op.Self) < 0 {
			rank++
		}
	}
	return rank
}

// compareCandidates orders hosts by preference as leader, the preferred first.
func compareCandidates(one, two *Member) int {
	return cmp.Or(cmp.Compare(two.Weight, one.Weight), cmp.Compare(tieBreaker(two.Host), tieBreaker(one.Host)))
}

// tieBreaker returns the number by which hosts of equal weight are ordered. It is a hash of the
// name, so that the order does not follow data centres.
func tieBreaker(host fleet.HostName) uint64 { return xxhash.Sum64String(string(host)) }

// HasStopped reports whether it is certain that a process that led sends no more requests to workers: its
// term has ended at this host, a later process of its host runs, it has resigned, or it has reported
// that it knows the given epoch, which is the one after its own. A process reports a later epoch only once its
// own term has ended.
func (el *Elector) HasStopped(host fleet.HostName, boot fleet.BootID, epoch modeler.Epoch) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.hasStopped(host, boot, epoch)
}

// hasStopped is HasStopped for callers that hold mu.
func (el *Elector) hasStopped(host fleet.HostName, boot fleet.BootID, epoch modeler.Epoch) bool {
	if host == el.op.Self.Host {
		return true
	}
	mb := el.members[host]
	switch {
	case mb == nil || mb.reportedBy == "":
		return false
	case mb.resigned == boot:
		return true
	case mb.reportedBy != boot:
		// The message may be a late one of an earlier process, which did not know the epoch that this one led.
		return mb.epoch >= epoch-1
	}
	return mb.epoch >= epoch && !mb.leading
}

// LeaderKnownFor returns for how long this host has known of the leader of an epoch, zero if another epoch is
// the last that it knows.
func (el *Elector) LeaderKnownFor(epoch modeler.Epoch) time.Duration {
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.leader.Epoch != epoch || epoch == 0 {
		return 0
	}
	return time.Since(el.leaderKnownAt)
}

// storeHeartbeatStale reports whether the leader's record in the store has not changed for
// storeHeartbeatTimeout, or, without a known leader, whether no host has reported one for as long.
func (el *Elector) storeHeartbeatStale(ctx context.Context, leader Leader) bool {
	if leader.Host == "" {
		return el.noLeaderReported()
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	en, err := el.op.Store.Get(ctx, memberPrefix+string(leader.Host))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return false
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	if en.Revision != el.leaderRevision || el.leaderRevisionAt.IsZero() {
		el.leaderRevision, el.leaderRevisionAt = en.Revision, time.Now()
		return false
	}
	return time.Since(el.leaderRevisionAt) > storeHeartbeatTimeout
}

// noLeaderReported reports whether no host has reported a leader for storeHeartbeatTimeout.
func (el *Elector) noLeaderReported() bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return time.Since(el.leaderLastSeen) > storeHeartbeatTimeout
}

// announce sends heartbeats to all hosts while this one leads, and removes the records of hosts that it has
// not heard of for memberRemovalTimeout.
func (el *Elector) announce(ctx context.Context) {
	if !el.Leading() {
		return
	}
	el.mu.Lock()
	// Heartbeats of a time in which this process stood still may not have been handled yet.
	led := min(time.Since(el.announcedAt), 2*leaderHeartbeatInterval)
	el.announcedAt = time.Now()
	// An earlier leader may have a quorum with hosts that this one does not hear of. PrecludesQuorum needs their
	// records until then.
	removable := el.precludesQuorum(el.own.Epoch) || time.Since(el.epochBegunAt) > minRemovalTermAge
	var addrs []netip.AddrPort
	var expired []*member
	for _, mb := range el.members {
		if mb.Host == el.op.Self.Host {
			continue
		}
		addrs = append(addrs, mb.Address)
		if mb.silentFor += led; removable && mb.silentFor > memberRemovalTimeout {
			expired = append(expired, mb)
		}
	}
	if 2*len(expired) >= len(el.members) {
		// They may be a majority that this host is cut off from.
		expired = nil
	}
	el.mu.Unlock()
	el.sendHeartbeats(ctx, addrs, heartbeatTimeout)
	el.removeRecords(ctx, expired)
}

// removeRecords deletes the records of hosts. It is bounded in time, as the next heartbeats wait for it.
func (el *Elector) removeRecords(ctx context.Context, mbs []*member) {
	ctx, cancel := context.WithTimeout(ctx, removalTimeout)
	defer cancel()
	for _, mb := range mbs {
		// A host that comes back stores its record again.
		if err := el.op.Store.Delete(ctx, memberPrefix+string(mb.Host), mb.revision); err == nil {
			logger.Log(el.op.Log, logger.MemberRemoved, "Host", mb.Host)
		}
	}
}

// sendHeartbeats sends a heartbeat to each address at the same time and waits for the replies.
func (el *Elector) sendHeartbeats(ctx context.Context, addrs []netip.AddrPort, timeout time.Duration) {
	var eg errgroup.Group
	for _, addr := range addrs {
		eg.Go(func() error {
			el.sendHeartbeat(ctx, addr, timeout)
			return nil
		})
	}
	// Heartbeats return no error: a host that does not reply is detected by the time of its last
	// reply.
	_ = eg.Wait()
}

// sendHeartbeat sends a heartbeat to the host at the address and records what the reply reports.
func (el *Elector) sendHeartbeat(ctx context.Context, addr netip.AddrPort, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := el.op.Dial(addr).Greet(ctx, el.newGreeting())
	el.setLeaderRefuses(addr, errors.Is(err, syscall.ECONNREFUSED))
	if err != nil {
		return
	}
	el.observe(reply, sentAt)
}

// setLeaderRefuses records whether the address refused a connection, if it is the leader's.
func (el *Elector) setLeaderRefuses(addr netip.AddrPort, refused bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	if addr == el.watched().Address {
		el.leaderRefuses = refused
	}
}

// newGreeting returns a heartbeat with what this host knows now, without a later leader while a term of
// this host ends.
func (el *Elector) newGreeting() *messenger.Greeting {
	el.mu.Lock()
	defer el.mu.Unlock()
	// Only a leader reports zero.
	leader, sinceSeen := el.leader, max(time.Since(el.leaderLastSeen), time.Millisecond)
	if el.inTerm && el.epochBegun {
		leader, sinceSeen = el.own, 0
	}
	return &messenger.Greeting{
		Host: string(el.op.Self.Host), Boot: string(el.op.Self.Boot), Address: el.op.Self.Address.String(),
		Weight: el.op.Self.Weight, Leaving: el.draining, DataCentre: string(el.op.Self.DataCentre),
		Epoch: int64(leader.Epoch), Leader: string(leader.Host), LeaderBoot: string(leader.Boot),
		LeaderAddress: leader.Address.String(), Silence: sinceSeen.Milliseconds(),
		StoreAge: el.op.StoreAge().Milliseconds(), Revision: el.op.ConfigurationRevision(), Refused: el.leaderEnded(),
	}
}

// checkGreeting returns what a message says of its sender and of the leader, which is zero if the
// sender knows none. Errors: ErrInvalidMember.
func checkGreeting(gr *messenger.Greeting) (sender Member, leader Leader, err error) {
	addr, err := netip.ParseAddrPort(gr.Address)
	if err != nil {
		return Member{}, Leader{}, fmt.Errorf("%w: %w", ErrInvalidMember, err)
	}
	sender = Member{Host: fleet.HostName(gr.Host), Boot: fleet.BootID(gr.Boot), Address: addr, Weight: gr.Weight, DataCentre: fleet.DataCentreName(gr.DataCentre)}
	if err := sender.Check(); err != nil {
		return Member{}, Leader{}, err
	}
	if gr.Epoch < 0 || gr.Epoch > int64(modeler.MaxEpoch) || gr.Revision < 0 || gr.Revision > modeler.MaxRevision {
		return Member{}, Leader{}, fmt.Errorf("%w: epoch %d, revision %d", ErrInvalidMember, gr.Epoch, gr.Revision)
	}
	if gr.Epoch == 0 {
		return sender, Leader{}, nil
	}
	addr, err = netip.ParseAddrPort(gr.LeaderAddress)
	if err != nil {
		return Member{}, Leader{}, fmt.Errorf("%w: leader: %w", ErrInvalidMember, err)
	}
	leading := Member{Host: fleet.HostName(gr.Leader), Boot: fleet.BootID(gr.LeaderBoot), Address: addr}
	if err := leading.Check(); err != nil {
		return Member{}, Leader{}, err
	}
	return sender, Leader{Epoch: modeler.Epoch(gr.Epoch), Host: leading.Host, Boot: leading.Boot, Address: addr}, nil
}

// observe records what another host reported in a heartbeat, or in the reply to one that was sent at a time.
func (el *Elector) observe(gr *messenger.Greeting, repliedTo time.Time) {
	if gr.Host == string(el.op.Self.Host) {
		return
	}
	sender, leader, err := checkGreeting(gr)
	if err != nil {
		el.invalid.Report(logger.PeerInvalid, meter.ReportsInvalid, gr.Address+" "+gr.Host, err, "Peer", fmt.Sprintf("%.100q", gr.Address))
		return
	}
	if gr.Revision > el.op.ConfigurationRevision() {
		el.op.OnHigherRevision(sender.Address, gr.Revision)
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	now := time.Now()
	mb := el.getOrAddMember(sender.Host)
	mb.Boot, mb.Address, mb.Weight, mb.DataCentre = sender.Boot, sender.Address, sender.Weight, cmp.Or(sender.DataCentre, mb.DataCentre)
	// A process never stops draining. Its messages may arrive in another order.
	mb.draining = gr.Leaving || mb.draining && mb.reportedBy == sender.Boot
	if mb.reportedBy != sender.Boot {
		mb.processSeenAt, mb.confirmedAt = now, time.Time{}
	}
	mb.reportedBy, mb.epoch = sender.Boot, leader.Epoch
	mb.sinceLeaderSeen = modeler.DurationFromMillis(gr.Silence)
	mb.storeAge = modeler.DurationFromMillis(gr.StoreAge)
	mb.leaderRefuses, mb.silentFor = gr.Refused, 0
	mb.leading = gr.Leader == gr.Host && gr.LeaderBoot == gr.Boot && gr.Silence == 0
	if repliedTo.IsZero() {
		mb.lastHeartbeat = now
	} else {
		mb.lastReply = now
		if leader.Epoch <= el.own.Epoch {
			mb.confirmedAt = later(mb.confirmedAt, repliedTo)
		}
	}
	el.observeLeader(leader, mb, now)
}

// observeLeader follows a leader with a higher epoch, and ends this host's own term then. Otherwise
// it updates leaderLastSeen if the sender is the current leader. The caller holds mu.
func (el *Elector) observeLeader(leader Leader, mb *member, now time.Time) {
	if leader.Epoch > el.leader.Epoch {
		el.leader = leader
		el.leaderKnownAt, el.leaderLastSeen, el.leaderRevisionAt, el.noLeaderSince, el.leaderRefuses = now, now, time.Time{}, time.Time{}, false
		logger.Log(el.op.Log, logger.LeaderElected, "Epoch", leader.Epoch, "Leader", leader.Host, "Self", false)
		if el.inTerm && el.epochBegun {
			el.cancelTerm()
		}
		return
	}
	// The leader counts as seen if it reaches the store, or if this host does not reach it either.
	// Otherwise the suspicion timeout goes on, so that the leader is replaced.
	counts := mb.storeAge < storeContactTimeout || el.op.StoreAge() > storeContactTimeout
	if leader.Epoch == el.leader.Epoch && mb.leading && mb.Boot == el.leader.Boot && counts {
		el.leaderLastSeen, el.noLeaderSince = later(el.leaderLastSeen, now), time.Time{}
	}
}

// HandleGreeting records another host's heartbeat and returns the reply.
func (el *Elector) HandleGreeting(gr *messenger.Greeting) *messenger.Greeting {
	el.observe(gr, time.Time{})
	return el.newGreeting()
}

// later returns the later of two times.
func later(one, two time.Time) time.Time {
	if two.After(one) {
		return two
	}
	return one
}
