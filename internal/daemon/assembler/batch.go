package assembler

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/currantrouter/currantrouter/internal/batch/relayer"
	"github.com/currantrouter/currantrouter/internal/batch/scheduler"
	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/operator/server"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// relayTimeout bounds one question or command to a leader. A cancellation waits for the journal.
const relayTimeout = 10 * time.Second

// batchBackend shows and cancels the batch work of all data centres through their leaders.
type batchBackend struct {
	dm *Daemon
	// local answers for the data centre of this host.
	local messenger.Batch
	// client reaches other leaders.
	client *http.Client
}

func newBatchBackend(dm *Daemon) batchBackend {
	return batchBackend{
		dm: dm,
		local: relayer.NewServer(func() (relayer.Batch, bool) {
			tm := dm.leader.term.Load()
			if tm == nil {
				return nil, false
			}
			return tm.scheduler, true
		}),
		client: &http.Client{
			Timeout: relayTimeout,
			Transport: &http.Transport{
				DialContext:     dm.dialText,
				DialTLSContext:  dm.dialPeerText,
				IdleConnTimeout: time.Minute,
			},
		},
	}
}

// leaderOf returns the batch work of a data centre, or ErrLeaderUnreachable.
func (bb batchBackend) leaderOf(dc modeler.DataCentreName) (messenger.Batch, error) {
	if dc == bb.dm.settings.Host.DataCentre && bb.dm.leader.term.Load() != nil {
		return bb.local, nil
	}
	ld, ok := bb.dm.tracker.Leader(dc)
	if !ok || !ld.Address.IsValid() || ld.Host == bb.dm.settings.Host.Name {
		return nil, fmt.Errorf("%s: %w", dc, relayer.ErrLeaderUnreachable)
	}
	scheme := "https://"
	if bb.dm.auth.Insecure() {
		scheme = "http://"
	}
	return messenger.NewBatchProtobufClient(scheme+ld.Address.String(), bb.client), nil
}

func (bb batchBackend) dataCentres() []modeler.DataCentreName {
	cfg := bb.dm.configs.Current()
	if cfg == nil {
		return nil
	}
	return cfg.DataCentres
}

// cursor is the place at which a list over all data centres goes on. It is opaque to operators.
type cursor struct {
	dc   modeler.DataCentreName
	job  uint64
	task int64
}

func (cu cursor) String() string { return fmt.Sprintf("%s:%d:%d", cu.dc, cu.job, cu.task) }

func parseCursor(text string) (cursor, error) {
	var cu cursor
	if text == "" {
		return cu, nil
	}
	dc, rest, _ := strings.Cut(text, ":")
	cu.dc = modeler.DataCentreName(dc)
	if _, err := fmt.Sscanf(rest, "%d:%d", &cu.job, &cu.task); err != nil {
		return cu, fmt.Errorf("%w: After is not the Next of an earlier answer", server.ErrRequest)
	}
	return cu, nil
}

// page is what a walk over the data centres has collected.
type page struct {
	next        string
	unreachable []modeler.DataCentreName
}

// walk asks the leaders in the order of the configuration, from the cursor on, until the limit is
// reached. Fetch returns the number of entries and the position of the last one.
func (bb batchBackend) walk(after string, limit int, fetch func(bt messenger.Batch, from cursor, limit int) (int, cursor, error)) (page, error) {
	from, err := parseCursor(after)
	if err != nil {
		return page{}, err
	}
	var pg page
	dcs := bb.dataCentres()
	start := max(0, slices.Index(dcs, from.dc))
	for idx, dc := range dcs[start:] {
		if idx > 0 || from.dc != dc {
			from = cursor{dc: dc}
		}
		bt, err := bb.leaderOf(dc)
		if err != nil {
			pg.unreachable = append(pg.unreachable, dc)
			continue
		}
		num, last, err := fetch(bt, from, limit)
		if err != nil {
			pg.unreachable = append(pg.unreachable, dc)
			continue
		}
		limit -= num
		if limit <= 0 {
			last.dc = dc
			pg.next = last.String()
			return pg, nil
		}
	}
	return pg, nil
}

// Jobs implements server.Batch.
func (bb batchBackend) Jobs(ctx context.Context, qr server.JobQuery) (server.Jobs, error) {
	var out server.Jobs
	pg, err := bb.walk(qr.After, qr.Limit, func(bt messenger.Batch, from cursor, limit int) (int, cursor, error) {
		list, err := bt.Jobs(ctx, &messenger.BatchQuery{
			Day: qr.Day, Team: qr.Team, AfterJob: from.job, AfterTask: from.task, Limit: int32(limit),
		})
		if err != nil {
			return 0, from, err
		}
		for _, en := range list.Jobs {
			if jb := jobOf(en, from.dc); qr.State == "" || qr.State == jb.State {
				out.Jobs = append(out.Jobs, jb)
			}
			from.job, from.task = en.Position, 0
		}
		return len(list.Jobs), from, nil
	})
	out.Next, out.Unreachable = pg.next, pg.unreachable
	return out, err
}

