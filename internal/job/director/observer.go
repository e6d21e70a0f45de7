package director

import (
	"context"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// mostMoves bounds how often a task is taken from workers that look slow. Its run time may be
	// what is unusual.
	mostMoves = 2
	// judgedPace is the pace in percent from which lack of progress is a sign of a fault.
	judgedPace = 50
	// drainMargin is the time before a draining worker leaves in which its tasks are moved.
	drainMargin = 300 * time.Millisecond
)

// judge looks for runs that stand still or crawl, and empties workers that leave.
func (dr *Director) judge(wk *worker, now time.Time) {
	for _, at := range wk.list() {
		sp := at.task.step.spec
		switch {
		case at.state != active || at.stopping:
		case wk.info.Draining:
			dr.evacuate(wk, at, now)
		case sp.LongRunning || sp.Gang || at.pace < judgedPace || at.task.moves >= mostMoves:
		default:
			dr.judgeRun(wk, at, now)
		}
	}
}

func (dr *Director) judgeRun(wk *worker, at *attempt, now time.Time) {
	tk := at.task
	usual := tk.step.usual(at, now)
	if usual == 0 && tk.step.spec.Fills {
		return
	}
	stalled := at.watch.Stalled(usual, now)
	slow := !stalled && at.watch.Slow(usual, tk.saved, dr.op.Limits.Stop+dr.op.Limits.Restore, now)
	if !stalled && !slow {
		return
	}
	dr.log(logger.RunSlow, "Task", tk.id().String(), "Run", at.run, "Worker", wk.info.ID, "Progress", at.progress,
		"Age", now.Sub(at.answeredAt).String(), "Usual", usual.String(), "Stalled", stalled)
	before := wk.record.Quarantined(now)
	if !tk.step.spec.Fills {
		wk.record.Fault(tk.step.occ.job.ID, now)
	}
	dr.move(at, "slow or standing still")
	if !before && wk.record.Quarantined(now) {
		dr.quarantine(wk, "runs of several jobs are slow")
	}
}

// evacuate moves a run from a draining worker unless it ends there in time.
func (dr *Director) evacuate(wk *worker, at *attempt, now time.Time) {
	if at.task.step.spec.LongRunning {
		dr.stop(at, "worker drains")
		return
	}
	left := at.watch.Remaining(now)
	if left > 0 && left < wk.info.Remaining || at.progress == 0 && !at.task.step.spec.Checkpoints {
		return
	}
	dr.move(at, "worker drains")
}

// pace slows work that fills beside serving tasks whose tail latency nears its target.
func (dr *Director) pace(wk *worker, now time.Time) {
	if wk.filling == 0 {
		return
	}
	share := 0.0
	for _, at := range wk.attempts {
		if target := at.task.step.spec.TailTarget; target > 0 && at.tail > 0 {
			share = max(share, float64(at.tail)/float64(target))
		}
	}
	if wk.serving > 0 && wk.pace.Update(share, now) {
		dr.log(logger.WorkerPaced, "Worker", wk.info.ID, "Percent", wk.pace.Percent(), "TailShare", share, "Filling", wk.filling, "Serving", wk.serving)
	}
	percent := wk.pace.Percent()
	if wk.serving == 0 {
		percent = fullPace
	}
	for _, at := range wk.attempts {
		if at.task.step.spec.Fills && at.state == active && at.pace != percent && !at.stopping {
			dr.setPace(at, percent)
		}
	}
}

const fullPace = 100

func (dr *Director) setPace(at *attempt, percent int) {
	former := at.pace
	at.pace = percent
	id, run, info := at.task.id(), at.run, at.worker.info
	dr.op.Meter.Add(meter.TasksPaced, 1)
	dr.goRun(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		err := dr.op.Orders.Pace(ctx, &info, id, run, percent, dr.op.Epoch)
		if err == nil {
			return
		}
		dr.log(logger.PaceUnanswered, "Task", id.String(), "Run", run, "Worker", info.ID, "Percent", percent, "Error", err.Error())
		dr.mu.Lock()
		defer dr.mu.Unlock()
		if at.pace == percent {
			// The next report repeats the order.
			at.pace = former
		}
	})
}

// Overview is what operators see of one worker.
type Overview struct {
	Worker       modeler.Worker
	Present      bool
	Answers      bool
	Quarantined  bool
	Free         modeler.Resources
	Runs         int
	Serving      int
	Filling      int
	PacedPercent int
}

// Workers returns an overview of all workers.
func (dr *Director) Workers() []Overview {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := time.Now()
	var list []Overview
	for _, wk := range dr.workers {
		list = append(list, Overview{
			Worker: wk.info, Present: wk.present, Answers: wk.answered && !wk.silent, Quarantined: wk.record.Quarantined(now),
			Free: wk.free, Runs: len(wk.attempts), Serving: wk.serving, Filling: wk.filling, PacedPercent: wk.pace.Percent(),
		})
	}
	return list
}
