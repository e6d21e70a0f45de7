package relayer

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Guards against calls, and a link, that wait for ever after a panic while an answer is read.
func TestPanicWhileAnswersAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lk := newLink(NewClient(Options{
			MaySend: func() bool { return true }, SuspendedTime: func() time.Duration { return 0 }, Log: logr.Discard(), Meter: meter.New(nil),
		}), Host{Name: "relay"})
		outcome := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := lk.do(ctx, &call{request: &messenger.WorkerRequest{}, done: make(chan result, 1)})
			outcome <- err
		}()
		synctest.Wait()
		lk.nextBatch()
		msg, batch := lk.nextBatch()
		qt.Assert(t, batch, qt.HasLen, 1)
		// A defect: the decoder writes to a map that is nil.
		lk.decoders = nil
		lk.deliverGuarded(&messenger.RelayAnswers{Answers: []*messenger.WorkerAnswer{{Number: msg.Requests[0].Number, Report: &messenger.WorkerReport{}}}})
		qt.Assert(t, <-outcome, qt.ErrorIs, modeler.ErrNoAnswer)
	})
}

// Guards against batches above the limit of the peers' listener, which refuses them: every start of a burst with large
// specifications is lost then.
func TestBatchBytes(t *testing.T) {
	for _, specBytes := range []int{0, 4 << 10, 262_000} {
		synctest.Test(t, func(t *testing.T) {
			lk := newLink(NewClient(Options{
				MaySend: func() bool { return true }, SuspendedTime: func() time.Duration { return 0 }, Log: logr.Discard(), Meter: meter.New(nil),
			}), Host{Name: "relay"})
			lk.nextBatch()
			const calls = 600
			for ix := range calls {
				start := &messenger.WorkerRequest_Start{Start: &messenger.StartRun{Task: make([]byte, 2000)}}
				request := &messenger.WorkerRequest{Number: int64(ix) + 1, Kind: start}
				lk.queue = append(lk.queue, &call{request: request, spec: strings.Repeat("s", specBytes) + string(rune('a'+ix%20))})
			}
			lk.exchange = 1
			taken := 0
			for taken < calls {
				msg, batch := lk.nextBatch()
				qt.Assert(t, len(batch) > 0, qt.IsTrue)
				qt.Assert(t, proto.Size(msg) <= MaxBatchBytes, qt.IsTrue, qt.Commentf("%d bytes", proto.Size(msg)))
				qt.Check(t, lk.behind, qt.Equals, len(lk.queue) > 0)
				taken += len(batch)
			}
			qt.Check(t, lk.queue, qt.HasLen, 0)
		})
	}
}
