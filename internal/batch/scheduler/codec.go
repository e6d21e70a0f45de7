package scheduler

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// maxPartBytes bounds one part of a snapshot, with a margin below the store's limit of 1 MB.
const maxPartBytes = 768 << 10

func encode(rm *RecordMessage) []byte {
	data, err := proto.Marshal(rm)
	if err != nil {
		// Marshal fails only for strings that are not UTF-8. All strings come from JSON or CSV, and
		// Submit has validated them.
		panic(fmt.Sprintf("encode a record: %v", err))
	}
	return data
}

func resourcesToMessage(rs supervisor.Resources) *ResourcesMessage {
	return &ResourcesMessage{Millicores: rs.Millicores, MemoryBytes: rs.MemoryBytes, Accelerators: rs.Accelerators}
}

func resourcesFromMessage(rm *ResourcesMessage) supervisor.Resources {
	return supervisor.Resources{
		Millicores: rm.GetMillicores(), MemoryBytes: rm.GetMemoryBytes(), Accelerators: rm.GetAccelerators(),
	}
}

func millisOf(tm time.Time) int64 {
	if tm.IsZero() {
		return 0
	}
	return tm.UnixMilli()
}

func timeOf(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}

func jobToMessage(id uint64, jb Job, submitted time.Time) *JobMessage {
	return &JobMessage{
		Id: id, Name: jb.Name, Team: jb.Team, Kind: jb.Kind, Day: jb.Day,
		Priority: int64(jb.Priority), Urgent: jb.Urgent, Tasks: int64(jb.Tasks),
		Declared: resourcesToMessage(jb.Declared), RunTime: jb.RunTime.Milliseconds(),
		NotBefore: millisOf(jb.NotBefore), Deadline: millisOf(jb.Deadline),
		Repeatable: jb.Repeatable, Checkpoint: jb.CanCheckpoint, LatencyCritical: jb.LatencyCritical,
		PerRack: int64(jb.MaxPerRack), Submitted: millisOf(submitted),
	}
}

func jobFromMessage(jm *JobMessage) *job {
	return &job{
		id:        jm.GetId(),
		submitted: timeOf(jm.GetSubmitted()),
		Job: Job{
			Name: jm.GetName(), Team: jm.GetTeam(), Kind: jm.GetKind(), Day: jm.GetDay(),
			Priority: int(jm.GetPriority()), Urgent: jm.GetUrgent(), Tasks: int(jm.GetTasks()),
			Declared:  resourcesFromMessage(jm.GetDeclared()),
			RunTime:   time.Duration(jm.GetRunTime()) * time.Millisecond,
			NotBefore: timeOf(jm.GetNotBefore()), Deadline: timeOf(jm.GetDeadline()),
			Repeatable: jm.GetRepeatable(), CanCheckpoint: jm.GetCheckpoint(),
			LatencyCritical: jm.GetLatencyCritical(), MaxPerRack: int(jm.GetPerRack()),
		},
	}
}

func (st *stateMachine) encodeJob(jb *job) *JobStateMessage {
	jm := &JobStateMessage{
		Job:       jobToMessage(jb.id, jb.Job, jb.submitted),
		Cancelled: jb.cancelled, Dropped: jb.dropped, CannotRun: jb.cannotRun,
		Reasons: jb.reasons, Begun: jb.started, Ended: millisOf(jb.endedAt),
	}
	for no := range jb.tasks {
		if tk := &jb.tasks[no]; tk.attempt > 0 {
			jm.Tasks = append(jm.Tasks, taskToMessage(no, tk))
		}
	}
	return jm
}

func taskToMessage(no int, tk *task) *TaskStateMessage {
	tm := &TaskStateMessage{
		Task: uint32(no), State: uint32(tk.phase), Attempt: uint32(tk.attempt),
		Checkpoint: tk.checkpoint, Reason: tk.reason, Resuming: tk.resuming,
	}
	if tk.phase == phaseActive || tk.phase == phaseCheckpointing {
		tm.Worker, tm.Epoch = string(tk.worker), int64(tk.epoch)
		tm.StartBefore, tm.Reservation = millisOf(tk.startBefore), resourcesToMessage(tk.reservation)
	}
	return tm
}

