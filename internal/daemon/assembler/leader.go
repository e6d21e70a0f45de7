package assembler

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/currantrouter/currantrouter/internal/batch/scheduler"
	"github.com/currantrouter/currantrouter/internal/cluster/tracker"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
	"github.com/currantrouter/currantrouter/internal/request/claimer"
	"github.com/currantrouter/currantrouter/internal/request/forwarder"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

const (
	// maxSnapshotInterval is the time after which a snapshot is written, to limit what a new leader
	// has to replay.
	maxSnapshotInterval = 5 * time.Minute
	// maxSnapshotLag is the number of records after which a snapshot is written.
	maxSnapshotLag = 4096
	// snapshotCheckInterval is the time between two checks whether a snapshot is due.
	snapshotCheckInterval = 5 * time.Second
	// workersInterval is the time between two reads of the list of workers.
	workersInterval = 2 * time.Second
	// maxSnapshotPartBytes is the maximum size of a part of a snapshot. With its framing, a part
	// must fit into a value of the store.
	maxSnapshotPartBytes = 512 << 10
)

// leader runs the scheduler of batch work and the claims of request keys of the data centre while
// this host leads it.
type leader struct {
	dm *Daemon
	// term is the current term, nil while this host does not lead.
	term atomic.Pointer[term]
}

// term is one term of leadership. It is immutable.
type term struct {
	journal   *journaler.Journal
	recovery  journaler.Recovery
	scheduler *scheduler.Scheduler
	claimer   *claimer.Claimer
}

// Epoch returns the epoch of the term.
func (tm *term) Epoch() modeler.Epoch { return tm.recovery.Epoch }

// Deposed returns a channel that is closed once another leader has appended to the journal.
func (tm *term) Deposed() <-chan struct{} { return tm.journal.Deposed() }

func newLeader(dm *Daemon) *leader { return &leader{dm: dm} }

// run takes over the leadership whenever it is vacant and this host ranks first.
func (ld *leader) run(ctx context.Context) {
	tracker.NewCandidate(tracker.CandidateOptions{
		Tracker: ld.dm.tracker,
		Open:    ld.openTerm,
		Lead:    ld.lead,
	}).Run(ctx)
}

func (ld *leader) openTerm(ctx context.Context) (tracker.Term, error) {
	dm := ld.dm
	cfg := dm.configs.Current()
	if cfg == nil {
		return nil, errNoConfiguration
	}
	jn, rec, err := journaler.Open(ctx, dm.platform.Store, dm.settings.Host.DataCentre, dm.settings.Host.Name, dm.boot,
		journaler.Options{
			DataCentres:     len(cfg.DataCentres),
			WritesPerSecond: cfg.Limits.WritesPerSecond,
			Logger:          dm.log,
			Meter:           dm.meter,
		})
	if err != nil {
		return nil, err
	}
	tm, err := ld.recover(cfg, jn, rec)
	if err != nil {
		jn.Close()
		return nil, err
	}
	return tm, nil
}

func (ld *leader) recover(cfg *modeler.Configuration, jn *journaler.Journal, rec journaler.Recovery) (*term, error) {
	dm := ld.dm
	sc, err := scheduler.New(scheduler.Options{
		DataCentre:         dm.settings.Host.DataCentre,
		Epoch:              rec.Epoch,
		Journal:            taskJournal{jn},
		Workers:            dm.platform.Workers,
		Logger:             dm.log,
		Meter:              dm.meter,
		Teams:              cfg.Teams,
		ShortReserve:       cfg.Limits.ShortReserve,
		LeaseTerm:          cfg.Limits.LeaseTerm,
		PredecessorStopped: ld.predecessorStopped(rec),
		Seed:               uint64(rec.Epoch),
	}, scheduler.Recovery{
		Parts:      recordData(rec.SnapshotRecords, journaler.KindTask),
		Records:    recordData(rec.Records, journaler.KindTask),
		EpochBegan: rec.Appended,
	})
	if err != nil {
		return nil, fmt.Errorf("recover batch work: %w", err)
	}
	cl, err := claimer.Open(claimer.Options{
		Journal:        keyJournal{jn},
		Epoch:          rec.Epoch,
		MaxKeys:        int(dm.settings.Limits.KeptKeys),
		MaxAnswerBytes: dm.settings.Limits.KeptAnswerBytes,
		Log:            dm.log,
		Meter:          dm.meter,
	}, recordData(rec.SnapshotRecords, journaler.KindKey), recordData(rec.Records, journaler.KindKey))
	if err != nil {
		return nil, fmt.Errorf("recover request keys: %w", err)
	}
	return &term{journal: jn, recovery: rec, scheduler: sc, claimer: cl}, nil
}

