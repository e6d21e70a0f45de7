package director

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/rejecter"
)

var explainedQueue = modeler.Queue{Name: "queue", Pool: "pool", Priority: 1, MaxSlowdown: 2, Slack: time.Second}

// explainedSteps returns steps of several kinds.
func explainedSteps() []modeler.Step {
	needs := modeler.Resources{MilliCores: 1500, MemoryMB: 100}
	return []modeler.Step{
		{Count: 1, Needs: needs, Estimate: time.Second},
		{Count: 1, Needs: needs, Estimate: time.Second, MaxPerWorker: 1},
		{Count: 1, Needs: needs, BestEffort: true, Image: "image7"},
		{Count: 1, Needs: needs, LongRunning: true, TailTarget: 100 * time.Millisecond, Image: "critical9"},
	}
}

// dump writes the state of everything that can be reached from a value: a line for each pointer.
type dump struct {
	seen  map[uintptr]bool
	lines []string
}

func dumpOf(dr *Director) []string {
	dp := &dump{seen: map[uintptr]bool{}}
	dp.text(reflect.ValueOf(dr))
	return dp.lines
}

// difference returns the lines of the second dump that the first lacks.
func difference(one, two []string) []string {
	known := map[string]bool{}
	for _, ln := range one {
		known[ln] = true
	}
	return slices.DeleteFunc(slices.Clone(two), func(ln string) bool { return known[ln] })
}

func (dp *dump) text(val reflect.Value) string {
	var parts []string
	switch val.Kind() {
	case reflect.Func, reflect.Chan, reflect.Invalid:
		return ""
	case reflect.Pointer:
		if val.IsNil() {
			return "nil"
		}
		name := fmt.Sprintf("%s %x", val.Type(), val.Pointer())
		if !dp.seen[val.Pointer()] {
			dp.seen[val.Pointer()] = true
			dp.lines = append(dp.lines, name+"="+dp.text(val.Elem()))
		}
		return name
	case reflect.Interface:
		return dp.text(val.Elem())
	case reflect.Struct:
		for ix := range val.NumField() {
			parts = append(parts, val.Type().Field(ix).Name+":"+dp.text(val.Field(ix)))
		}
	case reflect.Slice, reflect.Array:
		for ix := range val.Len() {
			parts = append(parts, dp.text(val.Index(ix)))
		}
	case reflect.Map:
		for it := val.MapRange(); it.Next(); {
			parts = append(parts, dp.text(it.Key())+":"+dp.text(it.Value()))
		}
		slices.Sort(parts)
	default:
		return fmt.Sprint(val)
	}
	return "{" + strings.Join(parts, " ") + "}"
}

// Guards against an explanation that reserves, queues, counts, logs or caches something that later decisions use.
func TestExplanationChangesNothing(t *testing.T) {
	for _, tc := range []struct {
		policy ShortagePolicy
		// rounds are few if capacity is to be left.
		workers, rounds int
	}{{DeadlinePolicy, 40, 3}, {DeadlinePolicy, 3, 40}, {ValuePolicy, 40, 3}, {ValuePolicy, 3, 40}} {
		t.Run(fmt.Sprint(tc.policy, " ", tc.workers), func(t *testing.T) {
			dr := newMixedBacklog(tc.workers)
			dr.op.Limits.ShortagePolicy, dr.op.LoadHints = tc.policy, true
			close(dr.loaded)
			for _, jb := range dr.jobs {
				jb.Slack, jb.occurrences[0].due = time.Millisecond, time.Now().Add(-time.Minute)
				for _, tk := range jb.occurrences[0].steps[0].tasks {
					tk.wait.since = time.Now().Add(-time.Minute)
				}
			}
			for range tc.rounds {
				dr.startsInFlight = 0
				dr.dispatch(time.Now())
			}
			dr.startsInFlight = 0
			qt.Assert(t, len(dr.waitingSteps) > 0, qt.IsTrue)
			qt.Assert(t, len(dr.shortages) > 0, qt.Equals, tc.policy == ValuePolicy && tc.workers == 3)
			// A round would judge these again, and promote one.
			for sp := range dr.waitingSteps {
				sp.occ.judged = false
			}
			before := dumpOf(dr)
			for ix, sp := range append(explainedSteps(), explainedSteps()[1:]...) {
				queue := explainedQueue
				queue.Priority = ix % 2
				ex, err := dr.ExplainJob(&modeler.Job{Steps: []modeler.Step{sp}}, &queue)
				qt.Assert(t, err, qt.IsNil)
				se := &ex.Steps[0]
				qt.Check(t, se.Ahead > 0, qt.Equals, queue.Priority == 1)
				if tc.workers == 40 {
					qt.Check(t, se.Worker, qt.Not(qt.Equals), modeler.WorkerID(""), qt.Commentf("%+v", se))
				} else {
					qt.Check(t, se.Short, qt.Equals, tc.policy == ValuePolicy && queue.Priority == 0 && !sp.LongRunning, qt.Commentf("%+v", se))
				}
			}
			for _, ln := range difference(before, dumpOf(dr)) {
				t.Errorf("changed: %s", ln)
			}
			dr.nextExamined++
			qt.Check(t, difference(before, dumpOf(dr)), qt.HasLen, 1, qt.Commentf("the comparison misses a change"))
		})
	}
}

