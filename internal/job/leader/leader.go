// Package leader runs a term of leadership: it begins an epoch of the journal, restores the facts
// that earlier terms recorded, and passes stored jobs and registered workers to the director until
// the term is over.
package leader

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/relayer"
	"github.com/currantrouter/currantrouter/internal/job/watcher"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
	"github.com/currantrouter/currantrouter/internal/telemetry/reporter"
)

const (
	// journalName is the name of the only journal of facts. All leaders share it.
	journalName = "Jobs"
	// maxJournalWritesPerSecond bounds the journal's writes, well below what the store allows.
	maxJournalWritesPerSecond = 20
	// journalCallTimeout bounds a call of the journal to the store, so that a connection whose other
	// end is unreachable is given up.
	journalCallTimeout = 1200 * time.Millisecond
	// journalRetryTimeout is the time for which a failed write of the journal is repeated. It is short
	// so that a short outage of the store delays the journal only a little longer.
	journalRetryTimeout = time.Second
	// maxJournalBackOff bounds the pause between two calls during an outage of the store, for the same
	// reason.
	maxJournalBackOff = 400 * time.Millisecond
	// minOpenTimeout bounds the first attempt to begin an epoch. When it has passed, the reason for
	// the takeover may no longer hold.
	minOpenTimeout = 1500 * time.Millisecond
	// maxOpenTimeoutDoublings is how often minOpenTimeout is doubled, once for each attempt that
	// failed in a row. A host on a slow link may need longer to read the journal, and could otherwise
	// never lead.
	maxOpenTimeoutDoublings = 2
	// journalCheckInterval is the time after which the end of an idle journal is read.
	journalCheckInterval = time.Second
	// authorityTimeout is how long a leader sends requests to workers without confirmation that it
	// still leads, or for one lease if that is shorter. A start gives the worker a lease of 1.5 s, which is over
	// when one that was extended for extensionTimeout is.
	authorityTimeout = 4 * time.Second
	// extensionTimeout is how long a leader extends leases without confirmation that it still leads. It is
	// shorter as the next leader adds it to the leases that workers may still hold.
	extensionTimeout = time.Second
	// quorumTimeout is how long a quorum of hosts may confirm that a leader leads while the store does not. A
	// later leader that less than half of the hosts know waits for it. It is three times the longest
	// outage of the store that is expected, and well below the time after which hosts without contact are
	// no longer counted.
	quorumTimeout = 30 * time.Second
	// maxVoterSilence is how long a host that is to confirm this one as leader may not have been heard of. It is the
	// interval of a leader's heartbeats and the time in which they are answered.
	maxVoterSilence = 1600 * time.Millisecond
	// authoritySampleInterval is the time between two samples of how long the machine was suspended.
	authoritySampleInterval = 250 * time.Millisecond
	// maxAuthoritySamples bounds these samples. Older ones than quorumTimeout are not needed.
	maxAuthoritySamples = int(quorumTimeout / authoritySampleInterval)
	// jobsBatchDelay is the time between two reads of changed jobs. It adds no delay to most jobs, as
	// hosts notify the leader of new ones at once.
	jobsBatchDelay = 100 * time.Millisecond
	// workersBatchDelay is the time between two reads of changed workers' entries. Each worker writes
	// its entry every 1.5 s, and a draining one must get no tasks after 2 s.
	workersBatchDelay = 250 * time.Millisecond
	// recordEndTimeout bounds the record of the end of a term. The successor is asked to take over after
	// it.
	recordEndTimeout = 400 * time.Millisecond
)

// Store is the key-value service.
type Store interface {
	elector.Store
	List(ctx context.Context, prefix, after string, limit int) ([]storer.Entry, error)
	Page(ctx context.Context, prefix, after string) (storer.Page, error)
	Wait(ctx context.Context, prefix string, after int64) ([]storer.Entry, int64, error)
}

// Registry describes the entries of workers in the key-value service.
type Registry struct {
	// Prefix is the prefix of the entries' keys. The worker's ID follows it.
	Prefix string
	// Decode returns the worker that an entry describes, or an error if it describes none.
	Decode func(en storer.Entry) (modeler.Worker, error)
}