func recordData(recs []journaler.Record, kind journaler.Kind) [][]byte {
	var data [][]byte
	for _, rec := range recs {
		if rec.Kind == kind {
			data = append(data, rec.Data)
		}
	}
	return data
}

// predecessorStopped returns a function that reports whether the previous leader no longer renews
// leases. That is known if its heartbeats say that its term has ended, if its host has restarted,
// or if it was this host, of which only one process runs at a time.
func (ld *leader) predecessorStopped(rec journaler.Recovery) func() bool {
	dm := ld.dm
	return func() bool {
		if rec.PreviousEpoch == 0 || rec.PreviousHost == dm.settings.Host.Name {
			return true
		}
		for _, pr := range dm.tracker.Peers() {
			if pr.Host != rec.PreviousHost {
				continue
			}
			newBoot := pr.Boot != "" && pr.Boot != rec.PreviousBoot && pr.Health == tracker.Alive
			return newBoot || pr.LeaderEpoch == rec.PreviousEpoch && !pr.Leading
		}
		return false
	}
}

// lead runs one term until the context ends.
func (ld *leader) lead(ctx context.Context, tt tracker.Term) {
	tm := tt.(*term)
	defer tm.journal.Close()
	ld.term.Store(tm)
	defer ld.term.Store(nil)
	eg, ctx := errgroup.WithContext(ctx)
	eg.Go(func() error { return tm.scheduler.Run(ctx) })
	eg.Go(func() error { ld.followWorkers(ctx, tm); return nil })
	eg.Go(func() error { ld.followPlans(ctx, tm); return nil })
	eg.Go(func() error { ld.followLimits(ctx, tm); return nil })
	eg.Go(func() error { ld.writeSnapshots(ctx, tm); return nil })
	err := eg.Wait()
	logger.Log(ld.dm.log, logger.LeaderStopped, "Epoch", tm.Epoch(), "Cause", fmt.Sprint(err))
}

// followWorkers passes the list of workers to the scheduler periodically, and immediately when the
// configuration changes, since it may drain workers.
func (ld *leader) followWorkers(ctx context.Context, tm *term) {
	tk := pauser.NewTicker(workersInterval)
	defer tk.Stop()
	var known []supervisor.Worker
	read := true
	for {
		changed := ld.dm.configs.Changed()
		if read {
			known = ld.readWorkers(ctx, known)
		}
		if known != nil {
			// The error means that the term has ended.
			_ = tm.scheduler.SetWorkers(ctx, markLeavingWorkers(known, ld.dm.configs.Current()))
		}
		select {
		case <-ctx.Done():
			return
		case <-tk.Next():
			tk.Advance()
			read = true
		case <-changed:
			read = false
		}
	}
}

// readWorkers returns the workers of the data centre, or the last known ones if the platform's list
// cannot be read.
func (ld *leader) readWorkers(ctx context.Context, known []supervisor.Worker) []supervisor.Worker {
	ctx, cancel := context.WithTimeout(ctx, ld.dm.settings.Limits.StoreTimeout)
	defer cancel()
	all, err := ld.dm.platform.Hosts.Workers(ctx)
	if err != nil {
		return known
	}
	wks := workersIn(ld.dm.settings.Host.DataCentre, all)
	if wks == nil {
		// Nil means that the list was never read.
		wks = []supervisor.Worker{}
	}
	return wks
}

