package director

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/rejecter"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Guards against a run time of 292 years for a run whose end is reported before the answer to its start: its step's
// runs never look slow then, and the load hint takes the estimates of its queue to be four times too short.
func TestEndBeforeAnswer(t *testing.T) {
	for name, answered := range map[string]bool{"answered": true, "not answered": false} {
		t.Run(name, func(t *testing.T) {
			dr := New(Options{
				Epoch: 1, Configuration: func() *modeler.Configuration { return nil }, MaySendRequests: func() bool { return true },
				LoadHints: true, Log: logr.Discard(), Meter: meter.New(nil),
			})
			now := time.Now()
			wk := &worker{info: modeler.Worker{ID: "w"}, attempts: map[attemptKey]*attempt{}, criticalImages: map[string]int{}, bestEffortImages: map[string]imageLoad{}}
			jb := dr.addJob(&modeler.Job{ID: "j", Queue: "batch", Steps: []modeler.Step{{Count: 1, Estimate: time.Second}}}, true)
			tk := jb.occurrences[0].steps[0].tasks[0]
			at := dr.reserve(tk, wk, 1)
			want := 0
			if answered {
				at.answeredAt, want = now.Add(-time.Second), 1
			}
			dr.recordOutcome(wk, tk, at, &modeler.EndedRun{Task: tk.id(), Run: 1, Outcome: modeler.Done}, now)
			qt.Check(t, tk.step.runTimes, qt.HasLen, want)
			for range rejecter.MinObservations {
				dr.loadHint.observer.ObserveEnd("batch", time.Second, time.Second, now)
			}
			ql, ok := dr.loadHint.observer.Load("batch", 1, rejecter.MinObservations, now)
			qt.Check(t, ok, qt.IsTrue)
			qt.Check(t, ql.Overrun, qt.Equals, 1.0)
		})
	}
}

// Guards against stragglers that are not found as the workers list checkpoints of active runs, and the run times of the
// other tasks are left out as if only a part of them had been run.
func TestRunTimesWithCheckpoints(t *testing.T) {
	for name, checkpoint := range map[string]string{"from the beginning": "", "resumed": "c1"} {
		t.Run(name, func(t *testing.T) {
			dr := newRunning(1, 1, modeler.Step{Needs: modeler.Resources{MilliCores: 100}, Estimate: time.Second})
			tk, now := dr.jobs["j0"].occurrences[0].steps[0].tasks[0], time.Now()
			wk := tk.attempts[0].worker
			dr.release(tk.attempts[0])
			tk.checkpoint = checkpoint
			at := dr.reserve(tk, wk, 2)
			at.answeredAt = now.Add(-time.Second)
			dr.updateRun(wk, &modeler.ActiveRun{Task: tk.id(), Run: 2, Progress: 50, Checkpoint: "c2"}, now)
			_, ok := lastRunTime(tk, now)
			qt.Check(t, ok, qt.Equals, checkpoint == "")
			dr.recordOutcome(wk, tk, at, &modeler.EndedRun{Task: tk.id(), Run: 2, Outcome: modeler.Done}, now)
			qt.Check(t, len(tk.step.runTimes) == 1, qt.Equals, checkpoint == "")
		})
	}
}

// Guards against work and memory for load hints on deployments that do not use them.
func TestLoadNotObserved(t *testing.T) {
	for _, used := range []bool{false, true} {
		t.Run(fmt.Sprintf("used %v", used), func(t *testing.T) {
			dr := New(Options{
				Epoch: 1, Configuration: func() *modeler.Configuration { return nil }, MaySendRequests: func() bool { return true },
				LoadHints: used, Log: logr.Discard(), Meter: meter.New(nil),
			})
			now := time.Now()
			wk := &worker{info: modeler.Worker{ID: "w"}, attempts: map[attemptKey]*attempt{}, criticalImages: map[string]int{}, bestEffortImages: map[string]imageLoad{}}
			jb := dr.addJob(&modeler.Job{ID: "j", Queue: "batch", Steps: []modeler.Step{{Count: 1, Estimate: time.Second}}}, false)
			tk := jb.occurrences[0].steps[0].tasks[0]
			at := dr.reserve(tk, wk, 1)
			at.answeredAt = now.Add(-time.Second)
			dr.recordOutcome(wk, tk, at, &modeler.EndedRun{Task: tk.id(), Run: 1, Outcome: modeler.Done}, now)
			jb.finalState = modeler.Completed
			dr.observeJobEnd(jb, now)
			qt.Check(t, tk.step.runTimes, qt.HasLen, 1)
			qt.Check(t, reflect.ValueOf(dr.loadHint.observer).IsZero(), qt.Equals, !used)
		})
	}
}

// Guards against a load hint that lists some of the queues that are behind at random, so that entry hosts refuse jobs of
// a queue with one hint and not with the next.
func TestQueuesOfLoadHint(t *testing.T) {
	var lh loadHint
	now := time.Now()
	missed := map[modeler.QueueName]int{}
	var want []modeler.QueueName
	for ix := range 3 * rejecter.MaxQueues {
		name := modeler.QueueName(fmt.Sprintf("q%02d", ix))
		// Two queues each have the same number.
		missed[name] = 100 - ix/2
		for range rejecter.MinObservations {
			lh.observer.ObserveEnd(name, time.Minute, time.Second, now)
		}
		if ix < rejecter.MaxQueues {
			want = append(want, name)
		}
	}
	var got []modeler.QueueName
	for _, ql := range lh.loads(missed, nil, now) {
		got = append(got, ql.Queue)
	}
	qt.Check(t, got, qt.DeepEquals, want)
}
