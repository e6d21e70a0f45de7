package director_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// storedKeys returns the keys of the stored jobs and cancellations.
func (fl *fleet) storedKeys() []string {
	ens, err := fl.store.List(fl.t.Context(), keeper.KeyPrefix, "", 100)
	qt.Assert(fl.t, err, qt.IsNil)
	var keys []string
	for _, en := range ens {
		keys = append(keys, en.Key)
	}
	return keys
}

// cancel stores the cancellation of a job and passes it on.
func (fl *fleet) cancel(tm *term, id modeler.JobID) {
	qt.Assert(fl.t, keeper.NewJobStore(fl.store).Cancel(fl.t.Context(), id), qt.IsNil)
	fl.cancelled = append(fl.cancelled, id)
	tm.CancelJob(id)
}

// forgetDeleted makes the next leader list only what is still stored.
func (fl *fleet) forgetDeleted() {
	keys := fl.storedKeys()
	stored := func(kind string, id modeler.JobID) bool {
		return slices.Contains(keys, keeper.KeyPrefix+kind+"/"+string(id))
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.jobs = slices.DeleteFunc(fl.jobs, func(jb *modeler.Job) bool { return !stored("Submitted", jb.ID) })
	fl.cancelled = slices.DeleteFunc(fl.cancelled, func(id modeler.JobID) bool { return !stored("Cancelled", id) })
}

// Guards against a store, and a listing of it at each takeover, that grow without a bound as no term lasts as long as
// the retention of ended jobs and cancellations.
func TestRetentionInSeriesOfTerms(t *testing.T) {
	const (
		termTime = 20 * time.Second
		// retention is that of the director, with its margin for late submissions.
		retention = 3 * time.Minute
	)
	for name, snapshots := range map[string]bool{"from facts": false, "from snapshots": true} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, func(fl *fleet, tm *term) {
				tm.submit(simpleJob("completed", "batch", 1, cores(1000)))
				tm.submit(fl.minuteJob("cancelled"))
				sleep(2 * time.Second)
				fl.cancel(tm, "cancelled")
				fl.cancel(tm, "without-job")
				began := time.Now()
				sleep(2 * time.Second)
				tm.assertState("completed", modeler.Completed)
				tm.assertState("cancelled", modeler.Cancelled)
				for time.Since(began) < retention-termTime {
					sleep(termTime)
					fl.predecessorSeenFor = termTime - time.Second
					if snapshots {
						qt.Assert(t, tm.TakeSnapshot(fl.t.Context()), qt.IsNil)
					}
					fl.forgetDeleted()
					tm.nextTerm(12 * time.Second)
					qt.Assert(t, fl.storedKeys(), qt.HasLen, 4)
					tm.assertState("completed", modeler.Completed)
					tm.assertState("cancelled", modeler.Cancelled)
				}
				for time.Since(began) < retention+3*termTime {
					sleep(termTime)
					fl.forgetDeleted()
					tm.nextTerm(12 * time.Second)
				}
				qt.Check(t, fl.storedKeys(), qt.HasLen, 0)
			})
		})
	}
}
