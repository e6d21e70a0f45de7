package leader

import (
	"context"
	"fmt"
	"time"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/evacuator"
	"github.com/currantrouter/currantrouter/internal/job/watcher"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// failedWaitPause bounds the rate of listings while calls that wait for changes fail at once.
	failedWaitPause = 250 * time.Millisecond
	// listRetryPause is the time from a failed listing to the next. Starts may stop until a listing succeeds as the store
	// returns after an outage, and it may return for 0.3 s between two outages.
	listRetryPause = 50 * time.Millisecond
	// listOverlap is the time without an answer after which the keys are listed again beside the first call: calls that
	// began in an outage may hang beyond its end.
	listOverlap = 150 * time.Millisecond
	// listTimeout bounds a call for a listing. With a later answer, the view would soon be outdated again.
	listTimeout = 2 * time.Second
)

// Evacuations describe the requests to evacuate data centres in the key-value service: while a key exists, no starts
// are sent to the workers of its data centre.
type Evacuations struct {
	// Prefix is the prefix of the keys.
	Prefix string
	// Decode returns the data centre that the key of an entry names, or an error if it names none. The value does not
	// matter, and a deleted entry has none.
	Decode func(en storer.Entry) (fleet.DataCentreName, error)
	// Encode returns the key of the request for a data centre, or an error if Decode would not accept it.
	Encode func(dc fleet.DataCentreName) (key string, err error)
}

// evacuationWatch watches the requests to evacuate data centres for a term.
type evacuationWatch struct {
	term      *term
	evacuator *evacuator.Evacuator
	// ctx lasts as long as the watch. It is set by run.
	ctx context.Context
	// read is when the read began whose result the sink gets. Only the watch's goroutine uses it.
	read evacuator.Reading
}

// newEvacuationWatch returns the watch of a term, or nil if evacuations are not read.
func (ld *Leader) newEvacuationWatch(tm *term) *evacuationWatch {
	limit := ld.op.EvacuationLimit
	if limit <= 0 {
		return nil
	}
	ew := &evacuationWatch{term: tm}
	ew.evacuator = evacuator.New(evacuator.Options{Limit: limit, Suspended: ld.op.SuspendedTime, MayRely: ew.mayRely})
	return ew
}

// evacuatorOrNil returns the evacuator, or nil if evacuations are not read.
func (ew *evacuationWatch) evacuatorOrNil() *evacuator.Evacuator {
	if ew == nil {
		return nil
	}
	return ew.evacuator
}

// run watches the requests until the context ends. It reads changes without a pause between two calls, as the bound
// counts from when a request was stored.
func (ew *evacuationWatch) run(ctx context.Context) {
	op := &ew.term.leader.op
	ew.ctx = ctx
	watcher.New(ew, op.Evacuations.Prefix, watcher.Sink{Reset: ew.reset, Apply: ew.apply}, "evacuations", 0, op.Log).Run(ctx)
}

// mayRely reports whether the view that was read at a time may be relied on although it is outdated: this host is not
// cut off from the others, and the store has answered neither this host nor others that it hears of since.
// Nobody can have stored a request then.
func (ew *evacuationWatch) mayRely(readAt time.Time) bool {
	since := readAt.Add(evacuator.AnswerGrace)
	tm := ew.term
	return !tm.journal.LastConfirmed().After(since) && !tm.leader.elector.PeersReachedStore(since) && tm.authority.confirmedWithin(ew.evacuator.MaxAge())
}

// Page implements watcher.Source. It tries until a call succeeds or the watch ends, also beyond the deadline of the
// context: the watcher would pause after it for up to 0.6 s, in which the store may be back between two outages.
func (ew *evacuationWatch) Page(_ context.Context, prefix, after string) (storer.Page, error) {
	ctx, cancel := context.WithCancel(ew.ctx)
	defer cancel()
	answers := make(chan pageAnswer)
	err := storer.ErrUnavailable
	// late is the newest answer of a call that took long. A call that begins now shows a newer state, as one that
	// began in an outage may have waited for its end.
	var late *pageAnswer
	var lateOver, pauseOver <-chan time.Time
	call := func() {
		go func() {
			select {
			case answers <- ew.readPage(ctx, prefix, after):
			case <-ctx.Done():
			}
		}()
		pauseOver = time.After(listOverlap)
	}
	for call(); ; {
		select {
		case <-ctx.Done():
			return storer.Page{}, fmt.Errorf("%w: %w", err, ctx.Err())
		case <-pauseOver:
			call()
		case <-lateOver:
			return ew.accept(late, after), nil
		case an := <-answers:
			switch {
			case an.err != nil:
				err = an.err
				pauseOver = time.After(listRetryPause)
			case time.Since(an.began.At) < listOverlap:
				return ew.accept(&an, after), nil
			case late == nil:
				late, lateOver = &an, time.After(listOverlap)
				call()
			case an.began.At.After(late.began.At):
				late = &an
			}
		}
	}
}

// accept returns the page of an answer. The listing shows the state of the time at which its first page was read.
func (ew *evacuationWatch) accept(an *pageAnswer, after string) storer.Page {
	if after == "" {
		ew.read = an.began
	}
	return an.page
}

// pageAnswer is the result of a call for a page.
type pageAnswer struct {
	began evacuator.Reading
	page  storer.Page
	err   error
}

func (ew *evacuationWatch) readPage(ctx context.Context, prefix, after string) pageAnswer {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := ew.now()
	page, err := ew.term.leader.op.Store.Page(ctx, prefix, after)
	return pageAnswer{began, page, err}
}

// Wait implements watcher.Source. A failed call counts as a gap, so that the keys are listed next: a listing
// also succeeds where a slow answer comes too late for a call that waits for changes.
func (ew *evacuationWatch) Wait(ctx context.Context, prefix string, after int64) ([]storer.Entry, int64, error) {
	began := ew.now()
	ens, revision, err := ew.term.leader.op.Store.Wait(ctx, prefix, after)
	if err != nil {
		pauser.Sleep(ctx, failedWaitPause)
		return nil, after, fmt.Errorf("%w: %w", storer.ErrGap, err)
	}
	if ew.read = began; len(ens) == 0 {
		ew.evacuator.Confirm(began)
	}
	return ens, revision, nil
}

func (ew *evacuationWatch) now() evacuator.Reading {
	return evacuator.Reading{At: time.Now(), Suspended: ew.term.leader.op.SuspendedTime()}
}

func (ew *evacuationWatch) reset(ens []storer.Entry) {
	ew.term.director.EvacuationsChanged(ew.evacuator.Reset(ew.decode(ens), ew.read))
}

func (ew *evacuationWatch) apply(ens []storer.Entry) {
	ew.term.director.EvacuationsChanged(ew.evacuator.Apply(ew.decode(ens), ew.read))
}

// decode returns the entries whose keys name a data centre, and reports the others.
func (ew *evacuationWatch) decode(ens []storer.Entry) []evacuator.Entry {
	ld := ew.term.leader
	var list []evacuator.Entry
	for _, en := range ens {
		dc, err := ld.op.Evacuations.Decode(en)
		if err != nil {
			ld.invalidEntries.Report(logger.EvacuationEntryInvalid, meter.EntriesInvalid, en.Key, err, "Key", en.Key)
			continue
		}
		list = append(list, evacuator.Entry{DataCentre: dc, Revision: en.Revision, Withdrawn: en.Deleted})
	}
	return list
}
