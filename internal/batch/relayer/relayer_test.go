package relayer_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/twitchtv/twirp"

	"github.com/currantrouter/currantrouter/internal/batch/relayer"
	"github.com/currantrouter/currantrouter/internal/batch/scheduler"
	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// batch returns the same error from every method.
type batch struct{ err error }

func (bt batch) Jobs(context.Context, scheduler.Query) ([]scheduler.JobStatus, error) {
	return nil, bt.err
}

func (bt batch) Tasks(context.Context, scheduler.Query) ([]scheduler.TaskStatus, error) {
	return nil, bt.err
}

func (bt batch) Explain(context.Context, string, int) (scheduler.Explanation, error) {
	return scheduler.Explanation{}, bt.err
}

func (bt batch) Cancel(context.Context, scheduler.Selector) (int, error) { return 0, bt.err }

func (bt batch) Resolve(context.Context, string, int, bool) error { return bt.err }

func (bt batch) WorkerGone(context.Context, modeler.WorkerName) error { return bt.err }

// Guards against a command whose result is unknown being reported as one without effect, and vice
// versa.
func TestCommandErrors(t *testing.T) {
	for _, tc := range []struct {
		name    string
		err     error
		leading bool
		want    error
	}{
		{"accepted", nil, true, nil},
		{"not leading", nil, false, relayer.ErrLeaderUnreachable},
		{"deposed", scheduler.ErrDeposed, true, relayer.ErrLeaderUnreachable},
		{"unknown task", scheduler.ErrUnknownTask, true, relayer.ErrNotFound},
		{"store unavailable", storer.ErrUnavailable, true, relayer.ErrLeaderUnreachable},
		{"result unknown", storer.ErrResultUnknown, true, relayer.ErrResultUnknown},
		{"other", errors.New("anything else"), true, relayer.ErrResultUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sv := relayer.NewServer(func() (relayer.Batch, bool) { return batch{tc.err}, tc.leading })
			_, err := sv.Cancel(t.Context(), &messenger.JobSelector{Day: "2026-12-04"})
			err = relayer.DecodeError(err)
			if tc.want == nil {
				qt.Check(t, err, qt.IsNil)
				return
			}
			qt.Check(t, err, qt.ErrorIs, tc.want)
		})
	}
	t.Run("lost answer", func(t *testing.T) {
		err := relayer.DecodeError(twirp.InternalErrorWith(context.DeadlineExceeded))
		qt.Check(t, err, qt.ErrorIs, relayer.ErrResultUnknown)
	})
}
