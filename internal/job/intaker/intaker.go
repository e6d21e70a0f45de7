// Package intaker answers callers at every entry host: it stores jobs and cancellations, and
// queries the leader for the states and numbers of jobs. If it reports that a job was not accepted,
// the job certainly will not run.
package intaker

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/rejecter"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
	"github.com/currantrouter/currantrouter/internal/telemetry/reporter"
)

// Errors of requests of callers. Test for them with errors.Is.
var (
	// ErrNotAccepted means that the job is not stored and that no attempt to store it is under way.
	ErrNotAccepted = errors.New("job was not accepted and will not run")
	// ErrResultUnknown means that the job or cancellation may or may not be stored.
	ErrResultUnknown = errors.New("it is not known whether the change was stored")
	// ErrJobNotFound means that no job with the ID is stored.
	ErrJobNotFound = errors.New("no such job")
	// ErrUnavailable means that neither the leader nor the store could be reached. The caller may
	// retry.
	ErrUnavailable = errors.New("no host can answer now")
)

const (
	// storeCallTimeout bounds one call to the store. It is well above the usual few milliseconds and
	// leaves time to forward the change to a peer.
	storeCallTimeout = 700 * time.Millisecond
	// forwardTimeout bounds one change that is forwarded to a peer. It leaves time for another peer.
	forwardTimeout = 900 * time.Millisecond
	// maxStoreAge is the age of the store's last answer from which this host does not call it for a
	// caller. A call that is not sent cannot have an unknown result.
	maxStoreAge = 1200 * time.Millisecond
	// queryTimeout bounds a query to the leader or a peer.
	queryTimeout = 500 * time.Millisecond
	// storeRetryDelay is the pause before a change with an unknown result is repeated.
	storeRetryDelay = 60 * time.Millisecond
	// storeTimeout bounds a change with all its repetitions.
	storeTimeout = 2500 * time.Millisecond
	// notifyTimeout bounds the notification of the leader about a stored change.
	notifyTimeout = 300 * time.Millisecond
	// maxPendingCacheAge is the age up to which a cached count of pending jobs is returned without a
	// query to the leader.
	maxPendingCacheAge = 400 * time.Millisecond
	// maxStalePendingAge is the age up to which a cached count is returned while the leader is
	// unreachable.
	maxStalePendingAge = 2 * time.Second
	// maxPendingJobs is the highest count of pending jobs that is accepted from the leader.
	maxPendingJobs = 1 << 30
	// maxHops bounds how often a request is forwarded from host to host.
	maxHops = 1
)

// Options configure an intaker.
type Options struct {
	JobStore *keeper.JobStore
	// StoreAge returns the age of the store's last answer to this host.
	StoreAge func() time.Duration
	Elector  *elector.Elector
	// Director returns the director of this host's term, or nil if this host does not lead.
	Director func() *director.Director
	// Dial returns the client for an entry host.
	Dial func(netip.AddrPort) messenger.Jobs
	// Rejecter decides which jobs certainly cannot be of use any more. If it is nil, only jobs that cannot
	// be stored are refused.
	Rejecter *rejecter.Rejecter
	Log      logr.Logger
	Meter    *meter.Registry
}

// Intaker answers the requests of callers. It is safe for concurrent use.
type Intaker struct {
	op Options
	// invalid reports messages of peers that are left out.
	invalid *reporter.Reporter

	mu sync.Mutex
	// pending caches the leader's counts of pending jobs.
	pending map[modeler.QueueName]pendingCount
	// finalStates caches the final states of jobs that were returned to callers, so that they can be
	// returned again while the leader is unreachable.
	finalStates map[modeler.JobID]modeler.State
	// finalOrder holds the jobs of finalStates, the one cached first at the front.
	finalOrder []modeler.JobID
	// submissions holds the jobs that this host has tried to store lately.
	submissions submissions
	// uselessLines and maybeUselessLines bound lines of the log.
	uselessLines, maybeUselessLines reporter.LineBudget
}

// pendingCount is the number of pending jobs of a queue at a time.
type pendingCount struct {
	jobs int
	at   time.Time
}

// maxFinalStates bounds the number of final states that a host caches.
const maxFinalStates = 4096

// New returns an intaker.
func New(op Options) *Intaker {
	return &Intaker{op: op, invalid: reporter.New(op.Log, op.Meter), pending: map[modeler.QueueName]pendingCount{}, finalStates: map[modeler.JobID]modeler.State{}}
}

