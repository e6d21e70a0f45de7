package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// benchTasksPerWorker approximates the planned size of 124,000 tasks on 12,000 workers.
const benchTasksPerWorker = 10

// instantBackend implements Journal and Workers. It accepts every record and every command
// immediately.
type instantBackend struct {
	Workers
	started     atomic.Int64
	goal        int64
	goalReached chan struct{}
	bytes       atomic.Int64
	appends     atomic.Int64
}

func (ib *instantBackend) Append(_ context.Context, records ...[]byte) error {
	ib.appends.Add(1)
	for _, rec := range records {
		ib.bytes.Add(int64(len(rec)))
	}
	return nil
}
func (ib *instantBackend) Position() int64          { return 0 }
func (ib *instantBackend) Deposed() <-chan struct{} { return nil }

func (ib *instantBackend) Start(context.Context, supervisor.Worker, supervisor.StartCommand) error {
	if ib.started.Add(1) == ib.goal {
		close(ib.goalReached)
	}
	return nil
}

func benchWorkers(count int) []supervisor.Worker {
	var wks []supervisor.Worker
	for num := range count {
		wks = append(wks, supervisor.Worker{
			Name: modeler.WorkerName(fmt.Sprint("worker-", num)), Rack: fmt.Sprint(num / 6),
			Capacity: supervisor.Resources{Millicores: 64000, MemoryBytes: 250 * gibibyte},
		})
	}
	return wks
}

func benchOptions(ib *instantBackend) Options {
	return Options{Logger: logr.Discard(), Epoch: 2, Journal: ib, Workers: ib, ShortReserve: 0.1, Seed: 1, ReportInterval: time.Hour}
}

func benchJob(number int) Job {
	return testJob(fmt.Sprint("job-", number), func(jb *Job) { jb.Kind = fmt.Sprint("kind-", number%20) })
}

// BenchmarkStarts measures one start, from the queue to the command, with benchTasksPerWorker
// starts per worker and a backend that answers immediately.
func BenchmarkStarts(b *testing.B) {
	for _, workers := range []int{50, 500, 2000, 12000} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			var elapsed time.Duration
			var bytes, starts int64
			for b.Loop() {
				ib := &instantBackend{goal: int64(workers * benchTasksPerWorker), goalReached: make(chan struct{})}
				elapsed += startAll(b, ib, workers)
				bytes, starts = bytes+ib.bytes.Load(), starts+ib.goal
			}
			b.ReportMetric(float64(elapsed.Microseconds())/float64(starts), "us/start")
			b.ReportMetric(float64(bytes)/float64(starts), "record-B/start")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// startAll returns the time from the submission of one job of benchTasksPerWorker tasks per worker
// to the last start.
func startAll(b *testing.B, ib *instantBackend, workers int) time.Duration {
	sc, err := New(benchOptions(ib), Recovery{EpochBegan: time.Now()})
	qt.Assert(b, err, qt.IsNil)
	list := benchWorkers(workers)
	sc.setWorkers(list, time.Now())
	for _, ws := range sc.workers {
		// Simulates the first report and schedules the next one after the benchmark.
		ws.nextReport = time.Now().Add(time.Hour)
		ws.nextRenew = ws.nextReport
		sc.handleReport(ws, supervisor.WorkerReport{}, time.Now(), time.Now())
	}
	ctx, cancel := context.WithCancel(b.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = sc.Run(ctx) }()
	var jobs []Job
	for num := range workers {
		jb := benchJob(num)
		jb.Tasks = benchTasksPerWorker
		jobs = append(jobs, jb)
	}
	began := time.Now()
	_, err = sc.Submit(ctx, jobs)
	qt.Assert(b, err, qt.IsNil)
	<-ib.goalReached
	elapsed := time.Since(began)
	cancel()
	<-ended
	return elapsed
}

// recoverScheduler returns a scheduler that was recovered from the records of benchTasksPerWorker
// running tasks per worker.
func recoverScheduler(b *testing.B, workers int, records [][]byte) *Scheduler {
	sc, err := New(benchOptions(&instantBackend{}), Recovery{Records: records, EpochBegan: time.Now()})
	qt.Assert(b, err, qt.IsNil)
	sc.setWorkers(benchWorkers(workers), time.Now())
	sc.ctx = b.Context()
	return sc
}

func benchRecords(workers int) [][]byte {
	var records [][]byte
	for num := range workers * benchTasksPerWorker {
		id := uint64(num + 1)
		records = append(records,
			encode(&RecordMessage{Record: &RecordMessage_Submit{Submit: &SubmitMessage{Jobs: []*JobMessage{jobToMessage(id, benchJob(num), time.Now())}}}}),
			encode(&RecordMessage{Record: &RecordMessage_Start{Start: &StartMessage{
				Job: id, Attempt: 1, Worker: fmt.Sprint("worker-", num%workers), Epoch: 1, StartBefore: 1,
				Reservation: resourcesToMessage(benchJob(num).Declared),
			}}}))
	}
	return records
}

// BenchmarkReport measures the handling of a report of benchTasksPerWorker tasks, the heap per
// worker with its tasks, and one tick over all workers, which happens every tickInterval.
func BenchmarkReport(b *testing.B) {
	for _, workers := range []int{50, 500, 2000, 12000} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			records := benchRecords(workers)
			before := heapBytes()
			began := time.Now()
			sc := recoverScheduler(b, workers, records)
			replay := float64(time.Since(began).Microseconds()) / float64(len(records))
			memory := float64(heapBytes()-before) / float64(workers)
			reports := make([]supervisor.WorkerReport, workers)
			for num, ws := range sc.tickOrder {
				for at := range ws.attempts {
					use := supervisor.Resources{Millicores: 500, MemoryBytes: gibibyte / 2}
					reports[num].Running = append(reports[num].Running, supervisor.AttemptReport{Attempt: at, Usage: use})
				}
				ws.sending = true
				sc.handleReport(ws, reports[num], time.Now(), time.Now())
				ws.commands, ws.nextReport, ws.nextRenew = nil, time.Now().Add(time.Hour), time.Now().Add(time.Hour)
			}
			sc.tick(time.Now())
			began = time.Now()
			sc.tick(began)
			tick := float64(time.Since(began).Microseconds())
			for num := 0; b.Loop(); num++ {
				now := time.Now()
				sc.handleReport(sc.tickOrder[num%workers], reports[num%workers], now, now)
			}
			parts, err := sc.state.export(nil)
			qt.Assert(b, err, qt.IsNil)
			size := 0
			for _, part := range parts {
				size += len(part)
			}
			text, err := json.Marshal(reports[0])
			qt.Assert(b, err, qt.IsNil)
			b.ReportMetric(float64(len(text)), "report-B")
			b.ReportMetric(replay, "us/record")
			b.ReportMetric(memory, "B/worker-of-10")
			b.ReportMetric(tick, "us/tick")
			b.ReportMetric(float64(size)/float64(workers*benchTasksPerWorker), "snapshot-B/task")
			runtime.KeepAlive(sc)
		})
	}
}

func heapBytes() int64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
