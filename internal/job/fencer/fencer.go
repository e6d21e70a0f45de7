// Package fencer gives restarted workers the fencing token of the leader while that cannot. A worker that has restarted
// has seen no token, so that it carries out a late start of which the leader got no answer and whose task may have
// run elsewhere since.
//
// The leader tells two hosts of each worker that such a start may still reach. They keep a renewal open there that has
// the token and extends no lease, and repeat it at once when it ends, also under a later leader.
package fencer

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/relayer"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// planInterval is the time between two choices of the hosts that watch workers.
	planInterval = 200 * time.Millisecond
	// hostsPerWorker is the number of hosts that watch a worker, so that one of them may be lost with the leader.
	hostsPerWorker = 2
	// maxPlanned bounds the workers of one choice, which are other ones each time if there are more. A host keeps those of
	// earlier ones.
	maxPlanned = 128
	// maxTold bounds the workers in one message.
	maxTold = 16
	// maxWatched bounds the workers that a host watches.
	maxWatched = 32
	// maxWait is how long a worker may delay the answer to a renewal, and answerTimeout the time beyond it.
	maxWait       = 1500 * time.Millisecond
	answerTimeout = 200 * time.Millisecond
	// sendInterval is the time after which another renewal is sent although the last has no answer, quickInterval the same
	// for lossMemory after one was lost. maxOutstanding bounds the renewals without an answer.
	sendInterval   = 500 * time.Millisecond
	quickInterval  = 200 * time.Millisecond
	lossMemory     = 2 * time.Second
	maxOutstanding = 8
	// pause is the time from the end of a renewal to the next one.
	pause = 50 * time.Millisecond
)

// WorkerClient sends renewals to workers, see director.WorkerClient.
type WorkerClient interface {
	Renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) (modeler.Report, error)
}

// Options configure a fencer.
type Options struct {
	// Director returns the director of this host's term, nil while it does not lead.
	Director func() *director.Director
	// Hosts returns the other hosts that were in contact lately and do not drain, while this host leads.
	Hosts  func() []elector.Member
	Client WorkerClient
	Log    logr.Logger
	Meter  *meter.Registry
}

// Fencer chooses the hosts that watch workers while this host leads, and watches workers while it does not. It is safe
// for concurrent use.
type Fencer struct {
	op Options

	mu sync.Mutex
	// plan holds what each host is told, nil while this host does not lead.
	plan map[netip.AddrPort][]modeler.WorkerFence
	// watched holds the workers that this host watches, each with a goroutine.
	watched map[modeler.WorkerID]*watchedWorker
	// ctx is the context of Run, nil while that does not run.
	ctx      context.Context
	watchers sync.WaitGroup
}

// watchedWorker has the highest token that this host was told, and the latest time until which it matters.
type watchedWorker struct {
	address netip.AddrPort
	fence   modeler.Fence
	until   time.Time
}

// New returns a fencer that is not running.
func New(op Options) *Fencer {
	return &Fencer{op: op, watched: map[modeler.WorkerID]*watchedWorker{}}
}

// Run chooses the hosts for workers, and allows workers to be watched, until the context ends.
func (fc *Fencer) Run(ctx context.Context) {
	fc.mu.Lock()
	fc.ctx = ctx
	fc.mu.Unlock()
	pauser.Every(ctx, planInterval, func(context.Context) { fc.choose() })
	fc.mu.Lock()
	fc.ctx = nil
	fc.mu.Unlock()
	fc.watchers.Wait()
}

// choose chooses the hosts that watch workers.
func (fc *Fencer) choose() {
	var plan map[netip.AddrPort][]modeler.WorkerFence
	if list := fc.op.Director().WorkerFences(); len(list) > 0 {
		plan = choosePlan(list[:min(len(list), maxPlanned)], fc.op.Hosts())
	}
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.plan = plan
}

// choosePlan returns the workers that each host watches.
func choosePlan(list []modeler.WorkerFence, members []elector.Member) map[netip.AddrPort][]modeler.WorkerFence {
	hosts := make([]relayer.Host, len(members))
	for ix, mb := range members {
		hosts[ix] = relayer.Host{Name: mb.Host, DataCentre: mb.DataCentre, Address: mb.Address}
	}
	plan := map[netip.AddrPort][]modeler.WorkerFence{}
	for _, wf := range list {
		var chosen []int
		for range hostsPerWorker {
			ix := relayer.Assign(wf.ID, wf.DataCentre, hosts, func(ix int) bool { return !slices.Contains(chosen, ix) })
			if ix < 0 {
				break
			}
			chosen = append(chosen, ix)
			if addr := hosts[ix].Address; len(plan[addr]) < maxTold {
				plan[addr] = append(plan[addr], wf)
			}
		}
	}
	return plan
}