// Submit stores a job. Errors: modeler.ErrInvalidJob, ErrNotAccepted, as a *Refusal if the job is useless,
// ErrResultUnknown.
func (it *Intaker) Submit(ctx context.Context, jb *modeler.Job) error {
	if err := jb.Check(); err != nil {
		return err
	}
	document, err := keeper.Encode(jb)
	if err != nil {
		return err
	}
	if rf := it.refuseUseless(ctx, jb); rf != nil {
		return rf
	}
	began := time.Now()
	made, err := it.store(ctx,
		func(ctx context.Context) error { return it.op.JobStore.Submit(ctx, jb) },
		func(ctx context.Context, peer messenger.Jobs) error {
			_, err := peer.Submit(ctx, &messenger.JobDocument{Document: document})
			return err
		})
	switch {
	case err == nil:
		it.op.Meter.Add(meter.JobsAccepted, 1)
		it.op.Meter.Observe(meter.TimeToAccept, time.Since(began))
		logger.Log(it.op.Log, logger.JobAccepted, "Job", jb.ID, "Queue", jb.Queue, "Took", time.Since(began).String())
		it.notify(&messenger.StoredChange{Id: string(jb.ID), Document: document})
	case errors.Is(err, ErrNotAccepted):
		it.op.Meter.Add(meter.JobsRefused, 1)
		it.logNotAccepted(logger.JobRefused, jb, made, err)
	default:
		it.op.Meter.Add(meter.JobsUnknown, 1)
		it.logNotAccepted(logger.JobResultUnknown, jb, made, err)
	}
	return err
}

func (it *Intaker) logNotAccepted(ev logger.Event, jb *modeler.Job, made callCounts, err error) {
	logger.Log(it.op.Log, ev, "Job", jb.ID, "Queue", jb.Queue, "StoreAge", it.op.StoreAge().String(), "MaxStoreAge", maxStoreAge.String(),
		"StoreCalls", made.store, "PeerCalls", made.peers, "Error", err.Error())
}

// Cancel stores a cancellation. Errors: ErrJobNotFound, after which a job that is stored later is
// cancelled as well, ErrUnavailable (nothing was stored), ErrResultUnknown.
func (it *Intaker) Cancel(ctx context.Context, id modeler.JobID) error {
	_, err := it.store(ctx,
		func(ctx context.Context) error { return it.cancel(ctx, id) },
		func(ctx context.Context, peer messenger.Jobs) error {
			_, err := peer.Cancel(ctx, &messenger.JobName{Id: string(id), Hops: maxHops})
			return err
		})
	switch {
	case err == nil:
		logger.Log(it.op.Log, logger.CancellationStored, "Job", id)
		it.notify(&messenger.StoredChange{Id: string(id)})
	case errors.Is(err, ErrJobNotFound) && id.Check() == nil:
		logger.Log(it.op.Log, logger.CancellationStored, "Job", id)
		it.notify(&messenger.StoredChange{Id: string(id)})
	case errors.Is(err, ErrNotAccepted):
		return ErrUnavailable
	}
	return err
}

// cancel stores the cancellation of a job. If the job is not stored, the cancellation is stored before
// storer.ErrNotFound is returned: a submission may still be under way, and the caller takes this answer
// for an acknowledgement. Errors: those of keeper.JobStore.
func (it *Intaker) cancel(ctx context.Context, id modeler.JobID) error {
	_, err := it.op.JobStore.Load(ctx, id)
	if err != nil && !errors.Is(err, storer.ErrNotFound) || id.Check() != nil {
		return err
	}
	if cerr := it.op.JobStore.Cancel(ctx, id); cerr != nil {
		return cerr
	}
	return err
}

// callCounts counts the calls that were made to store a change.
type callCounts struct{ store, peers int }