// Options configure a leader.
type Options struct {
	Self     elector.Member
	Store    Store
	Registry Registry
	// Evacuations describe the requests to evacuate data centres.
	Evacuations Evacuations
	// EvacuationLimit is the time after a request to evacuate a data centre was stored from which no start may reach a
	// worker there. If it is zero, evacuations are not read.
	EvacuationLimit time.Duration
	WorkerClient    director.WorkerClient
	// DialRelay returns the client for another host that may relay requests to workers. If it is nil, this host
	// sends all of them.
	DialRelay func(address netip.AddrPort) messenger.Relay
	// OnLargeFleet is called with true when this host leads a fleet that needs relays, and with false when it does no
	// more. It may be nil.
	OnLargeFleet func(leads bool)
	Policy       director.Policy
	Limits       director.Limits
	// LoadHints is set if entry hosts use load hints.
	LoadHints bool
	// Configuration returns the configuration in force, or nil.
	Configuration func() *modeler.Configuration
	// SuspendedTime returns how long this machine has been suspended since the process started.
	// Monotonic clocks do not count that time.
	SuspendedTime func() time.Duration
	Log           logr.Logger
	Meter         *meter.Registry
}

// Leader runs the terms of this host. It is safe for concurrent use.
type Leader struct {
	op      Options
	elector *elector.Elector
	// current is the director of the present term, or nil.
	current atomic.Pointer[director.Director]
	// invalidEntries reports entries of the store that are left out, once over all terms.
	invalidEntries *reporter.Reporter
	// failedOpens counts the attempts to begin an epoch that failed in a row because the journal could
	// not be read in time.
	failedOpens atomic.Int32
}

// New returns a leader without a term.
func New(op Options) *Leader {
	return &Leader{op: op, invalidEntries: reporter.New(op.Log, op.Meter)}
}

// SetElector sets the elector that starts the terms. It is called once, before the first term.
func (ld *Leader) SetElector(el *elector.Elector) { ld.elector = el }

// Director returns the director of the present term, or nil.
func (ld *Leader) Director() *director.Director { return ld.current.Load() }

// Lead implements elector.LeadFunc. It begins an epoch and leads until the term is over. Errors:
// those of journaler.Open, elector.ErrLaterEpoch, director.ErrTermOver.
func (ld *Leader) Lead(ctx context.Context) error {
	began, suspended := time.Now(), ld.op.SuspendedTime()
	doublings := min(ld.failedOpens.Load(), maxOpenTimeoutDoublings)
	openCtx, cancel := context.WithTimeout(ctx, minOpenTimeout<<doublings)
	defer cancel()
	// An attempt to write the epoch whose result is unknown may have succeeded, so that all of them name the same electorate.
	electorate := ld.elector.Electorate(began.Add(-maxVoterSilence), modeler.Electorate{})
	jn, rec, err := journaler.Open(openCtx, ld.op.Store, journalName, ld.op.Self.Host, ld.op.Self.Boot, journaler.Options{
		WritesPerSecond: maxJournalWritesPerSecond, RetryTimeout: journalRetryTimeout, MaxBackOff: maxJournalBackOff,
		CallTimeout: journalCallTimeout, OpenCallTimeout: journalCallTimeout << doublings, SkipDamaged: true,
		MayReplace: ld.mayReplace, EpochRecords: director.EpochRecords(&electorate), Logger: ld.op.Log, Meter: ld.op.Meter,
	})
	if errors.Is(err, journaler.ErrUnavailable) {
		ld.failedOpens.Add(1)
	}
	if err != nil {
		return err
	}
	ld.failedOpens.Store(0)
	defer jn.Close()
	epoch := modeler.Epoch(rec.Epoch)
	tm := &term{leader: ld, journal: jn, authority: newAuthority(ld, jn, suspended, electorate)}
	tm.relays = ld.newRelayClient(epoch, tm.authority)
	tm.evacuations = ld.newEvacuationWatch(tm)
	// The term of the director begins before other hosts hear of it, see director.Options.PredecessorSeenFor.
	dr := director.New(director.Options{
		Epoch: epoch, WorkerClient: tm.relays, Journal: jn, Policy: ld.op.Policy, JobStore: keeper.NewJobStore(ld.op.Store),
		Configuration: ld.op.Configuration, MaySendRequests: tm.authority.valid, MayExtendLeases: tm.authority.mayExtend,
		InheritedLease: ld.inheritedLease(rec), PredecessorStopped: ld.predecessorStopped(rec), EarlierLeadersStopAt: ld.earlierLeadersStopAt(epoch),
		LeadersBeforePredecessorStopAt: ld.earlierLeadersStopAt(epoch - 1), LeaderStopsAt: ld.leaderStopsAt, Electorate: tm.authority, PredecessorSeenFor: ld.elector.LeaderKnownFor(epoch - 1), FactsMissing: rec.Damaged > 0,
		SnapshotPosition: rec.SnapshotPosition, FactsSinceSnapshot: len(rec.Records),
		Evacuator: tm.evacuations.evacuatorOrNil(), LoadHints: ld.op.LoadHints, Limits: ld.op.Limits, Log: ld.op.Log, Meter: ld.op.Meter,
	})
	if err := ld.elector.EpochBegun(epoch); err != nil {
		return err
	}
	dr.Restore(slices.Concat(rec.SnapshotRecords, rec.Records))
	tm.director = dr
	ld.current.Store(dr)
	defer ld.current.Store(nil)
	logger.Log(ld.op.Log, logger.TermBegun, "Epoch", rec.Epoch, "Previous", rec.PreviousHost, "Facts", len(rec.SnapshotRecords)+len(rec.Records),
		"InheritedLease", dr.InheritedLease().String(), "Took", time.Since(began).String())
	return tm.run(ctx)
}

