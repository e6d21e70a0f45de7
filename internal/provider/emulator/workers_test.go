package emulator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

var (
	worker1      = supervisor.Worker{Name: "w1", Capacity: supervisor.Resources{Millicores: 2000}}
	worker2      = supervisor.Worker{Name: "w2", Capacity: supervisor.Resources{Millicores: 2000}}
	attempt1     = supervisor.Attempt{Job: "job", Task: 1, Number: 1}
	otherAttempt = supervisor.Attempt{Job: "other", Task: 1, Number: 1}
	leaseTerm    = 30 * time.Second
)

func start(t *testing.T, wks *emulator.Workers, wk supervisor.Worker, id supervisor.Attempt, checkpoint string) error {
	t.Helper()
	return wks.Start(t.Context(), wk, supervisor.StartCommand{
		Attempt: id, Epoch: 1, StartBefore: time.Now().Add(2 * time.Second), LeaseTerm: leaseTerm,
		Reservation: supervisor.Resources{Millicores: 1000}, Checkpoint: checkpoint, Kind: id.Job,
	})
}

// onlyReport returns the report on the only attempt of a worker.
func onlyReport(t *testing.T, wks *emulator.Workers, wk supervisor.Worker) supervisor.AttemptReport {
	t.Helper()
	rep, err := wks.Report(t.Context(), wk)
	qt.Assert(t, err, qt.IsNil)
	all := append(rep.Running, rep.Ended...)
	qt.Assert(t, all, qt.HasLen, 1)
	return all[0]
}

// Guards against emulated workers whose leases, checkpoints, interference or lag differ from the
// platform's rules, which the tests of the scheduler rely on.
func TestWorkers(t *testing.T) {
	bh := emulator.Behaviour{
		ReportLag: 3 * time.Second, CheckpointTime: time.Second,
		Slowdown: func(string, string, float64) float64 { return 2 },
	}
	for name, run := range map[string]func(*testing.T, *emulator.Workers){
		"ends after its run time": func(t *testing.T, wks *emulator.Workers) {
			qt.Assert(t, start(t, wks, worker1, attempt1, ""), qt.IsNil)
			time.Sleep(2 * time.Second)
			qt.Check(t, onlyReport(t, wks, worker1).Usage.Millicores, qt.Equals, int64(0))
			time.Sleep(2 * time.Second)
			qt.Check(t, onlyReport(t, wks, worker1).Usage.Millicores, qt.Equals, int64(1000))
			time.Sleep(7 * time.Second)
			qt.Check(t, onlyReport(t, wks, worker1).State, qt.Equals, supervisor.AttemptDone)
		},
		"lease expires": func(t *testing.T, wks *emulator.Workers) {
			qt.Assert(t, start(t, wks, worker1, attempt1, ""), qt.IsNil)
			qt.Assert(t, wks.Throttle(t.Context(), worker1, 1, attempt1, 0.1), qt.IsNil)
			time.Sleep(20 * time.Second)
			missing, err := wks.Renew(t.Context(), worker1, 1, leaseTerm, []supervisor.Attempt{attempt1, otherAttempt})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, missing, qt.DeepEquals, []supervisor.Attempt{otherAttempt})
			time.Sleep(29 * time.Second)
			qt.Check(t, onlyReport(t, wks, worker1).State, qt.Equals, supervisor.AttemptRunning)
			time.Sleep(2 * time.Second)
			qt.Check(t, onlyReport(t, wks, worker1).State, qt.Equals, supervisor.AttemptLeaseExpired)
		},
		"resumes from a checkpoint": func(t *testing.T, wks *emulator.Workers) {
			qt.Assert(t, start(t, wks, worker1, attempt1, ""), qt.IsNil)
			time.Sleep(6 * time.Second)
			qt.Assert(t, wks.Checkpoint(t.Context(), worker1, 1, attempt1), qt.IsNil)
			time.Sleep(2 * time.Second)
			cp := onlyReport(t, wks, worker1).Checkpoint
			qt.Assert(t, wks.Stop(t.Context(), worker1, 1, attempt1), qt.IsNil)
			next := attempt1
			next.Number++
			qt.Assert(t, start(t, wks, worker2, next, cp), qt.IsNil)
			time.Sleep(4*time.Second + time.Millisecond)
			qt.Check(t, onlyReport(t, wks, worker2).State, qt.Equals, supervisor.AttemptDone)
			qt.Check(t, wks.Oracle().Resumes[attempt1], qt.Equals, 1)
			qt.Check(t, wks.Oracle().Violations, qt.HasLen, 0)
		},
		"neighbour slows down": func(t *testing.T, wks *emulator.Workers) {
			qt.Assert(t, start(t, wks, worker1, attempt1, ""), qt.IsNil)
			qt.Assert(t, start(t, wks, worker1, otherAttempt, ""), qt.IsNil)
			time.Sleep(19 * time.Second)
			rep, err := wks.Report(t.Context(), worker1)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, rep.Running, qt.HasLen, 2)
			qt.Check(t, rep.Running[0].Slowdown, qt.Equals, 2.0)
			time.Sleep(2 * time.Second)
			rep, err = wks.Report(t.Context(), worker1)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, rep.Ended, qt.HasLen, 2)
		},
		"guards": func(t *testing.T, wks *emulator.Workers) {
			qt.Assert(t, start(t, wks, worker1, attempt1, ""), qt.IsNil)
			_, err := wks.Renew(t.Context(), worker1, 5, leaseTerm, nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, wks.Stop(t.Context(), worker1, 4, attempt1), qt.ErrorIs, supervisor.ErrRefused)
			qt.Check(t, start(t, wks, worker1, otherAttempt, ""), qt.ErrorIs, supervisor.ErrRefused)
		},
		"lease expires during a pause": func(t *testing.T, wks *emulator.Workers) {
			qt.Assert(t, start(t, wks, worker1, attempt1, ""), qt.IsNil)
			wks.Pause(worker1.Name)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := wks.Report(ctx, worker1)
			qt.Check(t, err, qt.ErrorIs, supervisor.ErrResultUnknown)
			wks.Resume(worker1.Name)
			qt.Check(t, onlyReport(t, wks, worker1).State, qt.Equals, supervisor.AttemptLeaseExpired)
		},
		"two workers run one task": func(t *testing.T, wks *emulator.Workers) {
			qt.Assert(t, start(t, wks, worker1, attempt1, ""), qt.IsNil)
			next := attempt1
			next.Number++
			qt.Assert(t, start(t, wks, worker2, next, ""), qt.IsNil)
			qt.Check(t, wks.Oracle().Violations, qt.HasLen, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wks := emulator.NewWorkers(nil, bh)
				wks.Add(worker1, worker2)
				run(t, wks)
			})
		})
	}
}
