package intaker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/rejecter"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
	"github.com/currantrouter/currantrouter/internal/telemetry/reporter"
)

const (
	// LoadHintHeader is the header of the leader's answers to other hosts with its load hint, and of the messages that
	// ask for it.
	LoadHintHeader = "Load-Hint"
	// LoadHintInterval is the least time between two messages that ask a host for its load hint. A hint of 8 queues, 880
	// bytes, with each heartbeat, every 0.12 s, would take 7.3 KB a second of the 4 that control may use.
	LoadHintInterval = 300 * time.Millisecond
	// knownCheckTimeout bounds the read that shows that a job is not stored.
	knownCheckTimeout = 200 * time.Millisecond
	// submissionsAge is how long a host remembers that it tried to store a job. It exceeds the time in which
	// callers repeat a request.
	submissionsAge = 30 * time.Second
	// maxSubmissions bounds the jobs that are remembered: over 130 submissions a second at one host.
	maxSubmissions = 4096
	// defaultPatience is how long a caller waits whose request has no deadline.
	defaultPatience = 3 * time.Second
	// maxDecisionLines bounds the lines a second on jobs that were refused, and on those that may be stored. Callers
	// retry refused jobs, so that there are more of them than jobs.
	maxDecisionLines = 10
)

// Refusal is the error of a job that was refused as it certainly cannot be of use any more. No call that
// could store it was made. It is an ErrNotAccepted.
type Refusal struct {
	Decision rejecter.Decision
	// RetryAfter is the time after which the caller should retry, in whole seconds.
	RetryAfter time.Duration
}

// Error implements error.
func (rf *Refusal) Error() string {
	return fmt.Sprintf("%s: it would end after %s, and is of no use after %s", ErrNotAccepted, rf.Decision.Expected.Round(time.Millisecond), rf.Decision.Limit.Round(time.Millisecond))
}

// Unwrap returns ErrNotAccepted.
func (rf *Refusal) Unwrap() error { return ErrNotAccepted }

// refuseUseless returns a refusal for a job that certainly cannot be of use any more and that is not stored.
// It returns nil for any other job, and notes that the host tries to store it.
func (it *Intaker) refuseUseless(ctx context.Context, jb *modeler.Job) error {
	if it.op.Rejecter == nil {
		return nil
	}
	dc := it.decide(jb)
	switch dc.Reason {
	case rejecter.NoHint, rejecter.OtherEpoch:
		it.op.Meter.Add(meter.LoadHintsMissing, 1)
	case rejecter.Useless:
		dc.Reason = it.checkNotStored(ctx, jb.ID)
		if dc.Reason == rejecter.Useless {
			return it.refuse(ctx, jb, dc)
		}
		it.op.Meter.Add(meter.JobsMaybeStored, 1)
		it.logDecision(&it.maybeUselessLines, logger.JobMaybeUseless, jb, &dc, "Reason", string(dc.Reason))
	}
	it.noteSubmission(jb.ID)
	return nil
}

// decide decides on a job by the load of this host's own director if it leads, or else by the last load hint.
func (it *Intaker) decide(jb *modeler.Job) rejecter.Decision {
	if dr := it.op.Director(); dr != nil {
		ht, ok := dr.LoadHint()
		if !ok {
			return rejecter.Decision{Reason: rejecter.NoHint}
		}
		return ht.Decide(jb)
	}
	return it.op.Rejecter.Decide(jb, it.op.Elector.KnownEpoch(), time.Now())
}

func (it *Intaker) refuse(ctx context.Context, jb *modeler.Job, dc rejecter.Decision) error {
	patience := defaultPatience
	if deadline, ok := ctx.Deadline(); ok {
		patience = time.Until(deadline)
	}
	rf := &Refusal{dc, dc.RetryAfter(jb.ID, patience)}
	it.op.Meter.Add(meter.JobsRefused, 1)
	it.op.Meter.Add(meter.JobsRefusedUseless, 1)
	it.logDecision(&it.uselessLines, logger.JobUseless, jb, &dc, "RetryAfter", rf.RetryAfter.String())
	return rf
}