// newRelayClient returns the client that sends a term's requests to workers.
func (ld *Leader) newRelayClient(epoch modeler.Epoch, au *authority) *relayer.Client {
	self := &ld.op.Self
	hosts := func() []relayer.Host {
		if ld.op.DialRelay == nil {
			return nil
		}
		var list []relayer.Host
		for _, mb := range ld.elector.ReachableHosts() {
			if mb.DataCentre == "" {
				// A host of an earlier version is no relay.
				continue
			}
			list = append(list, relayer.Host{Name: mb.Host, DataCentre: mb.DataCentre, Address: mb.Address, Weight: mb.Weight})
		}
		return list
	}
	return relayer.NewClient(relayer.Options{
		Epoch: epoch, Host: self.Host, Boot: self.Boot, Weight: self.Weight, MaySend: au.valid, SuspendedTime: ld.op.SuspendedTime,
		Hosts: hosts, Dial: ld.op.DialRelay, Direct: ld.op.WorkerClient, OnRelays: ld.op.OnLargeFleet, Invalid: ld.invalidEntries, Log: ld.op.Log, Meter: ld.op.Meter,
	})
}

// mayReplace implements journaler.Options.MayReplace.
func (ld *Leader) mayReplace(epoch fleet.Epoch, host fleet.HostName, boot fleet.BootID) bool {
	return ld.elector.MayReplace(modeler.Epoch(epoch), host, boot)
}

// inheritedLease returns how long, from the beginning of the term, unreachable workers may run tasks for
// earlier leaders, which may extend leases for quorumTimeout by their clocks.
func (ld *Leader) inheritedLease(rec journaler.Recovery) time.Duration {
	// A damaged segment may be the only trace of the last leader.
	if rec.PreviousHost == "" && rec.Damaged == 0 {
		return 0
	}
	return ld.op.Limits.MaxLeaseTime() + director.LongestTime(quorumTimeout)
}

// earlierLeadersStopAt returns a function that returns when the leaders before an epoch stop extending leases, once that is
// known: extensionTimeout after so many hosts knew the epoch that none of them has a quorum. The store
// confirms none since the epoch began.
func (ld *Leader) earlierLeadersStopAt(epoch modeler.Epoch) func() (time.Time, bool) {
	return func() (time.Time, bool) {
		since, ok := ld.elector.PrecludesQuorumSince(epoch)
		return since.Add(director.LongestTime(extensionTimeout)), ok
	}
}

// leaderStopsAt implements director.Options.LeaderStopsAt: extensionTimeout after the leader lost the quorum of its electorate,
// or when its term or process has ended if that is sooner.
func (ld *Leader) leaderStopsAt(epoch modeler.Epoch, electorate modeler.Electorate) (time.Time, bool) {
	lostAt, lost := ld.elector.QuorumLostAt(epoch, electorate)
	stopAt := lostAt.Add(director.LongestTime(extensionTimeout))
	stoppedAt, stopped := ld.elector.StoppedAt(electorate.Leader.Host, electorate.Leader.Boot, epoch+1)
	if stopped && (!lost || stoppedAt.Before(stopAt)) {
		stopAt = stoppedAt
	}
	return stopAt, lost || stopped
}

// predecessorStopped returns a function that returns a time from which the leader of the epoch before sends no requests
// to workers, once that is known.
func (ld *Leader) predecessorStopped(rec journaler.Recovery) func() (time.Time, bool) {
	return func() (time.Time, bool) {
		if rec.PreviousHost == "" {
			return time.Time{}, false
		}
		return ld.elector.StoppedAt(rec.PreviousHost, rec.PreviousBoot, modeler.Epoch(rec.Epoch))
	}
}

// term is a running term.
type term struct {
	leader    *Leader
	director  *director.Director
	journal   *journaler.Journal
	authority *authority
	relays    *relayer.Client
	// evacuations is nil if evacuations are not read.
	evacuations *evacuationWatch
	// firstLoad marks the first call of resetJobs.
	firstLoad sync.Once
}