func (st *stateMachine) decodeJob(jm *JobStateMessage) {
	jb := jobFromMessage(jm.GetJob())
	jb.cancelled, jb.dropped, jb.cannotRun = jm.GetCancelled(), jm.GetDropped(), jm.GetCannotRun()
	jb.reasons, jb.started, jb.endedAt = jm.GetReasons(), jm.GetBegun(), timeOf(jm.GetEnded())
	if len(jm.GetTasks()) > 0 {
		jb.tasks = make([]task, jb.Tasks)
	}
	for _, tm := range jm.GetTasks() {
		if int(tm.GetTask()) >= len(jb.tasks) {
			continue
		}
		tk := &jb.tasks[tm.GetTask()]
		*tk = taskFromMessage(tm)
		switch {
		case tk.phase == phaseActive || tk.phase == phaseCheckpointing:
			jb.activeTasks++
		case tk.phase > phaseEvicted:
			jb.endedTasks++
		}
	}
	st.insertJob(jb)
}

func taskFromMessage(tm *TaskStateMessage) task {
	return task{
		phase: phase(tm.GetState()), attempt: int(tm.GetAttempt()),
		worker: modeler.WorkerName(tm.GetWorker()), epoch: modeler.Epoch(tm.GetEpoch()),
		startBefore: timeOf(tm.GetStartBefore()), reservation: resourcesFromMessage(tm.GetReservation()),
		checkpoint: tm.GetCheckpoint(), reason: tm.GetReason(), resuming: tm.GetResuming(),
	}
}

// export encodes the state in parts of about maxPartBytes at most. Each chunk of estimates becomes
// a part.
func (st *stateMachine) export(estimates [][]byte) ([][]byte, error) {
	var parts [][]byte
	for _, chunk := range estimates {
		data, err := proto.Marshal(&SnapshotMessage{Estimates: chunk})
		if err != nil {
			return nil, fmt.Errorf("encode estimates: %w", err)
		}
		parts = append(parts, data)
	}
	// What is known of workers is a part of its own: with 65 bytes a worker, that of 12,000 workers fits into it.
	data, err := proto.Marshal(st.encodeWorkers())
	if err != nil {
		return nil, fmt.Errorf("encode workers: %w", err)
	}
	parts = append(parts, data)
	sm := &SnapshotMessage{LastJob: st.lastJob}
	size := 0
	for _, jb := range st.jobs {
		jm := st.encodeJob(jb)
		// The tag and the length of the message take at most 8 bytes.
		grown := proto.Size(jm) + 8
		if size > 0 && size+grown > maxPartBytes {
			data, err := proto.Marshal(sm)
			if err != nil {
				return nil, fmt.Errorf("encode jobs: %w", err)
			}
			parts = append(parts, data)
			sm, size = &SnapshotMessage{LastJob: st.lastJob}, 0
		}
		sm.Jobs = append(sm.Jobs, jm)
		size += grown
	}
	data, err = proto.Marshal(sm)
	if err != nil {
		return nil, fmt.Errorf("encode jobs: %w", err)
	}
	return append(parts, data), nil
}

func (st *stateMachine) encodeWorkers() *SnapshotMessage {
	sm := &SnapshotMessage{LastJob: st.lastJob, Term: st.term}
	for name, until := range st.leaseBounds {
		sm.LeaseBounds = append(sm.LeaseBounds, &LeaseBoundMessage{Worker: string(name), Until: until.Milliseconds()})
	}
	for name := range st.quarantined {
		sm.Quarantined = append(sm.Quarantined, string(name))
	}
	return sm
}

// restore adds one part of a snapshot and returns its chunk of estimates, nil if it has none.
func (st *stateMachine) restore(part []byte) ([]byte, error) {
	var sm SnapshotMessage
	if err := proto.Unmarshal(part, &sm); err != nil {
		return nil, fmt.Errorf("decode a part of the snapshot: %w", err)
	}
	st.lastJob = max(st.lastJob, sm.GetLastJob())
	for _, jm := range sm.GetJobs() {
		st.decodeJob(jm)
	}
	if sm.GetTerm() != nil {
		st.term = sm.GetTerm()
	}
	for _, lm := range sm.GetLeaseBounds() {
		st.applyLeaseBound(lm)
	}
	for _, name := range sm.GetQuarantined() {
		st.quarantined[modeler.WorkerName(name)] = true
	}
	return sm.GetEstimates(), nil
}
