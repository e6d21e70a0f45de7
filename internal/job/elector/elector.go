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
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
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
	// maxClockDrift bounds the share by which the clock of another host may be fast.
	maxClockDrift = 0.02
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
	// WorkerFences returns, while this host leads, the workers that the host at the address watches, see package fencer.
	// It does not wait. OnWorkerFences is called with those that another host sent. Both may be nil.
	WorkerFences   func(host netip.AddrPort) []modeler.WorkerFence
	OnWorkerFences func(list []modeler.WorkerFence)
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
	// epochs are the last epochs that this host knows, in rising order.
	epochs []knownEpoch
	// startedAt is when Run began, or New before that.
	startedAt time.Time
	// runCtx is the context of Run, nil before.
	runCtx context.Context
	// draining is set by Drain. This host begins no further term then.
	draining bool
	// noLeaderSince is when this host first found that there is no leader, and zero if there is one.
	noLeaderSince time.Time
	// refusalsMislead is set once a process that was counted as ended, as its address refused connections, has
	// begun an epoch. The network rejects connections to hosts that run, and refusals prove nothing then.
	refusalsMislead bool
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
	// refusedAt is when this host sent the last heartbeat for which the host's address refused the connection.
	refusedAt time.Time
	// countedEnded is the last process of the host that was counted as ended as its address refused connections.
	countedEnded fleet.BootID
	// processSeenAt is when this host first heard of the process reportedBy.
	processSeenAt time.Time
	// silentFor is for how long this host has led, in all its terms together, since it last heard of the host.
	// While it does not lead, it may have no contact with hosts that do not either.
	silentFor time.Duration
	// epochs has, in rising order, when processes of the host knew the last epochs at the latest, by this host's clock. A
	// later process of the host confirms no leader that an earlier one did not.
	epochs []knownEpoch
	// formerSeenAt is when the last message of a process before reportedBy arrived.
	formerSeenAt time.Time
	// startedBy is when the process reportedBy had its address at the latest, by this host's clock.
	startedBy time.Time
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
	return &Elector{op: op, members: map[fleet.HostName]*member{}, leaderLastSeen: time.Now(), startedAt: time.Now(), invalid: reporter.New(op.Log, op.Meter)}
}

// Run tracks the other hosts and takes leadership over when needed, until the context ends. It then
// calls Drain. The process listens on the address of Options.Self before, which an earlier process of the host holds until
// it ends.
func (el *Elector) Run(ctx context.Context) {
	el.mu.Lock()
	el.runCtx, el.startedAt = ctx, time.Now()
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

// KnownEpoch returns the highest epoch that this host knows to have begun.
func (el *Elector) KnownEpoch() modeler.Epoch {
	el.mu.Lock()
	defer el.mu.Unlock()
	return max(el.leader.Epoch, el.own.Epoch)
}