// store stores a change directly, or forwards it to a peer when this host does not reach the store.
// Changes are idempotent, so one with an unknown result is repeated until storeTimeout. Errors:
// ErrNotAccepted, ErrResultUnknown, ErrJobNotFound, modeler.ErrInvalidJob.
func (it *Intaker) store(ctx context.Context, direct func(context.Context) error, forward func(context.Context, messenger.Jobs) error) (callCounts, error) {
	var made callCounts
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	resultUnknown := false
	for {
		err := storer.ErrUnavailable
		if it.op.StoreAge() < maxStoreAge {
			made.store++
			err = callWithTimeout(ctx, storeCallTimeout, direct)
		}
		switch {
		case err == nil:
			return made, nil
		case errors.Is(err, storer.ErrNotFound):
			return made, ErrJobNotFound
		case errors.Is(err, storer.ErrTooLarge):
			return made, modeler.ErrInvalidJob
		case !errors.Is(err, storer.ErrUnavailable):
			resultUnknown = true
		}
		for _, addr := range it.forwardPeers() {
			made.peers++
			ferr := callWithTimeout(ctx, forwardTimeout, func(ctx context.Context) error { return forward(ctx, it.op.Dial(addr)) })
			var te twirp.Error
			switch {
			case ferr == nil:
				return made, nil
			case errors.As(ferr, &te) && te.Code() == twirp.NotFound:
				return made, ErrJobNotFound
			case errors.As(ferr, &te) && te.Code() == twirp.Unavailable && te.Meta(nothingStoredMeta) != "":
			default:
				resultUnknown = true
			}
		}
		if !resultUnknown {
			return made, ErrNotAccepted
		}
		if !pauser.Sleep(ctx, storeRetryDelay) {
			return made, ErrResultUnknown
		}
	}
}

// forwardPeers returns the addresses of at most two peers to which requests are forwarded.
func (it *Intaker) forwardPeers() []netip.AddrPort {
	addrs := it.op.Elector.ReachablePeers()
	return addrs[:min(len(addrs), 2)]
}

// nothingStoredMeta is the metadata key by which a peer's error guarantees that nothing was stored.
// The code twirp.Unavailable alone does not: clients also return it when a connection breaks.
const nothingStoredMeta = "NothingStored"

func callWithTimeout(ctx context.Context, timeout time.Duration, run func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return run(ctx)
}

// notify notifies the leader of a stored change, so that it need not wait for its watch of the
// store.
func (it *Intaker) notify(ch *messenger.StoredChange) {
	if dr := it.op.Director(); dr != nil {
		it.Apply(dr, ch)
		return
	}
	leader := it.op.Elector.Leader()
	if leader.Host == "" {
		it.notNotified(ch, "", errNoLeader)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if _, err := it.op.Dial(leader.Address).Notify(ctx, ch); err != nil {
			it.notNotified(ch, leader.Host, err)
		}
	}()
}

// errNoLeader means that this host knows no leader.
var errNoLeader = errors.New("no leader is known")

// notNotified counts a stored change of which the leader may not have been notified. The leader's watch
// of the store returns the change as well.
func (it *Intaker) notNotified(ch *messenger.StoredChange, leader fleet.HostName, err error) {
	it.op.Meter.Add(meter.NotificationsFailed, 1)
	if len(ch.Document) == 0 {
		logger.Log(it.op.Log, logger.LeaderNotNotified, "Job", ch.Id, "Leader", leader, "Error", err.Error())
	}
}

// Apply passes a stored change to a director, which keeps a cancellation that arrives before its
// job. It reports a change that is invalid.
func (it *Intaker) Apply(dr *director.Director, ch *messenger.StoredChange) {
	id := modeler.JobID(ch.Id)
	if err := id.Check(); err != nil {
		it.invalid.Report(logger.PeerInvalid, meter.ReportsInvalid, ch.Id, err)
		return
	}
	if len(ch.Document) == 0 {
		dr.CancelJob(id, director.FromHost)
		return
	}
	jb, err := keeper.Decode(ch.Document)
	if err == nil && jb.ID != id {
		err = fmt.Errorf("%w: change of job %q holds job %q", keeper.ErrDamaged, id, jb.ID)
	}
	if err != nil {
		it.invalid.Report(logger.JobDamaged, meter.ReportsInvalid, ch.Id, err, "Job", ch.Id)
		return
	}
	dr.AddJob(jb, false)
}

// State returns the state of a job. The request was forwarded hops times, zero if it is a caller's.
// Errors: ErrJobNotFound, ErrUnavailable.
func (it *Intaker) State(ctx context.Context, id modeler.JobID, hops int32) (modeler.State, error) {
	if st, ok := it.cachedFinalState(id); ok {
		return st, nil
	}
	st, err := it.queryState(ctx, id, hops)
	if err == nil {
		if st.Final() {
			it.cacheFinalState(id, st)
		}
		return st, nil
	}
	if errors.Is(err, ErrJobNotFound) {
		return "", err
	}
	return it.storedState(ctx, id)
}

