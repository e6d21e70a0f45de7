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
	// vacancyAfter is the silence of a leader after which another host takes over.
	vacancyAfter = deadAfter
	// takeoverDelay bounds the random delay before a takeover, so that hosts that disagree on who
	// is alive seldom open the journal at the same time.
	takeoverDelay = time.Second
	// rankDelay is the time by which each following host by rank waits longer. It lets the next
	// one take over when the first lives but can't reach the store.
	rankDelay = 4 * time.Second
	// vacancyCheck is the interval at which a host looks for a vacancy.
	vacancyCheck = 250 * time.Millisecond
)

// Term is one term of leadership.
type Term interface {
	// Epoch is the epoch that Open appended to the journal.
	Epoch() modeler.Epoch
	// Deposed is closed once another leader has appended to the journal.
	Deposed() <-chan struct{}
}

// CandidateOptions configure a Candidate.
type CandidateOptions struct {
	Tracker *Tracker
	// Open appends the next epoch to the journal and replays it.
	Open func(context.Context) (Term, error)
	// Lead does the work of the leader and returns soon after its context ends.
	Lead func(context.Context, Term)
	// Delay returns a random time up to its argument. Nil means math/rand.
	Delay func(time.Duration) time.Duration
}

// Candidate takes over the leadership of its data centre when there is no live leader.
type Candidate struct {
	opt CandidateOptions
	// vacant is the time at which the present vacancy began. It is zero while there is a leader.
	vacant time.Time
}

// NewCandidate returns a candidate for the tracker's data centre.
func NewCandidate(opt CandidateOptions) *Candidate {
	if opt.Delay == nil {
		opt.Delay = func(limit time.Duration) time.Duration { return rand.N(limit) }
	}
	return &Candidate{opt: opt}
}

// Run waits for a vacancy, leads, and stops leading when deposed or when this host leaves. It
// returns when the context ends.
func (cnd *Candidate) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !cnd.due() {
			pauser.Pause(ctx, vacancyCheck)
			continue
		}
		pauser.Pause(ctx, cnd.opt.Delay(takeoverDelay))
		// Another host may have taken over during the delay.
		if ctx.Err() == nil && cnd.due() {
			cnd.takeOver(ctx)
		}
	}
}

// due reports that there is a vacancy and that it is this host's turn.
func (cnd *Candidate) due() bool {
	trk := cnd.opt.Tracker
	if !trk.vacant() {
		cnd.vacant = time.Time{}
		return false
	}
	if cnd.vacant.IsZero() {
		cnd.vacant = time.Now()
	}
	if trk.Self().Leaving || trk.wasReplaced() {
		return false
	}
	return time.Since(cnd.vacant) >= time.Duration(trk.rank())*rankDelay
}

// vacant reports that no live host leads. A host that has just started waits as long as it takes
// to hear of a leader.
func (trk *Tracker) vacant() bool {
	ldr, ok := trk.Leader(trk.opt.Self.DataCentre)
	if ok {
		return ldr.Leaving || time.Since(ldr.Heard) >= vacancyAfter
	}
	if ldr.LeaderEpoch > 0 && ldr.Health != Dead {
		// The last leader has said that it leads no more.
		return true
	}
	return time.Since(trk.started) >= vacancyAfter
}

// rank returns the number of live hosts of the data centre that come before this one.
func (trk *Tracker) rank() int {
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

// Watches reports that this host watches the store for its data centre: it leads, or there is no
// leader and it comes first by rank.
func (trk *Tracker) Watches() bool {
	if trk.vacant() {
		return trk.rank() == 0
	}
	return trk.Self().Leading
}

// takeOver opens the journal and leads until deposed.
func (cnd *Candidate) takeOver(ctx context.Context) {
	trk := cnd.opt.Tracker
	trm, err := cnd.opt.Open(ctx)
	if err != nil {
		logger.Log(trk.opt.Log, logger.TakeoverFailed, "Error", err.Error())
		pauser.Pause(ctx, cnd.opt.Delay(takeoverDelay))
		return
	}
	trk.SetLeading(trm.Epoch(), true)
	logger.Log(trk.opt.Log, logger.LeadershipTaken, "Epoch", trm.Epoch())
	lead, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		cnd.opt.Lead(lead, trm)
	}()
	cnd.watch(lead, trm, done)
	cancel()
	<-done
	trk.SetLeading(trm.Epoch(), false)
	cnd.vacant = time.Time{}
	logger.Log(trk.opt.Log, logger.LeadershipEnded, "Epoch", trm.Epoch())
}

// watch returns when the term has ended.
func (cnd *Candidate) watch(ctx context.Context, trm Term, done <-chan struct{}) {
	tk := time.NewTicker(vacancyCheck)
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
			if cnd.mustStop(trm) {
				return
			}
		}
	}
}

// mustStop reports that this host leaves or that another host has a higher epoch. A host reports
// an epoch only after it has appended it, so that the report proves the end of this term.
func (cnd *Candidate) mustStop(trm Term) bool {
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
