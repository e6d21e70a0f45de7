package subscriber

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// BenchmarkDocument measures the document for a peer: its encoding, its decoding, and its size.
func BenchmarkDocument(b *testing.B) {
	for _, count := range []int{245, 1645, 4446, 17784} {
		cfg := &modeler.Configuration{Revision: 1, Pools: map[modeler.PoolName]modeler.Pool{"pool": {Name: "pool"}}}
		for number := range count {
			// Names that do not repeat take as much as those of the largest deployments do.
			name := fmt.Sprintf("%x", uint64(number+1)*0x9e3779b97f4a7c15)
			cfg.Queues = append(cfg.Queues, modeler.Queue{Name: modeler.QueueName(name), Host: name[:4] + ".example", Prefix: "/" + name[4:] + "/", Pool: "pool", Attempts: 3, MaxSlowdown: 2, Priority: number % 3})
		}
		sb := newFixture()
		sb.current.Store(cfg)
		answer, err := sb.Answer(&messenger.QueuesQuery{AcceptsCompressed: true})
		qt.Assert(b, err, qt.IsNil)
		plain, err := sb.Answer(&messenger.QueuesQuery{})
		qt.Assert(b, err, qt.IsNil)
		b.Run(fmt.Sprintf("encode/%d", count), func(b *testing.B) {
			for b.Loop() {
				_, err := new(peerDocument).compress(cfg)
				qt.Assert(b, err, qt.IsNil)
			}
			b.ReportMetric(float64(len(answer.Compressed)), "B/compressed")
			b.ReportMetric(float64(len(plain.Document)), "B/plain")
		})
		b.Run(fmt.Sprintf("decode/%d", count), func(b *testing.B) {
			for b.Loop() {
				qt.Assert(b, newFixture().applyAnswer(answer, peerAddress), qt.IsNil)
			}
		})
	}
}
