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
		learned, err := sc.state.restore(part)
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
		sc.state.apply(&rm, rec.Began)
	}
	sc.state.rebuildWaitingTasks()
	for _, jb := range sc.state.jobs {
		sc.enqueueJob(jb, rec.Began)
		for no := range jb.tasks {
			sc.adoptAttempt(jb, no)
		}
	}
	sc.roundNeeded = true
	return nil
}

// enqueueJob makes a recorded job known to the queue.
func (sc *Scheduler) enqueueJob(jb *job, now time.Time) {
	jb.kind = sc.estimator.Kind(jb.Kind)
	sc.queue.push(jb, now)
	sc.roundNeeded = true
}

// adoptAttempt takes over an attempt that an earlier leader has recorded.
func (sc *Scheduler) adoptAttempt(jb *job, no int) {
	tk := &jb.tasks[no]
	if tk.phase != phaseActive && tk.phase != phaseCheckpointing {
		return
	}
	rn := &runningAttempt{
		job: jb, no: no, attempt: jb.attempt(no, tk.attempt), worker: tk.worker, kind: jb.kind,
		startRecorded: true, recovered: true, evicting: tk.phase == phaseCheckpointing,
		// The earlier leader cannot send a start whose record began after this epoch.
		startBefore: sc.epochBegan.Add(maxStartDelay),
		checkpoint:  tk.checkpoint,
	}
	sc.addRunning(rn, 1)
	sc.queue.team(jb.Team).addReserved(tk.reservation, supervisor.Resources{})
	sc.unlisted[tk.worker] = append(sc.unlisted[tk.worker], rn)
}

// Export returns the state in parts below 1 MB each, for a snapshot that covers the journal up to
// the returned position.
func (sc *Scheduler) Export(ctx context.Context) (parts [][]byte, upTo int64, err error) {
	err = sc.runInLoop(ctx, func(done func(error)) {
		learned, err := sc.estimator.Export()
		if err != nil {
			done(err)
			return
		}
		upTo = sc.opts.Journal.Position()
		if len(sc.writer.inFlight) > 0 {
			// The records in flight may be durable and are not yet applied.
			upTo = sc.writer.positionBefore
		}
		parts, err = sc.state.export(learned)
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
	err := sc.runInLoop(ctx, func(done func(error)) {
		for _, ws := range sc.tickOrder {
			ready = ready && (ws.reported || time.Since(sc.epochBegan) > maxStartDelay)
		}
		done(nil)
	})
	return ready, err
}