// run watches jobs, workers and evacuations for the director, and returns when its term is over.
func (tm *term) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	op := &tm.leader.op
	jobs := watcher.New(op.Store, keeper.KeyPrefix, watcher.Sink{Reset: tm.resetJobs, Apply: tm.applyJobs}, "jobs", jobsBatchDelay, op.Log)
	workers := watcher.New(op.Store, op.Registry.Prefix, watcher.Sink{Reset: tm.resetWorkers, Apply: tm.applyWorkers}, "workers", workersBatchDelay, op.Log)
	tm.director.Start(ctx)
	loops.Go(func() { tm.relays.Run(ctx) })
	loops.Go(func() { jobs.Run(ctx) })
	loops.Go(func() { workers.Run(ctx) })
	if tm.evacuations != nil {
		loops.Go(func() { tm.evacuations.run(ctx) })
	}
	loops.Go(func() { tm.journalCheckLoop(ctx) })
	loops.Go(func() { pauser.Every(ctx, authoritySampleInterval, func(context.Context) { tm.authority.confirm() }) })
	if err := tm.director.Wait(); err != nil {
		return err
	}
	tm.recordEnd()
	return nil
}

// recordEnd records the end of a term that was not ended by another host.
func (tm *term) recordEnd() {
	ctx, cancel := context.WithTimeout(context.Background(), recordEndTimeout)
	defer cancel()
	if err := tm.director.RecordEnd(ctx); err != nil && !errors.Is(err, journaler.ErrDeposed) {
		logger.Log(tm.leader.op.Log, logger.TermEndNotRecorded, "Error", err.Error())
	}
}

// resetJobs passes all stored jobs to the director. An earlier leader may have started those of the
// first call. It cannot have started jobs that were stored later, because the director starts a new
// job only after it has confirmed that its host still leads.
func (tm *term) resetJobs(ens []storer.Entry) {
	inherited, source := false, director.FromListing
	tm.firstLoad.Do(func() { inherited, source = true, director.FromTermStart })
	tm.applyChanges(ens, inherited, source)
	if inherited {
		tm.director.FinishLoading()
	}
}

func (tm *term) applyJobs(ens []storer.Entry) { tm.applyChanges(ens, false, director.FromWatch) }

// applyChanges passes stored jobs and then cancellations to the director: entries need not be in
// the order in which they were written. The flag inherited is set if an earlier leader may have
// started the jobs.
func (tm *term) applyChanges(ens []storer.Entry, inherited bool, source director.CancellationSource) {
	var cancelled []modeler.JobID
	for _, en := range ens {
		ch, ok, err := keeper.ParseChange(en)
		switch {
		case err != nil:
			tm.leader.invalidEntries.Report(logger.JobDamaged, meter.EntriesInvalid, en.Key, err, "Key", en.Key)
		case !ok:
		case ch.Job == nil:
			cancelled = append(cancelled, ch.ID)
		default:
			tm.director.AddJob(ch.Job, inherited)
		}
	}
	for _, id := range cancelled {
		tm.director.CancelJob(id, source)
	}
}

func (tm *term) resetWorkers(ens []storer.Entry) {
	var list []modeler.Worker
	for _, en := range ens {
		if wk, ok := tm.decodeWorker(en); ok {
			list = append(list, wk)
		}
	}
	tm.director.SetWorkers(list)
}

func (tm *term) applyWorkers(ens []storer.Entry) {
	for _, en := range ens {
		if wk, ok := tm.decodeWorker(en); ok {
			tm.director.UpdateWorker(wk)
		} else {
			tm.director.RemoveWorker(modeler.WorkerID(strings.TrimPrefix(en.Key, tm.leader.op.Registry.Prefix)))
		}
	}
}

// decodeWorker decodes a worker's entry. It returns false for an entry that names no worker: a
// deleted one, and an invalid one, which it reports.
func (tm *term) decodeWorker(en storer.Entry) (modeler.Worker, bool) {
	if en.Deleted {
		return modeler.Worker{}, false
	}
	wk, err := tm.leader.op.Registry.Decode(en)
	if err != nil {
		tm.leader.invalidEntries.Report(logger.WorkerEntryInvalid, meter.EntriesInvalid, en.Key, err, "Key", en.Key)
	}
	return wk, err == nil
}

