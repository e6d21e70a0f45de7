package lister_test

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/lister"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// BenchmarkDecode measures the decoding of the answers that each leader reads every 2 s (Workers) and
// each entry host every second (Hosts).
func BenchmarkDecode(b *testing.B) {
	for _, count := range []int{50, 500, 2000, 12000} {
		var workers lister.WorkersAnswer
		hosts := lister.HostsAnswer{Hosts: lister.Listing{}}
		for num := range count {
			name := fmt.Sprint("worker-", num)
			hosts.Hosts[name] = lister.Live
			workers.Workers = append(workers.Workers, supervisor.Worker{
				Name: modeler.WorkerName(name), DataCentre: "data-centre-1", Rack: fmt.Sprint("rack-", num/6),
				Capacity: supervisor.Resources{Millicores: 64000, MemoryBytes: 250 << 30},
			})
		}
		decode(b, fmt.Sprint("Workers/", count), workers)
		decode(b, fmt.Sprint("Hosts/", count), hosts)
	}
}

func decode[Answer any](b *testing.B, name string, answer Answer) {
	b.Run(name, func(b *testing.B) {
		text, err := json.Marshal(answer)
		qt.Assert(b, err, qt.IsNil)
		b.ReportAllocs()
		for b.Loop() {
			var got Answer
			if err := json.Unmarshal(text, &got); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(text)), "B/answer")
	})
}