// ToWatch returns the workers that the host at the address is to watch. It is for elector.Options.WorkerFences.
func (fc *Fencer) ToWatch(host netip.AddrPort) []modeler.WorkerFence {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.plan[host]
}

// Watch watches valid workers that the leader named. It is for elector.Options.OnWorkerFences.
func (fc *Fencer) Watch(list []modeler.WorkerFence) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	if fc.ctx == nil || fc.ctx.Err() != nil {
		return
	}
	for _, wf := range list {
		until := time.Now().Add(wf.Left)
		ww := fc.watched[wf.ID]
		switch {
		case ww == nil && len(fc.watched) >= maxWatched:
			fc.op.Meter.Add(meter.WorkerFencesLeftOut, 1)
			continue
		case ww == nil:
			ww = &watchedWorker{}
			fc.watched[wf.ID] = ww
			ctx := fc.ctx
			fc.watchers.Go(func() { fc.watch(ctx, wf.ID) })
		}
		if wf.Fence >= ww.fence {
			ww.fence, ww.address = wf.Fence, wf.Address
		}
		if until.After(ww.until) {
			ww.until = until
		}
	}
}

// next returns the next renewal of a watched worker, or false once its entry has expired.
func (fc *Fencer) next(id modeler.WorkerID) (wk modeler.Worker, fence modeler.Fence, ok bool) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	ww := fc.watched[id]
	if !time.Now().Before(ww.until) {
		delete(fc.watched, id)
		return modeler.Worker{}, 0, false
	}
	return modeler.Worker{ID: id, Address: ww.address}, ww.fence, true
}

// answer is the result of a renewal that was sent with a token.
type answer struct {
	fence  modeler.Fence
	report modeler.Report
	err    error
	waited bool
}

// watch sends renewals to a worker until its entry expires. Several overlap, as one that is lost would hide a restart.
func (fc *Fencer) watch(ctx context.Context, id modeler.WorkerID) {
	st := &watchState{}
	answers := make(chan answer, maxOutstanding)
	outstanding := 0
	for due := time.Now(); ; {
		wk, fence, ok := fc.next(id)
		if !ok {
			return
		}
		if now := time.Now(); !now.Before(due) {
			if due = now.Add(sendInterval); now.Sub(st.lostAt) < lossMemory {
				due = now.Add(quickInterval)
			}
			// The director renews the lease itself.
			if outstanding < maxOutstanding && fc.op.Director() == nil {
				outstanding++
				req := &modeler.RenewRequest{Fence: fence, MaxWait: st.wait}
				fc.watchers.Go(func() { answers <- fc.renew(ctx, &wk, req) })
			}
		}
		tm := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			tm.Stop()
			return
		case <-tm.C:
		case an := <-answers:
			tm.Stop()
			outstanding--
			due = time.Now().Add(fc.noteAnswer(id, st, &an))
		}
	}
}

// renew sends a renewal that extends no lease and acknowledges no end.
func (fc *Fencer) renew(ctx context.Context, wk *modeler.Worker, req *modeler.RenewRequest) answer {
	ctx, cancel := context.WithTimeout(ctx, req.MaxWait+answerTimeout)
	defer cancel()
	rep, err := fc.op.Client.Renew(ctx, wk, req)
	return answer{req.Fence, rep, err, req.MaxWait > 0}
}

// watchState is what the goroutine of a watched worker knows of it.
type watchState struct {
	// incarnation is the one that answered last, zero before.
	incarnation int64
	// wait is how long the next renewal may wait.
	wait time.Duration
	// lostAt is when the last renewal without an answer ended.
	lostAt time.Time
}

// noteAnswer notes the result of a renewal and returns the pause before the next one. A worker that may have restarted gets
// that without a wait, so that it is repeated soon if it is lost.
func (fc *Fencer) noteAnswer(id modeler.WorkerID, st *watchState, an *answer) time.Duration {
	switch {
	case errors.Is(an.err, modeler.ErrNoAnswer), errors.Is(an.err, modeler.ErrNotSent):
		st.wait, st.lostAt = 0, time.Now()
		return pause
	case an.err != nil:
		// A worker that has seen a later token may restart all the same.
		st.wait = 0
		return pause
	}
	restarted := st.incarnation != 0 && an.report.Incarnation > st.incarnation
	st.incarnation = max(st.incarnation, an.report.Incarnation)
	switch {
	case restarted:
		fc.op.Meter.Add(meter.RestartedWorkersFenced, 1)
		logger.Log(fc.op.Log, logger.RestartedWorkerFenced, "Worker", id, "Fence", an.fence)
		st.wait = 0
		return 0
	case an.waited:
		st.wait = maxWait
		return pause
	}
	st.wait = maxWait
	return 0
}