// journalCheckLoop reads the end of the journal while nothing is appended, to detect that another
// host has deposed this one.
func (tm *term) journalCheckLoop(ctx context.Context) {
	tk := pauser.NewTicker(journalCheckInterval / 2)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tm.journal.Deposed():
			tm.director.StepDown("journal has a later epoch")
			return
		case <-tk.Next():
			tk.Advance()
		}
		if time.Since(tm.journal.LastConfirmed()) < journalCheckInterval {
			tm.authority.confirm()
			continue
		}
		checkCtx, cancel := context.WithTimeout(ctx, journalCallTimeout)
		err := tm.journal.Check(checkCtx)
		cancel()
		switch {
		case err == nil:
			tm.authority.confirm()
		case errors.Is(err, journaler.ErrDeposed):
			tm.director.StepDown("journal has a later epoch")
			return
		}
	}
}

// authority determines whether this host may still send requests to workers.
type authority struct {
	leader  *Leader
	journal *journaler.Journal

	mu sync.Mutex
	// confirmedAt is when this host was last known to lead: the start of a call to the store that succeeded.
	confirmedAt time.Time
	// samples has how long the machine had been suspended at times in rising order. The first is the newest one
	// that is not later than confirmedAt.
	samples []suspendedSample
	// electorate has the processes that may confirm this host. The journal names each of them.
	electorate modeler.Electorate
}

// suspendedSample is how long the machine had been suspended at a time.
type suspendedSample struct {
	at        time.Time
	suspended time.Duration
}

// newAuthority returns the authority of a leader whose machine had been suspended for a time before it
// opened the journal. The epoch was recorded with the electorate.
func newAuthority(ld *Leader, jn *journaler.Journal, suspended time.Duration, electorate modeler.Electorate) *authority {
	confirmed := jn.LastConfirmed()
	return &authority{leader: ld, journal: jn, confirmedAt: confirmed, samples: []suspendedSample{{confirmed, suspended}}, electorate: electorate}
}

// Propose implements director.Electorate.
func (au *authority) Propose() modeler.Electorate {
	return au.leader.elector.Electorate(time.Now().Add(-maxVoterSilence), au.voters())
}

// Restrict implements director.Electorate.
func (au *authority) Restrict(electorate modeler.Electorate) {
	au.mu.Lock()
	defer au.mu.Unlock()
	au.electorate = au.electorate.Intersect(electorate)
}

// Rely implements director.Electorate.
func (au *authority) Rely(electorate modeler.Electorate) {
	au.mu.Lock()
	defer au.mu.Unlock()
	au.electorate = electorate
}

// voters returns the electorate that this host relies on.
func (au *authority) voters() modeler.Electorate {
	au.mu.Lock()
	defer au.mu.Unlock()
	return au.electorate
}

// confirm records when the journal was last known to have no later epoch. The machine may have been
// suspended between the start of that call to the store and now.
func (au *authority) confirm() {
	sample := suspendedSample{time.Now(), au.leader.op.SuspendedTime()}
	confirmed := au.journal.LastConfirmed()
	au.mu.Lock()
	defer au.mu.Unlock()
	au.samples = append(au.samples, sample)
	if len(au.samples) > maxAuthoritySamples {
		au.samples = slices.Delete(au.samples, 1, 2)
	}
	if !confirmed.After(au.confirmedAt) {
		return
	}
	au.confirmedAt = confirmed
	for len(au.samples) > 1 && !au.samples[1].at.After(confirmed) {
		au.samples = au.samples[1:]
	}
}

// valid reports whether this host may still send requests to workers.
func (au *authority) valid() bool {
	return au.confirmedWithin(min(authorityTimeout, au.leader.op.Limits.Lease))
}

// mayExtend reports whether this host may still extend leases.
func (au *authority) mayExtend() bool { return au.confirmedWithin(extensionTimeout) }

// confirmedWithin reports whether the store, or for up to quorumTimeout after it a quorum of hosts, has
// confirmed within a time that this host leads. Time in which the machine was suspended counts. The hosts
// of a quorum would have reported a later leader if they knew one, which it allows for.
func (au *authority) confirmedWithin(timeout time.Duration) bool {
	now, suspended := time.Now(), au.leader.op.SuspendedTime()
	au.mu.Lock()
	confirmedAt, first := au.confirmedAt, au.samples[0]
	after := now.Add(-timeout)
	near := first
	for _, sample := range au.samples[1:] {
		if sample.at.After(after) {
			break
		}
		near = sample
	}
	au.mu.Unlock()
	stored := now.Sub(confirmedAt) + suspended - first.suspended
	if stored < timeout || stored >= quorumTimeout {
		return stored < timeout
	}
	after = after.Add(suspended - near.suspended)
	if after.Before(confirmedAt) {
		after = confirmedAt
	}
	return au.leader.elector.HasQuorum(after, confirmedAt, au.voters())
}
