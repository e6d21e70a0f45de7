package journaler_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
)

// taskRecordBytes is the size of the record of a task start.
const taskRecordBytes = 80

func taskRecord(number int) journaler.Record {
	data := make([]byte, taskRecordBytes)
	copy(data, fmt.Sprintf("task-%d", number))
	return journaler.Record{Kind: journaler.KindTask, Data: data}
}

// BenchmarkAppend measures concurrent appends to a store without latency.
func BenchmarkAppend(b *testing.B) {
	st := emulator.NewStore(nil)
	jn, _, err := journaler.Open(b.Context(), st, "dc", "host", "boot", journaler.Options{})
	qt.Assert(b, err, qt.IsNil)
	defer jn.Close()
	before := st.Calls()["Put"]
	var number atomic.Int64
	b.SetParallelism(256)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := jn.Append(context.Background(), taskRecord(int(number.Add(1)))); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "appends/s")
	b.ReportMetric(float64(st.Calls()["Put"]-before)/float64(b.N)*1000, "writes/1000")
}

// BenchmarkWritesAtStartRate counts the writes of 1,000 appends at 255 per second, with a fake clock
// and a store latency of 3 ms.
func BenchmarkWritesAtStartRate(b *testing.B) {
	for _, dataCentres := range []int{3, 4, 11} {
		b.Run(fmt.Sprint("dataCentres=", dataCentres), func(b *testing.B) {
			var writes, waited float64
			for b.Loop() {
				writes, waited = appendAtStartRate(b, dataCentres)
			}
			b.ReportMetric(writes, "writes/1000")
			b.ReportMetric(waited, "mean-ms")
		})
	}
}

func appendAtStartRate(b *testing.B, dataCentres int) (writes, waited float64) {
	const appends = 1000
	var total atomic.Int64
	// synctest.Test requires a testing.T. Errors are reported to b.
	synctest.Test(new(testing.T), func(*testing.T) {
		st := emulator.NewStore(nil)
		st.Faults().Set(emulator.Switch{Fault: emulator.Slow, Part: emulator.PartStore, Delay: 3 * time.Millisecond})
		jn, _, err := journaler.Open(context.Background(), st, "dc", "host", "boot", journaler.Options{DataCentres: dataCentres})
		if err != nil {
			b.Error(err)
			return
		}
		before := st.Calls()["Put"]
		for number := range appends {
			go func() {
				began := time.Now()
				if err := jn.Append(context.Background(), taskRecord(number)); err != nil {
					b.Error(err)
				}
				total.Add(int64(time.Since(began)))
			}()
			time.Sleep(time.Second / 255)
		}
		time.Sleep(time.Second)
		writes = float64(st.Calls()["Put"] - before)
		jn.Close()
	})
	return writes, float64(total.Load()) / appends / float64(time.Millisecond)
}

// BenchmarkRecovery measures Open with a snapshot of task records and 4,100 records after it, ten per
// segment.
func BenchmarkRecovery(b *testing.B) {
	for _, tasks := range []int{11300, 124000} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			st := emulator.NewStore(nil)
			fill(b, st, tasks)
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				jn, rec, err := journaler.Open(b.Context(), st, "dc", "host", "x", journaler.Options{})
				qt.Assert(b, err, qt.IsNil)
				qt.Assert(b, len(rec.SnapshotRecords)+len(rec.Records), qt.Equals, tasks+4100)
				jn.Close()
			}
		})
	}
}

func fill(b *testing.B, st *emulator.Store, tasks int) {
	b.Helper()
	jn, _, err := journaler.Open(b.Context(), st, "dc", "host", "first", journaler.Options{})
	qt.Assert(b, err, qt.IsNil)
	defer jn.Close()
	parts := make([]journaler.Record, tasks)
	for number := range parts {
		parts[number] = taskRecord(number)
	}
	qt.Assert(b, jn.Snapshot(b.Context(), parts, jn.Position()), qt.IsNil)
	var ten []journaler.Record
	for number := range 10 {
		ten = append(ten, taskRecord(number))
	}
	for range 410 {
		qt.Assert(b, jn.Append(b.Context(), ten...), qt.IsNil)
	}
}
