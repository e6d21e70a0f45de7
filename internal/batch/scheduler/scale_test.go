package scheduler

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// slowJournal is a journal whose appends take appendTime.
type slowJournal struct {
	appends    int
	bytes      int
	records    [][]byte
	appendTime time.Duration
}

func (sj *slowJournal) Append(_ context.Context, records ...[]byte) error {
	time.Sleep(sj.appendTime)
	sj.appends++
	for _, rc := range records {
		sj.bytes += len(rc)
	}
	sj.records = append(sj.records, records...)
	return nil
}
func (sj *slowJournal) Position() int64          { return 0 }
func (sj *slowJournal) Deposed() <-chan struct{} { return nil }

// idleWorkers accept every command and report no tasks.
type idleWorkers struct{ started chan struct{} }

func (iw idleWorkers) Start(context.Context, supervisor.Worker, supervisor.StartCommand) error {
	iw.started <- struct{}{}
	return nil
}

func (idleWorkers) Stop(context.Context, supervisor.Worker, modeler.Epoch, supervisor.Attempt) error {
	return nil
}

func (idleWorkers) Checkpoint(context.Context, supervisor.Worker, modeler.Epoch, supervisor.Attempt) error {
	return nil
}

func (idleWorkers) Throttle(context.Context, supervisor.Worker, modeler.Epoch, supervisor.Attempt, float64) error {
	return nil
}

func (idleWorkers) Renew(context.Context, supervisor.Worker, modeler.Epoch, time.Duration, []supervisor.Attempt) ([]supervisor.Attempt, error) {
	return nil, nil
}

func (idleWorkers) Forget(context.Context, supervisor.Worker, modeler.Epoch, []supervisor.Attempt) error {
	return nil
}

func (idleWorkers) Report(_ context.Context, wk supervisor.Worker) (supervisor.WorkerReport, error) {
	return supervisor.WorkerReport{Worker: wk.Name, Measured: time.Now()}, nil
}

func scaleOptions(jn Journal, iw Workers) Options {
	return Options{Epoch: 2, Journal: jn, Workers: iw, Logger: logr.Discard(), ShortReserve: 0.15, Seed: 1}
}

func scaleWorkers(n int) []supervisor.Worker {
	var wks []supervisor.Worker
	for i := range n {
		wks = append(wks, supervisor.Worker{
			Name: modeler.WorkerName(fmt.Sprintf("worker-%05d", i)), Rack: fmt.Sprint(i / 8),
			Capacity: supervisor.Resources{Millicores: 64_000, MemoryBytes: 250 * gibibyte},
		})
	}
	return wks
}

// BenchmarkRecovery measures the recovery of 124,000 running tasks on 12,000 workers, from records
// and from a snapshot, until the workers' reservations are restored.
func BenchmarkRecovery(b *testing.B) {
	const running = 124_000
	wks := scaleWorkers(12_000)
	records := runningRecords(running, wks)
	sc, err := New(scaleOptions(&slowJournal{}, idleWorkers{}), Recovery{Records: records, EpochBegan: time.Now()})
	if err != nil {
		b.Fatal(err)
	}
	parts, err := sc.state.export(nil)
	if err != nil {
		b.Fatal(err)
	}
	for name, rec := range map[string]Recovery{"records": {Records: records}, "snapshot": {Parts: parts}} {
		b.Run(name, func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var sc *Scheduler
			for b.Loop() {
				rec.EpochBegan = time.Now()
				if sc, err = New(scaleOptions(&slowJournal{}, idleWorkers{}), rec); err != nil {
					b.Fatal(err)
				}
				sc.setWorkers(wks, time.Now())
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N), "s/recovery")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/running, "B/task")
			runtime.KeepAlive(sc)
		})
	}
}

func runningRecords(n int, wks []supervisor.Worker) [][]byte {
	var records [][]byte
	for i := range n / 10 {
		jb := testJob(fmt.Sprint("job-", i), withTasks(10), withKind(fmt.Sprint("kind", i%200)))
		jm := jobToMessage(uint64(i+1), jb, time.Now())
		records = append(records, encode(&RecordMessage{Record: &RecordMessage_Submit{Submit: &SubmitMessage{Jobs: []*JobMessage{jm}}}}))
		for no := range 10 {
			sm := &StartMessage{
				Job: jm.Id, Task: uint32(no), Attempt: 1, Worker: string(wks[(i*10+no)%len(wks)].Name), Epoch: 1,
				StartBefore: time.Now().UnixMilli(), Reservation: jm.Declared,
			}
			records = append(records, encode(&RecordMessage{Record: &RecordMessage_Start{Start: sm}}))
		}
	}
	return records
}

// BenchmarkPacedStarts measures starts with a journal that takes one append per 110 ms, the
// interval with 11 data centres. A data centre needs 255 starts/s.
func BenchmarkPacedStarts(b *testing.B) {
	journal := &slowJournal{appendTime: 110 * time.Millisecond}
	iw := idleWorkers{make(chan struct{}, 100_000)}
	sc, err := New(scaleOptions(journal, iw), Recovery{EpochBegan: time.Now()})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	stopped := make(chan error)
	go func() { stopped <- sc.Run(ctx) }()
	wks := scaleWorkers(1100)
	_ = sc.SetWorkers(ctx, wks)
	time.Sleep(12 * time.Second)
	before, used := journal.appends, journal.bytes
	b.ResetTimer()
	n := max(b.N, 2500)
	for i := range n / 250 {
		_, _ = sc.Submit(ctx, []Job{testJob(fmt.Sprint("job-", i), withTasks(250), withKind(fmt.Sprint(i%20)))})
	}
	for range n / 250 * 250 {
		<-iw.started
	}
	seconds := b.Elapsed().Seconds()
	cancel()
	<-stopped
	b.ReportMetric(float64(n/250*250)/seconds, "starts/s")
	b.ReportMetric(float64(journal.appends-before)/seconds, "appends/s")
	b.ReportMetric(float64(journal.bytes-used)/float64(n), "B/start")
}
