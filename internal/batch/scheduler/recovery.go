package scheduler

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// recover replays the snapshot and the records, then rebuilds what is not recorded. What runs is
// known for certain only from the workers' reports.
func (sc *Scheduler) recover(rec Recovery, est *estimator.Estimator) error {
	for _, part := range rec.Parts {
		learned, err := sc.ledger.load(part)
		if err != nil {
			return err
		}
		if err = est.Import(learned); err != nil {
			return err
		}
	}
	for i, data := range rec.Records {
		var rm RecordMessage
		if err := proto.Unmarshal(data, &rm); err != nil {
			return fmt.Errorf("decode record %d: %w", i, err)
		}
		sc.ledger.apply(&rm, rec.Began)
	}
	sc.ledger.rebuildWaiting()
	for _, jb := range sc.ledger.jobs {
		sc.activate(jb, rec.Began)
		for no := range jb.tasks {
			sc.adopt(jb, no)
		}
	}
	sc.dirty = true
	return nil
}

// activate makes a recorded job known to the queue.
func (sc *Scheduler) activate(jb *job, now time.Time) {
	jb.kind = sc.estimator.Kind(jb.Kind)
	sc.queue.push(jb, now)
	sc.dirty = true
}

// adopt takes over an attempt that an earlier leader has recorded.
func (sc *Scheduler) adopt(jb *job, no int) {
	tk := &jb.tasks[no]
	if tk.phase != phaseActive && tk.phase != phaseCheckpointing {
		return
	}
	rn := &running{
		job: jb, no: no, attempt: jb.attempt(no, tk.attempt), worker: tk.worker, kind: jb.kind,
		durable: true, recovered: true, evicting: tk.phase == phaseCheckpointing,
		// The earlier leader cannot send a start whose record began after this epoch.
		mustBegin:  sc.began.Add(startTerm),
		checkpoint: tk.checkpoint,
	}
	sc.countRunning(rn, 1)
	sc.queue.team(jb.Team).hold(tk.reservation, supervisor.Resources{})
	sc.unplaced[tk.worker] = append(sc.unplaced[tk.worker], rn)
}

// Export returns the state in parts below 1 MB each, for a snapshot that covers the journal up to
// the returned position.
func (sc *Scheduler) Export(ctx context.Context) (parts [][]byte, upTo int64, err error) {
	err = sc.call(ctx, func(done func(error)) {
		learned, err := sc.estimator.Export()
		if err != nil {
			done(err)
			return
		}
		upTo = sc.opts.Journal.Position()
		if len(sc.writer.flying) > 0 {
			// The records in flight may be durable and are not yet applied.
			upTo = sc.writer.before
		}
		parts, err = sc.ledger.export(learned)
		done(err)
	})
	if err != nil {
		return nil, 0, err
	}
	return parts, upTo, nil
}

// Ready reports whether all listed workers have reported since this leader's epoch began, or its
// starts and those of the leader before can no longer cross.
func (sc *Scheduler) Ready(ctx context.Context) (bool, error) {
	ready := true
	err := sc.call(ctx, func(done func(error)) {
		for _, ws := range sc.order {
			ready = ready && (ws.reported || time.Since(sc.began) > startTerm)
		}
		done(nil)
	})
	return ready, err
}
