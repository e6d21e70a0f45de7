package director

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// assertStalledJobs reports stalled jobs after a second, and checks their number and the longest stall.
func (fx *waitFixture) assertStalledJobs(t *testing.T, jobs int64, longest time.Duration) {
	t.Helper()
	time.Sleep(time.Second)
	fx.dr.reportWaits(time.Now())
	qt.Check(t, fx.dr.op.Meter.Value(meter.StalledJobs), qt.Equals, jobs)
	qt.Check(t, fx.dr.op.Meter.Value(meter.LongestJobStall), qt.Equals, longest.Milliseconds())
}

// loseWorker makes a worker silent whose tasks use all of its processors.
func (fx *waitFixture) loseWorker(id modeler.WorkerID) *worker {
	wk := fx.dr.workers[id]
	wk.free.MilliCores = 0
	fx.dr.markUnreachable(wk, time.Now())
	return wk
}

// Guards against a stall that goes on through a run which began and ended between two reports.
func TestRunEndsJobStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newWaitFixture()
		fx.assertStalledJobs(t, 1, 0)
		at := fx.place(fx.ordinary, active)
		time.Sleep(time.Second / 2)
		fx.dr.release(at)
		fx.dr.enqueue(fx.ordinary)
		fx.assertStalledJobs(t, 1, 0)
		fx.assertStalledJobs(t, 1, time.Second)
	})
}

// Guards against a job without a run that is not counted because the leader believes that a task of it may run, and
// against jobs that run or for which there is no room.
func TestStalledJobs(t *testing.T) {
	for name, tc := range map[string]struct {
		needs modeler.Resources
		setUp func(*waitFixture)
		want  int64
	}{
		"two places":                {modeler.Resources{MilliCores: 4000}, func(*waitFixture) {}, 1},
		"one place":                 {modeler.Resources{MilliCores: 4001}, func(*waitFixture) {}, 0},
		"start is queued":           {modeler.Resources{MilliCores: 1000}, func(fx *waitFixture) { fx.place(fx.ordinary, placed) }, 1},
		"start may be carried out":  {modeler.Resources{MilliCores: 1000}, func(fx *waitFixture) { fx.place(fx.ordinary, uncertain) }, 1},
		"runs":                      {modeler.Resources{MilliCores: 1000}, func(fx *waitFixture) { fx.place(fx.ordinary, active) }, 0},
		"another task runs":         {modeler.Resources{MilliCores: 1000}, func(fx *waitFixture) { fx.place(fx.long, active) }, 0},
		"most processors are used":  {modeler.Resources{MilliCores: 100}, func(fx *waitFixture) { fx.wk.free.MilliCores, fx.dr.workers["w2"].free.MilliCores = 0, 3900 }, 0},
		"best-effort needs no free": {modeler.Resources{MilliCores: 9000}, func(fx *waitFixture) { fx.ordinary.step.spec.BestEffort = true }, 1},
		"processors of a silent worker are free": {modeler.Resources{MilliCores: 9000}, func(fx *waitFixture) {
			fx.ordinary.step.spec.BestEffort, fx.wk.free.MilliCores = true, 0
			fx.loseWorker("w2")
		}, 1},
		"processors of a silent worker may be used": {modeler.Resources{MilliCores: 9000}, func(fx *waitFixture) {
			fx.ordinary.step.spec.BestEffort, fx.wk.free.MilliCores = true, 0
			wk := fx.loseWorker("w2")
			wk.clockAt, wk.leaseEnd = time.Now(), time.Hour
		}, 0},
		"processors of an unreported worker may be used": {modeler.Resources{MilliCores: 9000}, func(fx *waitFixture) {
			fx.ordinary.step.spec.BestEffort, fx.wk.free.MilliCores = true, 0
			wk := fx.dr.workers["w2"]
			wk.answered, wk.unaccounted, fx.dr.inheritedUntil = false, true, time.Now().Add(time.Hour)
		}, 0},
		"worker does not answer": {modeler.Resources{MilliCores: 1000}, func(fx *waitFixture) {
			fx.place(fx.ordinary, active)
			fx.dr.markUnreachable(fx.wk, time.Now())
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newWaitFixture()
				fx.dr.setWorker(&modeler.Worker{ID: "w2", Pool: "p", Capacity: modeler.Resources{MilliCores: 4000, MemoryMB: 4000}})
				fx.dr.workers["w2"].answered = true
				fx.ordinary.step.spec.Needs = tc.needs
				tc.setUp(fx)
				fx.assertStalledJobs(t, tc.want, 0)
				fx.assertStalledJobs(t, tc.want, time.Duration(tc.want)*time.Second)
			})
		})
	}
}