// logDecision logs a decision with its inputs, at most maxDecisionLines times a second.
func (it *Intaker) logDecision(lines *reporter.LineBudget, ev logger.Event, jb *modeler.Job, dc *rejecter.Decision, kv ...any) {
	it.mu.Lock()
	ok, omitted := lines.Take(maxDecisionLines, time.Now())
	it.mu.Unlock()
	if !ok {
		return
	}
	ql := &dc.Load
	logger.Log(it.op.Log, ev, append([]any{
		"Job", jb.ID, "Queue", jb.Queue, "Expected", dc.Expected.String(), "Limit", dc.Limit.String(), "HintAge", dc.HintAge.String(),
		"Ended", ql.Ended, "Missed", ql.Missed, "Delay", ql.Delay.String(), "Drain", ql.Drain.String(), "Overrun", ql.Overrun, "Omitted", omitted,
	}, kv...)...)
}

// checkNotStored returns rejecter.Useless if no earlier attempt has stored the job, as far as this host, the
// leader if it is this host, and the store know, and otherwise why the job is not refused. An attempt at another host
// whose call the store carries out later has no answer yet, or one by which its result is unknown.
func (it *Intaker) checkNotStored(ctx context.Context, id modeler.JobID) rejecter.Reason {
	it.mu.Lock()
	known := it.submissions.mayContain(id, time.Now())
	it.mu.Unlock()
	if dr := it.op.Director(); dr != nil && !known {
		_, known = dr.JobState(id)
	}
	if known {
		return rejecter.MayBeStored
	}
	if it.op.StoreAge() >= maxStoreAge {
		return rejecter.StoreUnknown
	}
	err := callWithTimeout(ctx, knownCheckTimeout, func(ctx context.Context) error {
		_, err := it.op.JobStore.Load(ctx, id)
		return err
	})
	switch {
	case errors.Is(err, storer.ErrNotFound):
		return rejecter.Useless
	case err == nil:
		return rejecter.MayBeStored
	}
	return rejecter.StoreUnknown
}

// noteSubmission notes that this host tries to store a job from now on.
func (it *Intaker) noteSubmission(id modeler.JobID) {
	if it.op.Rejecter == nil {
		return
	}
	it.mu.Lock()
	defer it.mu.Unlock()
	it.submissions.add(id, time.Now())
}

// AddLoadHints returns a handler of other hosts' messages that adds the load hint to the answers of next that ask
// for it, if this host leads.
func (it *Intaker) AddLoadHints(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if it.op.Rejecter != nil && rq.Header.Get(LoadHintHeader) != "" {
			if dr := it.op.Director(); dr != nil {
				if text, ok := dr.EncodedLoadHint(); ok {
					wr.Header().Set(LoadHintHeader, text)
				}
			}
		}
		next.ServeHTTP(wr, rq)
	})
}

// ReadLoadHint reads the load hint in the answer to a message that was sent at a time. It reports an invalid
// one.
func (it *Intaker) ReadLoadHint(text string, sentAt time.Time) {
	if it.op.Rejecter == nil {
		return
	}
	ht, err := rejecter.DecodeHint(text)
	if err != nil {
		it.invalid.Report(logger.LoadHintInvalid, meter.ReportsInvalid, LoadHintHeader, err)
		return
	}
	it.op.Rejecter.Update(ht, sentAt)
}

// submissions remembers the jobs of the last submissionsAge. The zero value has none.
type submissions struct {
	at map[modeler.JobID]time.Time
	// order holds the jobs and their times, the oldest first. A job that was added again occurs again.
	order []submission
	// incompleteUntil is when all jobs that were dropped early are older than submissionsAge.
	incompleteUntil time.Time
}

// submission is an attempt to store a job.
type submission struct {
	id modeler.JobID
	at time.Time
}

func (ss *submissions) add(id modeler.JobID, now time.Time) {
	if ss.at == nil {
		ss.at = map[modeler.JobID]time.Time{}
	}
	ss.at[id] = now
	ss.order = append(ss.order, submission{id, now})
	for len(ss.order) > 0 && (len(ss.order) > maxSubmissions || now.Sub(ss.order[0].at) > submissionsAge) {
		first := ss.order[0]
		ss.order = ss.order[1:]
		if expires := first.at.Add(submissionsAge); expires.After(now) {
			ss.incompleteUntil = expires
		}
		if ss.at[first.id].Equal(first.at) {
			delete(ss.at, first.id)
		}
	}
}

// mayContain reports whether a job was added within submissionsAge, or may have been dropped early.
func (ss *submissions) mayContain(id modeler.JobID, now time.Time) bool {
	at, ok := ss.at[id]
	return ok && now.Sub(at) <= submissionsAge || now.Before(ss.incompleteUntil)
}
