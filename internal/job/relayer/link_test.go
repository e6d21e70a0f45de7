package relayer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

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