func (ld *leader) followLimits(ctx context.Context, tm *term) {
	for {
		changed := ld.dm.configs.Changed()
		cfg := ld.dm.configs.Current()
		tm.journal.SetWriteRate(len(cfg.DataCentres), cfg.Limits.WritesPerSecond)
		// The error means that the term has ended.
		_ = tm.scheduler.Configure(ctx, cfg.Teams, cfg.Limits.ShortReserve)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// writeSnapshots writes a snapshot once the last one is maxSnapshotInterval old or maxSnapshotLag
// records behind.
func (ld *leader) writeSnapshots(ctx context.Context, tm *term) {
	lastPos, lastTime := tm.recovery.SnapshotPosition, time.Now()
	pauser.Every(ctx, snapshotCheckInterval, func(ctx context.Context) {
		tm.claimer.DropExpired()
		pos := tm.journal.Position()
		due := pos-lastPos >= maxSnapshotLag || time.Since(lastTime) >= maxSnapshotInterval
		if !due || pos == lastPos {
			return
		}
		if err := tm.snapshot(ctx); err != nil {
			logger.Log(ld.dm.log, logger.SnapshotFailed, "Epoch", tm.Epoch(), "Cause", err.Error())
			return
		}
		lastPos, lastTime = pos, time.Now()
	})
}

// snapshot writes the states of the scheduler and the claimer. Either may be newer than the lower
// of their two positions, since replaying a record that the state already has is harmless.
func (tm *term) snapshot(ctx context.Context) error {
	keyPos := tm.journal.Position()
	keys := tm.claimer.Snapshot(maxSnapshotPartBytes)
	tasks, taskPos, err := tm.scheduler.ExportState(ctx)
	if err != nil {
		return err
	}
	var recs []journaler.Record
	for _, part := range tasks {
		recs = append(recs, journaler.Record{Kind: journaler.KindTask, Data: part})
	}
	for _, part := range keys {
		recs = append(recs, journaler.Record{Kind: journaler.KindKey, Data: part})
	}
	return tm.journal.Snapshot(ctx, recs, min(keyPos, taskPos))
}

// Claim claims a key while this host leads.
func (ld *leader) Claim(ctx context.Context, key string, svc modeler.ServiceName, digest [sha256.Size]byte) (forwarder.Claim, error) {
	tm := ld.term.Load()
	if tm == nil {
		return forwarder.Claim{}, forwarder.ErrNotLeader
	}
	cm, err := tm.claimer.Claim(ctx, key, svc, claimer.Digest(digest[:16]))
	var known *claimer.KnownError
	switch {
	case err == nil:
		return forwarder.Claim{Token: keyClaim{tm.claimer, cm}}, nil
	case errors.As(err, &known):
		return forwarder.Claim{Repeated: true, Outcome: known.Outcome, Answer: (*forwarder.Answer)(known.Answer)}, nil
	case errors.Is(err, claimer.ErrKeyReused):
		return forwarder.Claim{}, forwarder.ErrKeyReused
	case errors.Is(err, claimer.ErrNotClaimed):
		return forwarder.Claim{}, forwarder.ErrNotClaimed
	case errors.Is(err, claimer.ErrNotLeader):
		return forwarder.Claim{}, forwarder.ErrNotLeader
	}
	return forwarder.Claim{}, err
}

// Complete records the outcome of a claimed call in the term in which it was claimed.
func (ld *leader) Complete(ctx context.Context, cm forwarder.Claim, outcome modeler.Outcome, ans *forwarder.Answer) error {
	kc := cm.Token.(keyClaim)
	return kc.claimer.Complete(ctx, kc.claim, outcome, (*claimer.Answer)(ans))
}

// keyClaim is the token of a claim, with the claimer of its term.
type keyClaim struct {
	claimer *claimer.Claimer
	claim   claimer.Claim
}

// taskJournal is the journal as the scheduler uses it.
type taskJournal struct{ *journaler.Journal }

// Append implements scheduler.Journal.
func (tj taskJournal) Append(ctx context.Context, records ...[]byte) error {
	err := tj.Journal.Append(ctx, newRecords(journaler.KindTask, records)...)
	if errors.Is(err, journaler.ErrDeposed) {
		return scheduler.ErrDeposed
	}
	return mapJournalError(err)
}

// keyJournal is the journal as the claimer uses it.
type keyJournal struct{ *journaler.Journal }

// Append implements claimer.Journal.
func (kj keyJournal) Append(ctx context.Context, records ...[]byte) error {
	return mapJournalError(kj.Journal.Append(ctx, newRecords(journaler.KindKey, records)...))
}

// Confirm implements claimer.Journal.
func (kj keyJournal) Confirm(ctx context.Context) error { return mapJournalError(kj.Check(ctx)) }

func newRecords(kind journaler.Kind, data [][]byte) []journaler.Record {
	recs := make([]journaler.Record, len(data))
	for idx, dt := range data {
		recs[idx] = journaler.Record{Kind: kind, Data: slices.Clip(dt)}
	}
	return recs
}

// mapJournalError maps the journal's errors to those that the scheduler and the claimer test for.
func mapJournalError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, journaler.ErrDeposed), errors.Is(err, journaler.ErrUnavailable), errors.Is(err, journaler.ErrTooLarge):
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", storer.ErrResultUnknown, err)
}
