package scheduler

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// recover restores the snapshot, replays the records, and rebuilds the state that is not recorded.
// Which attempts still run is known only once the workers have reported.
func (sc *Scheduler) recover(rec Recovery, est *estimator.Estimator) error {
	for _, part := range rec.Parts {
		estimates, err := sc.state.restore(part)
		if err != nil {
			return err
		}
		if err = est.Import(estimates); err != nil {
			return err
		}
	}
	for i, data := range rec.Records {
		var rm RecordMessage
		if err := proto.Unmarshal(data, &rm); err != nil {
			return fmt.Errorf("decode record %d: %w", i, err)
		}
		sc.state.apply(&rm, rec.EpochBegan)
	}
	sc.state.rebuildWaitingTasks()
	sc.inheritLeases()
	for name := range sc.state.quarantined {
		sc.detector.Restore(name, rec.EpochBegan)
	}
	sc.mt.Set(meter.WorkersInQuarantine, int64(len(sc.state.quarantined)))
	for _, jb := range sc.state.jobs {
		sc.enqueueJob(jb, rec.EpochBegan)
		for no := range jb.tasks {
			sc.adoptAttempt(jb, no)
		}
	}
	sc.roundNeeded = true
	return nil
}

// enqueueJob adds a recorded job to the queue.
func (sc *Scheduler) enqueueJob(jb *job, now time.Time) {
	jb.kind = sc.estimator.Kind(jb.Kind)
	sc.queue.push(jb, now)
	sc.roundNeeded = true
}

// adoptAttempt takes over a task's active attempt, if any, from an earlier leader.
func (sc *Scheduler) adoptAttempt(jb *job, no int) {
	tk := &jb.tasks[no]
	if tk.phase != phaseActive && tk.phase != phaseCheckpointing {
		return
	}
	aa := &activeAttempt{
		job: jb, no: no, attempt: jb.attempt(no, tk.attempt), worker: tk.worker, kind: jb.kind,
		startRecorded: true, recovered: true, evicting: tk.phase == phaseCheckpointing,
		// The record of the start preceded this epoch, so the start expires at the latest
		// maxStartDelay after the epoch began.
		startBefore: sc.epochBegan.Add(maxStartDelay),
		checkpoint:  tk.checkpoint,
	}
	if lb, ok := sc.leases.bounds[tk.worker]; ok {
		aa.inheritedBound = lb.until
	}
	sc.addRunning(aa, 1)
	sc.queue.team(jb.Team).addReserved(tk.reservation, supervisor.Resources{})
	sc.unlisted[tk.worker] = append(sc.unlisted[tk.worker], aa)
}

// ExportState returns the state in parts below 1 MB each, for a snapshot that covers the journal up
// to the returned position.
func (sc *Scheduler) ExportState(ctx context.Context) (parts [][]byte, upTo int64, err error) {
	err = sc.runInLoop(ctx, func(done func(error)) {
		estimates, err := sc.estimator.Export()
		if err != nil {
			done(err)
			return
		}
		upTo = sc.opts.Journal.Position()
		if len(sc.writer.inFlight) > 0 {
			// The batch in flight may be durable but is not yet applied.
			upTo = sc.writer.positionBefore
		}
		parts, err = sc.state.export(estimates)
		done(err)
	})
	if err != nil {
		return nil, 0, err
	}
	return parts, upTo, nil
}

// Ready reports whether all listed workers have reported in this leader's epoch, or maxStartDelay
// has passed since it began, so that no start of the previous leader can still arrive.
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
