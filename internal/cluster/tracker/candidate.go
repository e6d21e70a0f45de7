package tracker

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

const (
	// leaderTimeout is the time without heartbeats of the leader after which another host takes
	// over.
	leaderTimeout = localDeadTimeout
	// maxTakeoverJitter bounds the random delay before a takeover. The jitter makes it unlikely
	// that hosts with different views of which hosts are alive open the journal at the same time.
	maxTakeoverJitter = time.Second
	// takeoverDelayPerRank is the additional delay per takeover rank. The next host takes over when
	// the first is alive but can't reach the store.
	takeoverDelayPerRank = 4 * time.Second
	// leaderCheckInterval is the interval at which candidates and leaders check the leadership.
	leaderCheckInterval = 250 * time.Millisecond
)

// Term is one host's leadership of its data centre.
type Term interface {
	// Epoch is the epoch that Open appended to the journal.
	Epoch() modeler.Epoch
	// Deposed returns a channel that is closed once another leader has appended to the journal.
	Deposed() <-chan struct{}
}

// CandidateOptions configure a Candidate.
type CandidateOptions struct {
	Tracker *Tracker
	// Open appends the next epoch to the journal and replays it.
	Open func(context.Context) (Term, error)
	// Lead runs the leader's duties and returns soon after its context ends.
	Lead func(context.Context, Term)
	// Jitter returns a random duration below its argument. Nil means a uniform one.
	Jitter func(time.Duration) time.Duration
}

// Candidate takes over the leadership of its data centre when no live host leads.
type Candidate struct {
	opt CandidateOptions
	// leaderlessSince is the time at which this host first saw no leader. It is zero while there is
	// one.
	leaderlessSince time.Time
}

// NewCandidate returns a candidate for the tracker's data centre.
func NewCandidate(opt CandidateOptions) *Candidate {
	if opt.Jitter == nil {
		opt.Jitter = func(bound time.Duration) time.Duration { return rand.N(bound) }
	}
	return &Candidate{opt: opt}
}

// Run takes over whenever the data centre has no leader, and steps down when deposed or when this
// host is leaving. It returns when the context ends.
func (cnd *Candidate) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !cnd.shouldTakeOver() {
			pauser.Sleep(ctx, leaderCheckInterval)
			continue
		}
		pauser.Sleep(ctx, cnd.opt.Jitter(maxTakeoverJitter))
		// Another host may have taken over during the delay.
		if ctx.Err() == nil && cnd.shouldTakeOver() {
			cnd.takeOver(ctx)
		}
	}
}

// shouldTakeOver reports whether there is no leader and this host's delay by rank has passed.
func (cnd *Candidate) shouldTakeOver() bool {
	trk := cnd.opt.Tracker
	if !trk.leaderless() {
		cnd.leaderlessSince = time.Time{}
		return false
	}
	if cnd.leaderlessSince.IsZero() {
		cnd.leaderlessSince = time.Now()
	}
	if trk.Self().Leaving || trk.wasReplaced() {
		return false
	}
	return time.Since(cnd.leaderlessSince) >= time.Duration(trk.takeoverRank())*takeoverDelayPerRank
}

// leaderless reports whether no live host leads the data centre. A host that has just started waits
// for leaderTimeout, so that it first learns of an existing leader.
func (trk *Tracker) leaderless() bool {
	ldr, ok := trk.Leader(trk.opt.Self.DataCentre)
	if ok {
		return ldr.Leaving || time.Since(ldr.LastHeartbeat) >= leaderTimeout
	}
	if ldr.LeaderEpoch > 0 && ldr.Health != Dead {
		// The last leader has reported that it stepped down.
		return true
	}
	return time.Since(trk.started) >= leaderTimeout
}

// takeoverRank returns the number of live hosts of the data centre that are to take over before
// this one.
func (trk *Tracker) takeoverRank() int {
	self := trk.Self()
	hosts := []modeler.Host{{Name: self.Host}}
	for _, pr := range trk.Peers() {
		if pr.DataCentre == self.DataCentre && pr.Health == Alive && !pr.Leaving {
			hosts = append(hosts, modeler.Host{Name: pr.Host})
		}
	}
	ranked := modeler.Rank("leader/"+string(self.DataCentre), hosts)
	return slices.IndexFunc(ranked, func(hst modeler.Host) bool { return hst.Name == self.Host })
}

// ShouldWatchStore reports whether this host watches the store for its data centre: it leads, or
// there is no leader and it is first in takeover rank.
func (trk *Tracker) ShouldWatchStore() bool {
	if trk.leaderless() {
		return trk.takeoverRank() == 0
	}
	return trk.Self().Leading
}

// takeOver opens the journal and leads until the term ends.
func (cnd *Candidate) takeOver(ctx context.Context) {
	trk := cnd.opt.Tracker
	trm, err := cnd.opt.Open(ctx)
	if err != nil {
		logger.Log(trk.opt.Log, logger.TakeoverFailed, "Error", err.Error())
		pauser.Sleep(ctx, cnd.opt.Jitter(maxTakeoverJitter))
		return
	}
	trk.SetLeading(trm.Epoch(), true)
	logger.Log(trk.opt.Log, logger.LeadershipTaken, "Epoch", trm.Epoch())
	leadCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		cnd.opt.Lead(leadCtx, trm)
	}()
	cnd.awaitTermEnd(leadCtx, trm, done)
	cancel()
	<-done
	trk.SetLeading(trm.Epoch(), false)
	cnd.leaderlessSince = time.Time{}
	logger.Log(trk.opt.Log, logger.LeadershipEnded, "Epoch", trm.Epoch())
}

// awaitTermEnd returns when the context, the term or the leader's duties have ended, or when this
// host must step down.
func (cnd *Candidate) awaitTermEnd(ctx context.Context, trm Term, done <-chan struct{}) {
	tk := time.NewTicker(leaderCheckInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-trm.Deposed():
			return
		case <-done:
			return
		case <-tk.C:
			if cnd.mustStepDown(trm) {
				return
			}
		}
	}
}

// mustStepDown reports whether this host is leaving, has been replaced, or has seen a higher epoch.
// A host reports an epoch only after appending it to the journal, so a higher one proves that this
// term has ended.
func (cnd *Candidate) mustStepDown(trm Term) bool {
	trk := cnd.opt.Tracker
	if trk.Self().Leaving || trk.wasReplaced() {
		return true
	}
	ldr, _ := trk.Leader(trk.opt.Self.DataCentre)
	return ldr.LeaderEpoch > trm.Epoch()
}

func (trk *Tracker) wasReplaced() bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	return trk.replaced
}
