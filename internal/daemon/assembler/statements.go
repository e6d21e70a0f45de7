package assembler

import (
	"context"
	"errors"
	"fmt"

	"github.com/currantrouter/currantrouter/internal/batch/relayer"
	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/operator/server"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// Resolve implements server.Statements. The name of a job does not contain its data centre, so
// Resolve asks one leader after the other. Only one of them has the task, so it stops at the first
// whose result is unknown.
func (bb batchBackend) Resolve(ctx context.Context, rs server.Resolution) error {
	failed := server.ErrNotFound
	for _, dc := range bb.dataCentres() {
		err := bb.sendStatement(dc, func(bt messenger.Batch) error {
			_, err := bt.Resolve(ctx, &messenger.TaskResolution{Job: rs.Job, Number: int32(rs.Task), RunAgain: rs.RunAgain})
			return err
		})
		switch {
		case err == nil, errors.Is(err, storer.ErrResultUnknown):
			return err
		case !errors.Is(err, server.ErrNotFound):
			failed = err
		}
	}
	return failed
}

// DeclareWorkerGone implements server.Statements. It asks the leader of the worker's data centre,
// which alone schedules tasks on the worker.
func (bb batchBackend) DeclareWorkerGone(ctx context.Context, wg server.WorkerGone) error {
	dc, err := bb.dataCentreOf(ctx, wg.Worker)
	if err != nil {
		return err
	}
	return bb.sendStatement(dc, func(bt messenger.Batch) error {
		_, err := bt.WorkerGone(ctx, &messenger.WorkerName{Name: string(wg.Worker)})
		return err
	})
}

func (bb batchBackend) dataCentreOf(ctx context.Context, name modeler.WorkerName) (modeler.DataCentreName, error) {
	ctx, cancel := context.WithTimeout(ctx, bb.dm.settings.Limits.StoreTimeout)
	defer cancel()
	all, err := bb.dm.platform.Hosts.Workers(ctx)
	if err != nil {
		return "", fmt.Errorf("%w: list of workers: %w", storer.ErrUnavailable, err)
	}
	for _, wk := range all {
		if wk.Name == name {
			return wk.DataCentre, nil
		}
	}
	return "", fmt.Errorf("worker %s: %w", name, server.ErrNotFound)
}

// sendStatement sends an operator's statement to the leader of a data centre and maps the errors to
// those of package server.
func (bb batchBackend) sendStatement(dc modeler.DataCentreName, send func(messenger.Batch) error) error {
	bt, err := bb.leaderOf(dc)
	if err != nil {
		return errors.Join(server.ErrLeaderUnreachable, err)
	}
	err = relayer.DecodeError(send(bt))
	switch {
	case err == nil:
		return nil
	case errors.Is(err, relayer.ErrNotFound):
		return fmt.Errorf("%w: %w", server.ErrNotFound, err)
	case errors.Is(err, relayer.ErrLeaderUnreachable):
		return errors.Join(server.ErrLeaderUnreachable, err)
	}
	return errors.Join(storer.ErrResultUnknown, err)
}
