package fencer_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/fencer"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

var info = modeler.Worker{ID: "worker", Address: netip.MustParseAddrPort("10.1.0.1:80"), Capacity: modeler.Resources{MilliCores: 1000, MemoryMB: 1000}}

// run runs a test with a worker that a host watches with the tokens 5 and 3.
func run(t *testing.T, test func(jw *emulator.JobWorkers)) {
	synctest.Test(t, func(t *testing.T) {
		jw := emulator.NewJobWorkers(new(emulator.Faults), func(modeler.TaskID) emulator.TaskBehaviour { return emulator.TaskBehaviour{RunTime: time.Second} })
		jw.Add(info)
		fc := fencer.New(fencer.Options{Director: func() *director.Director { return nil }, Client: jw, Log: logr.Discard(), Meter: meter.New(nil)})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			fc.Run(ctx)
		}()
		synctest.Wait()
		for _, fence := range []modeler.Fence{5, 3} {
			fc.Watch([]modeler.WorkerFence{{ID: info.ID, Address: info.Address, Fence: fence, Left: time.Duration(fence) * 3 * time.Second}})
		}
		time.Sleep(2 * time.Second)
		test(jw)
		cancel()
		<-done
	})
}

// checkLateStart checks the answer to a start with an earlier token than the highest of the host.
func checkLateStart(t *testing.T, jw *emulator.JobWorkers, answer error) {
	t.Helper()
	_, err := jw.Start(t.Context(), &info, &modeler.StartRequest{Task: modeler.TaskID{Job: "job"}, Run: 1, Fence: 4, Deadline: time.Minute})
	qt.Check(t, err, qt.Equals, answer)
}

// Guards against a late start at a worker that has restarted while the leader says nothing.
func TestRestartedWorkerGetsToken(t *testing.T) {
	t.Run("restart", func(t *testing.T) {
		run(t, func(jw *emulator.JobWorkers) {
			jw.Add(info)
			time.Sleep(time.Millisecond)
			checkLateStart(t, jw, modeler.ErrStaleFence)
		})
	})
	t.Run("restart after a time", func(t *testing.T) {
		run(t, func(jw *emulator.JobWorkers) {
			jw.Crash(info.ID)
			time.Sleep(1100 * time.Millisecond)
			jw.Add(info)
			// The emulator leaves a renewal that met no worker without an answer.
			time.Sleep(250 * time.Millisecond)
			checkLateStart(t, jw, modeler.ErrStaleFence)
		})
	})
	t.Run("worker with a later token", func(t *testing.T) {
		run(t, func(jw *emulator.JobWorkers) {
			_, err := jw.Renew(t.Context(), &info, &modeler.RenewRequest{Fence: 9})
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(2 * time.Second)
			jw.Add(info)
			time.Sleep(150 * time.Millisecond)
			checkLateStart(t, jw, modeler.ErrStaleFence)
		})
	})
	t.Run("expired entry", func(t *testing.T) {
		run(t, func(jw *emulator.JobWorkers) {
			time.Sleep(15 * time.Second)
			jw.Add(info)
			time.Sleep(time.Second)
			checkLateStart(t, jw, nil)
		})
	})
}
