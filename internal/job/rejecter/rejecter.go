// Package rejecter decides which new jobs an entry host refuses before it stores them, because they
// certainly cannot be of use any more. It handles a queue that is behind by more than three objectives
// of its jobs: whatever is accepted then ends too late for its caller, and lengthens the queue for the
// jobs that come after it. A job is refused only on observations of the leader that are recent, many and
// agree, so that a doubt leads to acceptance. The package has no network: hosts pass it what the leader
// reports.
package rejecter

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/ranker"
)

const (
	// Window is the time before a load hint from which its observations are.
	Window = 2 * time.Second
	// MinObservations is the number of jobs that must have ended, and of jobs that must have missed their
	// objective while they waited, within Window.
	MinObservations = 8
	// maxHintAge is the age from which a load hint is not used. Hosts hear from the leader every 0.72 s.
	maxHintAge = time.Second
	// margin is the ratio of the expected end to the latest useful one from which a job is refused. Estimates
	// of run times are off, beyond what QueueLoad.Overrun accounts for.
	margin = 1.25
	// MaxQueues bounds the queues of a load hint. Each takes about 80 bytes of an answer of the leader.
	MaxQueues = 8
	// maxHintBytes bounds an encoded load hint. Names may have characters that the encoding escapes.
	maxHintBytes = 8 << 10
	// maxOverrun bounds QueueLoad.Overrun.
	maxOverrun = 4
	// minSpread and maxSpread bound the time over which callers are told to come back.
	minSpread, maxSpread = 2 * time.Second, 8 * time.Second
)

// ErrInvalidHint means that a load hint has values out of bounds.
var ErrInvalidHint = errors.New("invalid load hint")

// QueueLoad is what the leader observed of the jobs of one queue within Window. Only jobs of which Observed is
// true count.
type QueueLoad struct {
	Queue modeler.QueueName
	// Ended is the number of jobs that have completed, and Delay the least time that one of them took beyond
	// its critical path by its estimates.
	Ended int
	Delay time.Duration
	// Missed is the number of jobs that became late while they had tasks without capacity.
	Missed int
	// Drain is the time in which the unfinished jobs of the queue end if they go on ending at the present rate.
	Drain time.Duration
	// Overrun is the highest ratio of a task's run time to its estimate, 1 to maxOverrun.
	Overrun float64
}

// Hint is the load of those queues of which new jobs may be useless, as the leader of an epoch reports it.
type Hint struct {
	Epoch modeler.Epoch
	// Age is the time since the leader computed the hint.
	Age    time.Duration `json:"-"`
	Queues []QueueLoad   `json:",omitempty"`
}

// Encode returns the hint without its age as a text without line breaks.
func (ht *Hint) Encode() string {
	// A hint has no values that cannot be encoded.
	text, _ := json.Marshal(ht)
	return string(text)
}

// WithAge returns the text that DecodeHint reads for an encoded hint and its age, so that a hint is encoded once.
func WithAge(encoded string, age time.Duration) string { return age.String() + " " + encoded }

// DecodeHint decodes a load hint and its age. Errors: ErrInvalidHint.
func DecodeHint(text string) (Hint, error) {
	var ht Hint
	if len(text) > maxHintBytes {
		return Hint{}, fmt.Errorf("%w: %d bytes", ErrInvalidHint, len(text))
	}
	age, encoded, _ := strings.Cut(text, " ")
	if err := json.Unmarshal([]byte(encoded), &ht); err != nil {
		return Hint{}, fmt.Errorf("%w: %w", ErrInvalidHint, err)
	}
	var err error
	if ht.Age, err = time.ParseDuration(age); err != nil {
		return Hint{}, fmt.Errorf("%w: %w", ErrInvalidHint, err)
	}
	if ht.Epoch <= 0 || ht.Age < 0 || len(ht.Queues) > MaxQueues {
		return Hint{}, fmt.Errorf("%w: epoch %d, age %s, %d queues", ErrInvalidHint, ht.Epoch, ht.Age, len(ht.Queues))
	}
	for ix := range ht.Queues {
		ql := &ht.Queues[ix]
		// The comparison of Overrun is false for a value that is no number.
		if ql.Ended < 0 || ql.Missed < 0 || ql.Delay < 0 || ql.Drain < 0 || !(ql.Overrun >= 1 && ql.Overrun <= maxOverrun) {
			return Hint{}, fmt.Errorf("%w: load of queue %d out of bounds", ErrInvalidHint, ix)
		}
		if err := modeler.CheckName("queue", string(ql.Queue)); err != nil {
			return Hint{}, fmt.Errorf("%w: %w", ErrInvalidHint, err)
		}
	}
	return ht, nil
}

// Reason is why a job is refused or not. Its text is a value of the log.
type Reason string

