package tracker

import (
	"context"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
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
	// Lead does the work of the leader until its context ends.
	Lead func(context.Context, Term)
	// Delay returns a random time up to its argument. Nil means math/rand.
	Delay func(time.Duration) time.Duration
}

// Candidate takes over the leadership of its data centre when there is no live leader.
type Candidate struct{ opt CandidateOptions }

// NewCandidate returns a candidate for the tracker's data centre.
func NewCandidate(opt CandidateOptions) *Candidate { return &Candidate{opt: opt} }

// Run waits for a vacancy, leads, and stops leading when deposed or when this host leaves. It
// returns when the context ends.
func (cnd *Candidate) Run(_ context.Context) {}