// queryState returns the state of a job from this host's director, or else from the leader or a
// peer, which may reach the leader. The request was forwarded hops times. Errors: ErrJobNotFound,
// ErrUnavailable.
func (it *Intaker) queryState(ctx context.Context, id modeler.JobID, hops int32) (modeler.State, error) {
	if dr := it.op.Director(); dr != nil {
		if st, ok := dr.JobState(id); ok {
			return st, nil
		}
		st, err := it.storedState(ctx, id)
		if st.Final() {
			// The journal may hold an earlier end, which this host has not loaded yet. Only final states
			// that a leader knows are cached.
			return "", ErrUnavailable
		}
		return st, err
	}
	addrs := []netip.AddrPort{}
	if leader := it.op.Elector.Leader(); leader.Host != "" {
		addrs = append(addrs, leader.Address)
	}
	if hops < maxHops {
		addrs = append(addrs, it.forwardPeers()...)
	}
	for _, addr := range addrs {
		var st *messenger.JobState
		err := callWithTimeout(ctx, queryTimeout, func(ctx context.Context) (err error) {
			st, err = it.op.Dial(addr).State(ctx, &messenger.JobName{Id: string(id), Hops: hops + 1})
			return err
		})
		var te twirp.Error
		switch {
		case err == nil && modeler.State(st.State).Valid():
			return modeler.State(st.State), nil
		case errors.As(err, &te) && te.Code() == twirp.NotFound:
			return "", ErrJobNotFound
		}
	}
	return "", ErrUnavailable
}

// storedState returns modeler.Queued or modeler.Cancelled for a stored job whose state no leader
// returned, because none was reachable or the leader does not know the job yet. Errors:
// ErrJobNotFound, ErrUnavailable.
func (it *Intaker) storedState(ctx context.Context, id modeler.JobID) (modeler.State, error) {
	cancelled := false
	err := callWithTimeout(ctx, storeCallTimeout, func(ctx context.Context) (err error) {
		if _, err = it.op.JobStore.Load(ctx, id); err == nil {
			cancelled, err = it.op.JobStore.Cancelled(ctx, id)
		}
		return err
	})
	switch {
	case errors.Is(err, storer.ErrNotFound):
		return "", ErrJobNotFound
	case err != nil:
		return "", ErrUnavailable
	case cancelled:
		return modeler.Cancelled, nil
	}
	return modeler.Queued, nil
}

func (it *Intaker) cachedFinalState(id modeler.JobID) (modeler.State, bool) {
	it.mu.Lock()
	defer it.mu.Unlock()
	st, ok := it.finalStates[id]
	return st, ok
}

// cacheFinalState caches the final state of a job, and drops the oldest one if there are too many.
func (it *Intaker) cacheFinalState(id modeler.JobID, st modeler.State) {
	it.mu.Lock()
	defer it.mu.Unlock()
	if _, ok := it.finalStates[id]; ok {
		return
	}
	it.finalStates[id] = st
	it.finalOrder = append(it.finalOrder, id)
	if len(it.finalOrder) > maxFinalStates {
		delete(it.finalStates, it.finalOrder[0])
		it.finalOrder = it.finalOrder[1:]
	}
}

// Pending returns the number of jobs of a queue of which no task has started. The number may be up
// to maxStalePendingAge old. Errors: ErrUnavailable.
func (it *Intaker) Pending(ctx context.Context, queue modeler.QueueName) (int, error) {
	if dr := it.op.Director(); dr != nil {
		if jobs, ok := dr.PendingJobs(queue); ok {
			return jobs, nil
		}
	}
	it.mu.Lock()
	cached, ok := it.pending[queue]
	it.mu.Unlock()
	if ok && time.Since(cached.at) < maxPendingCacheAge {
		return cached.jobs, nil
	}
	if leader := it.op.Elector.Leader(); leader.Host != "" {
		var pc *messenger.PendingCount
		err := callWithTimeout(ctx, queryTimeout, func(ctx context.Context) (err error) {
			pc, err = it.op.Dial(leader.Address).Pending(ctx, &messenger.QueueName{Name: string(queue)})
			return err
		})
		if err == nil && pc.Jobs >= 0 && pc.Jobs <= maxPendingJobs {
			it.mu.Lock()
			defer it.mu.Unlock()
			it.pending[queue] = pendingCount{int(pc.Jobs), time.Now()}
			return int(pc.Jobs), nil
		}
	}
	if ok && time.Since(cached.at) < maxStalePendingAge {
		return cached.jobs, nil
	}
	return 0, ErrUnavailable
}
