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

// relayTimeout is the timeout of a request to a leader. It covers the journal write of a
// cancellation.
const relayTimeout = 10 * time.Second

// batchBackend gives operators access to the batch work of all data centres through their leaders.
type batchBackend struct {
	dm *Daemon
	// local serves the batch work of this host's data centre while this host leads it.
	local messenger.Batch
	// client sends requests to other leaders.
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
				DialContext:     dm.dialHTTP,
				DialTLSContext:  dm.dialPeerHTTP,
				IdleConnTimeout: time.Minute,
			},
		},
	}
}

// leaderOf returns a client of the leader of a data centre, or ErrLeaderUnreachable.
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

// cursor is the position after which a list over all data centres continues. It is opaque to
// operators.
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
		return cu, fmt.Errorf("%w: After is not the Next of an earlier answer", server.ErrBadRequest)
	}
	return cu, nil
}

// pageInfo describes a page of a list over all data centres.
type pageInfo struct {
	// next is the cursor of the next page, empty for the last page.
	next string
	// unreachable has the data centres whose leaders did not answer.
	unreachable []modeler.DataCentreName
}

// forEachLeader calls fetch for the leaders in the order of the configuration, starting at the
// cursor, until the limit is reached. Fetch returns the number of entries and the position of the
// last one.
func (bb batchBackend) forEachLeader(after string, limit int, fetch func(bt messenger.Batch, from cursor, limit int) (int, cursor, error)) (pageInfo, error) {
	from, err := parseCursor(after)
	if err != nil {
		return pageInfo{}, err
	}
	var info pageInfo
	dcs := bb.dataCentres()
	start := max(0, slices.Index(dcs, from.dc))
	for idx, dc := range dcs[start:] {
		if idx > 0 || from.dc != dc {
			from = cursor{dc: dc}
		}
		bt, err := bb.leaderOf(dc)
		if err != nil {
			info.unreachable = append(info.unreachable, dc)
			continue
		}
		num, last, err := fetch(bt, from, limit)
		if err != nil {
			info.unreachable = append(info.unreachable, dc)
			continue
		}
		limit -= num
		if limit <= 0 {
			last.dc = dc
			info.next = last.String()
			return info, nil
		}
	}
	return info, nil
}

// Jobs implements server.Batch.
func (bb batchBackend) Jobs(ctx context.Context, qr server.JobQuery) (server.Jobs, error) {
	var out server.Jobs
	info, err := bb.forEachLeader(qr.After, qr.Limit, func(bt messenger.Batch, from cursor, limit int) (int, cursor, error) {
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
	out.Next, out.Unreachable = info.next, info.unreachable
	return out, err
}

// jobOf returns the description of a job. Its state is that of its tasks if they all have the same
// one, and otherwise Running.
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
	info, err := bb.forEachLeader(qr.After, qr.Limit, func(bt messenger.Batch, from cursor, limit int) (int, cursor, error) {
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
	out.Next, out.Unreachable = info.next, info.unreachable
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

// Explain implements server.Batch. The name of a job does not contain its data centre, so Explain
// asks one leader after the other.
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

// Cancel implements server.Batch. If a leader cannot be reached, the others still cancel their
// jobs. Cancel is idempotent.
func (bb batchBackend) Cancel(ctx context.Context, sl server.JobSelector) (int, error) {
	total := 0
	var failed error
	for _, dc := range bb.dataCentres() {
		num, err := bb.cancelIn(ctx, dc, sl)
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

func (bb batchBackend) cancelIn(ctx context.Context, dc modeler.DataCentreName, sl server.JobSelector) (int, error) {
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

// Begun implements importer.Progress. It fails unless all leaders answer.
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
			notBegun := jb.Tasks[string(scheduler.Waiting)] + jb.Tasks[string(scheduler.CannotRun)] + jb.Tasks[string(scheduler.Dropped)]
			begun[jb.ID] = notBegun < sum(jb.Tasks)
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