// Guards against an explanation that names another worker than the one on which the job is placed.
func TestExplanationAgreesWithPlacement(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 5))
			dr := newMixedBacklog(2 * sufficientCandidates)
			close(dr.loaded)
			for _, wk := range dr.workers {
				wk.free.MilliCores = rnd.Int64N(16_000)
			}
			for range 40 {
				dr.startsInFlight = 0
				dr.dispatch(time.Now())
			}
			for ix, sp := range explainedSteps() {
				stored := &modeler.Job{
					ID: modeler.JobID(fmt.Sprint("new", ix)), Queue: "queue", Pool: "pool", Slack: time.Second, MaxSlowdown: 2, Submitted: time.Now(), Steps: []modeler.Step{sp},
				}
				ex, err := dr.ExplainJob(stored, &explainedQueue)
				qt.Assert(t, err, qt.IsNil)
				jb := dr.addJob(stored, false)
				jb.confirmed, dr.startsInFlight = true, 0
				dr.dispatch(time.Now())
				attempts, want := jb.occurrences[0].steps[0].tasks[0].attempts, []modeler.WorkerID(nil)
				for _, at := range attempts {
					want = append(want, at.worker.info.ID)
				}
				if len(want) == 0 {
					want = append(want, "")
				}
				qt.Check(t, ex.Steps[0].Worker, qt.Equals, want[0], qt.Commentf("step %d", ix))
			}
		})
	}
}

// Guards against explanations that leave out what delays or refuses a job.
func TestExplainedOutcomes(t *testing.T) {
	explain := func(t *testing.T, dr *Director, given *modeler.Job) *JobExplanation {
		t.Helper()
		ex, err := dr.ExplainJob(given, &explainedQueue)
		qt.Assert(t, err, qt.IsNil)
		return ex
	}
	short := explainedSteps()[0]
	idle := func() *Director {
		dr := newMixedBacklog(4)
		clear(dr.waitingSteps)
		close(dr.loaded)
		return dr
	}
	t.Run("accepted, with a step that waits for another", func(t *testing.T) {
		next := short
		next.After = []int{0}
		ex := explain(t, idle(), &modeler.Job{Steps: []modeler.Step{short, next}})
		qt.Check(t, ex.Outcome, qt.Equals, WouldBeAccepted)
		qt.Check(t, [...]string{ex.Steps[0].StartsIn, ex.Steps[1].StartsIn}, qt.Equals, [...]string{"0s", "1s"})
		qt.Check(t, [...]int{ex.Steps[0].Position, ex.Steps[0].Ahead, ex.Steps[1].Position}, qt.Equals, [...]int{1, 0, 0})
		qt.Check(t, ex.Steps[0].Workers.Open, qt.Equals, 4)
	})
	t.Run("delayed, no capacity", func(t *testing.T) {
		dr := idle()
		for _, wk := range dr.workers {
			wk.free = modeler.Resources{}
		}
		next := modeler.Step{Count: 1, After: []int{0}}
		ex := explain(t, dr, &modeler.Job{Steps: []modeler.Step{short, next}})
		qt.Check(t, ex.Steps[1].Worker, qt.Not(qt.Equals), modeler.WorkerID(""))
		qt.Check(t, ex.Steps[1].StartsIn, qt.Equals, "")
		qt.Check(t, ex.Outcome, qt.Equals, WouldBeDelayed)
		qt.Check(t, ex.Steps[0].Reason, qt.Equals, string(noWorkerFits))
		qt.Check(t, ex.Steps[0].Workers.Full, qt.Equals, 4)
	})
	t.Run("delayed, steps ahead and no requests", func(t *testing.T) {
		dr := newMixedBacklog(4)
		close(dr.loaded)
		dr.op.MaySendRequests = func() bool { return false }
		ex := explain(t, dr, &modeler.Job{Steps: []modeler.Step{short}})
		qt.Check(t, ex.Reason, qt.Equals, string(requestsSuspended))
		qt.Check(t, ex.Steps[0].Ahead > 0, qt.IsTrue)
	})
	t.Run("delayed, due later", func(t *testing.T) {
		ex := explain(t, idle(), &modeler.Job{Steps: []modeler.Step{short}, Repeats: 1, First: time.Now().Add(time.Hour)})
		qt.Check(t, ex.Outcome, qt.Equals, WouldBeDelayed)
		qt.Check(t, ex.Steps[0].StartsIn, qt.Matches, "59m.*")
	})
	t.Run("refused", func(t *testing.T) {
		dr := idle()
		dr.op.LoadHints = true
		dr.loadHint.last.Store(&computedHint{at: time.Now(), Hint: rejecter.Hint{Epoch: 1, Queues: []rejecter.QueueLoad{
			{Queue: "queue", Ended: 20, Missed: 20, Delay: time.Hour, Drain: time.Hour, Overrun: 1},
		}}})
		ex := explain(t, dr, &modeler.Job{Steps: []modeler.Step{short}})
		qt.Check(t, ex.Outcome, qt.Equals, WouldBeRefused)
		qt.Check(t, ex.Refusal.Reason, qt.Equals, rejecter.Useless)
	})
	t.Run("errors", func(t *testing.T) {
		_, err := idle().ExplainJob(&modeler.Job{}, &explainedQueue)
		qt.Check(t, err, qt.ErrorIs, modeler.ErrInvalidJob)
		_, err = idle().ExplainJob(&modeler.Job{Steps: slices.Repeat([]modeler.Step{short}, maxExplainedSteps+1)}, &explainedQueue)
		qt.Check(t, err, qt.ErrorIs, modeler.ErrInvalidJob)
		_, err = newMixedBacklog(1).ExplainJob(&modeler.Job{Steps: []modeler.Step{short}}, &explainedQueue)
		qt.Check(t, err, qt.ErrorIs, ErrNotLoaded)
	})
}