// The reasons. A job is refused only for Useless.
const (
	Useless      Reason = "Useless"
	NoHint       Reason = "NoRecentLoadHint"
	OtherEpoch   Reason = "LoadHintOfOtherEpoch"
	NotBehind    Reason = "QueueNotBehind"
	FewObserved  Reason = "FewObservations"
	NotBounded   Reason = "JobWithoutExpectedEnd"
	StillUseful  Reason = "MayBeUseful"
	MayBeStored  Reason = "JobMayBeStored"
	StoreUnknown Reason = "StoreNotAnswering"
)

// Decision is the decision on a job with its inputs.
type Decision struct {
	Reason Reason
	Load   QueueLoad
	// HintAge is the age of the load hint.
	HintAge time.Duration
	// Expected is the time from submission to the expected end of the job if it is accepted now, and Limit the
	// longest one with which it would be of use.
	Expected, Limit time.Duration
}

// RetryAfter returns the time after which the caller of a refused job should retry, in whole seconds. Jobs
// that are refused together are spread over the time in which the queue is expected to drain so far that
// a new job may be useful, but not beyond what the caller waits for an answer.
func (dc *Decision) RetryAfter(id modeler.JobID, patience time.Duration) time.Duration {
	latest := min(max(patience-time.Second, minSpread), maxSpread)
	spread := min(max(dc.Load.Drain-dc.Limit, minSpread), latest)
	slots := uint64(spread / time.Second)
	return time.Duration(1+xxhash.Sum64String(string(id))%slots) * time.Second
}

// Decide decides on a job that is submitted now. It uses no hint that is older than maxHintAge.
func (ht *Hint) Decide(jb *modeler.Job) Decision {
	dc := Decision{Reason: NotBehind, HintAge: ht.Age}
	if ht.Age >= maxHintAge {
		dc.Reason = NoHint
		return dc
	}
	for ix := range ht.Queues {
		if ht.Queues[ix].Queue == jb.Queue {
			dc.Load = ht.Queues[ix]
			dc.Reason = dc.decide(jb)
			break
		}
	}
	return dc
}

func (dc *Decision) decide(jb *modeler.Job) Reason {
	if !Observed(jb) {
		return NotBounded
	}
	criticalPath := CriticalPath(jb.Steps)
	if criticalPath == 0 || jb.MaxSlowdown == 0 && jb.Slack == 0 {
		return NotBounded
	}
	ql := &dc.Load
	dc.Expected = min(ql.Delay+criticalPath, ql.Drain)
	dc.Limit = ranker.MaxLateFactor * ranker.Objective(time.Duration(float64(criticalPath)*ql.Overrun), jb.MaxSlowdown, jb.Slack)
	switch {
	case ql.Ended < MinObservations || ql.Missed < MinObservations:
		return FewObserved
	case float64(dc.Expected) <= margin*float64(dc.Limit):
		return StillUseful
	}
	return Useless
}

// Observed reports whether a job counts for the load of its queue and may be refused: it starts at once, ends by
// itself, and has an estimate for each step, as its critical path would seem shorter without one. It names neither labels nor
// racks, as workers with one label may be idle while jobs of the queue wait for those with another.
func Observed(jb *modeler.Job) bool {
	for ix := range jb.Steps {
		sp := &jb.Steps[ix]
		if sp.LongRunning || sp.Estimate <= 0 || sp.Label != "" || sp.DataRack != "" {
			return false
		}
	}
	return jb.Repeats == 0
}

// CriticalPath returns the estimated run time of the longest chain of dependent steps.
func CriticalPath(steps []modeler.Step) time.Duration {
	ends, longest := make([]time.Duration, len(steps)), time.Duration(0)
	for ix := range steps {
		for _, pred := range steps[ix].After {
			ends[ix] = max(ends[ix], ends[pred])
		}
		ends[ix] += steps[ix].Estimate
		longest = max(longest, ends[ix])
	}
	return longest
}

// Rejecter decides with the last load hint that a host has received. It is safe for concurrent use.
type Rejecter struct {
	mu   sync.Mutex
	hint Hint
	// computedAt is when the leader computed the hint, at the earliest. It is zero before the first one.
	computedAt time.Time
}

// Update passes a load hint that answers a message sent at a time. An older hint than the last one is
// dropped.
func (rj *Rejecter) Update(ht Hint, sentAt time.Time) {
	computedAt := sentAt.Add(-ht.Age)
	rj.mu.Lock()
	defer rj.mu.Unlock()
	if ht.Epoch > rj.hint.Epoch || ht.Epoch == rj.hint.Epoch && computedAt.After(rj.computedAt) {
		rj.hint, rj.computedAt = ht, computedAt
	}
}

// Decide decides on a job that is submitted now to a host that knows the leader of an epoch.
func (rj *Rejecter) Decide(jb *modeler.Job, epoch modeler.Epoch, now time.Time) Decision {
	rj.mu.Lock()
	ht, computedAt := rj.hint, rj.computedAt
	rj.mu.Unlock()
	ht.Age = now.Sub(computedAt)
	switch {
	case computedAt.IsZero():
		return Decision{Reason: NoHint}
	case ht.Epoch != epoch:
		return Decision{Reason: OtherEpoch, HintAge: ht.Age}
	}
	return ht.Decide(jb)
}
