package placer

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/currantrouter/currantrouter/internal/batch/estimator"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// benchTasksPerWorker approximates the planned size of 124,000 tasks on 12,000 workers.
const benchTasksPerWorker = 10

func benchTask(number int) Task {
	return Task{
		Attempt:     supervisor.Attempt{Job: fmt.Sprint("job-", number), Number: 1},
		Reservation: supervisor.Resources{Millicores: 4000, MemoryBytes: 16 << 30},
	}
}

// benchPlacer returns a placer with schedulable workers that hold benchTasksPerWorker tasks each.
func benchPlacer(workers int) (*Placer, []modeler.WorkerName) {
	pl := New(estimator.New(0), DefaultShortReserve, 1)
	var names []modeler.WorkerName
	for num := range workers {
		name := modeler.WorkerName(fmt.Sprint("worker-", num))
		names = append(names, name)
		pl.Upsert(supervisor.Worker{
			Name: name, Rack: fmt.Sprint(num / 6),
			Capacity: supervisor.Resources{Millicores: 64000, MemoryBytes: 250 << 30},
		})
		pl.SetUnschedulable(name, false)
		for seq := range benchTasksPerWorker {
			pl.Reserve(name, benchTask(num*benchTasksPerWorker+seq))
		}
	}
	return pl, names
}

// BenchmarkStart measures the placement, reservation and release of one task, and the heap used per
// worker with its tasks.
func BenchmarkStart(b *testing.B) {
	for _, workers := range []int{50, 500, 2000, 12000} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			before := heapBytes()
			pl, _ := benchPlacer(workers)
			size := float64(heapBytes()-before) / float64(workers)
			tk := benchTask(-1)
			for b.Loop() {
				name, err := pl.Place(tk)
				if err != nil || !pl.Reserve(name, tk) {
					b.Fatal(err)
				}
				pl.Release(name, tk.Attempt)
			}
			b.ReportMetric(size, "B/worker-of-10")
		})
	}
}

// BenchmarkReport measures the processing of one worker's report on benchTasksPerWorker tasks.
func BenchmarkReport(b *testing.B) {
	for _, workers := range []int{50, 500, 2000, 12000} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			pl, names := benchPlacer(workers)
			for num := 0; b.Loop(); num++ {
				name := names[num%workers]
				for _, al := range pl.workers[name].allocations {
					pl.ObserveUsage(name, al.Attempt, supervisor.Resources{Millicores: int64(1000 + num%3000)})
				}
				pl.UpdateIndex(name)
			}
		})
	}
}

func heapBytes() int64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