// jobOf describes a job. Its state is that of its tasks if they all share one, else Running.
func jobOf(en *messenger.JobEntry, dc modeler.DataCentreName) server.Job {
	jb := server.Job{
		ID:         en.Name,
		Team:       en.Team,
		Priority:   int(en.Priority),
		Urgent:     en.Urgent,
		DataCentre: dc,
		Tasks:      map[string]int{},
		NotBefore:  timeOf(en.NotBeforeMillis),
		Deadline:   timeOf(en.DeadlineMillis),
	}
	for st, num := range en.States {
		jb.Tasks[st] = int(num)
		if num == en.Tasks {
			jb.State = st
		}
	}
	jb.State = cmp.Or(jb.State, string(scheduler.Running))
	if len(en.Reasons) > 0 {
		jb.Reason = en.Reasons[0]
	}
	return jb
}

func timeOf(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis).UTC()
}

// Tasks implements server.Batch.
func (bb batchBackend) Tasks(ctx context.Context, qr server.TaskQuery) (server.Tasks, error) {
	var out server.Tasks
	pg, err := bb.walk(qr.After, qr.Limit, func(bt messenger.Batch, from cursor, limit int) (int, cursor, error) {
		list, err := bt.Tasks(ctx, &messenger.BatchQuery{
			Job: qr.Job, State: qr.State, AfterJob: from.job, AfterTask: from.task, Limit: int32(limit),
		})
		if err != nil {
			return 0, from, err
		}
		for _, en := range list.Tasks {
			if qr.Worker == "" || string(qr.Worker) == en.Worker {
				out.Tasks = append(out.Tasks, taskOf(en))
			}
			from.job, from.task = en.PositionJob, en.PositionTask
		}
		return len(list.Tasks), from, nil
	})
	out.Next, out.Unreachable = pg.next, pg.unreachable
	return out, err
}

func taskOf(en *messenger.TaskEntry) server.Task {
	return server.Task{
		Job:     en.Job,
		Number:  int(en.Number),
		State:   en.State,
		Attempt: int(en.Attempt),
		Worker:  modeler.WorkerName(en.Worker),
		Reason:  en.Reason,
		Reservation: supervisor.Resources{
			Millicores:   en.Millicores,
			MemoryBytes:  en.MemoryBytes,
			Accelerators: en.Accelerators,
		},
	}
}

// Explain implements server.Batch. It asks the leaders in turn, since a job's name does not tell
// its data centre.
func (bb batchBackend) Explain(ctx context.Context, job string, task int) (server.Explanation, error) {
	failed := server.ErrNotFound
	for _, dc := range bb.dataCentres() {
		bt, err := bb.leaderOf(dc)
		if err == nil {
			var ex *messenger.TaskExplanation
			ex, err = bt.Explain(ctx, &messenger.TaskName{Job: job, Number: int32(task)})
			if err == nil {
				return server.Explanation{Task: taskOf(ex.Task), Reasons: ex.Reasons}, nil
			}
			err = relayer.DecodeError(err)
		}
		if !errors.Is(err, relayer.ErrNotFound) {
			failed = server.ErrLeaderUnreachable
		}
	}
	return server.Explanation{}, failed
}

// Cancel implements server.Batch. When a leader could not be asked, the others have cancelled what
// was theirs; cancelling again does no harm.
func (bb batchBackend) Cancel(ctx context.Context, sl server.Selector) (int, error) {
	total := 0
	var failed error
	for _, dc := range bb.dataCentres() {
		num, err := bb.cancelAt(ctx, dc, sl)
		total += num
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", dc, err))
		}
	}
	switch {
	case failed != nil:
		return total, failed
	case total == 0 && len(sl.Jobs) > 0:
		return 0, server.ErrNotFound
	}
	return total, nil
}

func (bb batchBackend) cancelAt(ctx context.Context, dc modeler.DataCentreName, sl server.Selector) (int, error) {
	bt, err := bb.leaderOf(dc)
	if err != nil {
		return 0, errors.Join(server.ErrLeaderUnreachable, err)
	}
	rs, err := bt.Cancel(ctx, &messenger.JobSelector{Jobs: sl.Jobs, Team: sl.Team, Day: sl.Day})
	err = relayer.DecodeError(err)
	switch {
	case errors.Is(err, relayer.ErrLeaderUnreachable):
		return 0, errors.Join(server.ErrLeaderUnreachable, err)
	case err != nil:
		return 0, errors.Join(storer.ErrResultUnknown, err)
	}
	return int(rs.Jobs), nil
}

// Begun implements importer.Progress. It fails unless all leaders have answered.
func (bb batchBackend) Begun(ctx context.Context, day string) (map[string]bool, error) {
	begun := map[string]bool{}
	after := ""
	for {
		list, err := bb.Jobs(ctx, server.JobQuery{Day: day, After: after, Limit: server.MaxPage})
		if err != nil {
			return nil, err
		}
		if len(list.Unreachable) > 0 {
			return nil, fmt.Errorf("%w: %v", server.ErrLeaderUnreachable, list.Unreachable)
		}
		for _, jb := range list.Jobs {
			idle := jb.Tasks[string(scheduler.Waiting)] + jb.Tasks[string(scheduler.CannotRun)] + jb.Tasks[string(scheduler.Dropped)]
			begun[jb.ID] = idle < sum(jb.Tasks)
		}
		if list.Next == "" {
			return begun, nil
		}
		after = list.Next
	}
}

func sum(counts map[string]int) int {
	total := 0
	for _, num := range counts {
		total += num
	}
	return total
}
