package scheduler

import (
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// stateMachine is the recorded state of a data centre's batch work. Only records change it, so that
// a replay of the journal gives the same state. Records are idempotent.
type stateMachine struct {
	jobs   map[uint64]*job
	byName map[string]*job
	byTeam map[string]map[uint64]*job
	byDay  map[string]map[uint64]*job
	// lastJob is the highest number assigned to a job.
	lastJob uint64
	// term is the last record of a term, nil if there is none.
	term *TermMessage
	// leaseBounds has the recorded ends of the leases on workers, on the journal's clock.
	leaseBounds map[modeler.WorkerName]time.Duration
	// quarantined has the workers in quarantine.
	quarantined map[modeler.WorkerName]bool
}

func newStateMachine() *stateMachine {
	return &stateMachine{
		jobs:   make(map[uint64]*job),
		byName: make(map[string]*job),
		byTeam: make(map[string]map[uint64]*job),
		byDay:  make(map[string]map[uint64]*job),

		leaseBounds: make(map[modeler.WorkerName]time.Duration),
		quarantined: make(map[modeler.WorkerName]bool),
	}
}

// apply applies one durable record. Now becomes the end time of jobs that the record finishes.
func (st *stateMachine) apply(rm *RecordMessage, now time.Time) {
	switch rc := rm.GetRecord().(type) {
	case *RecordMessage_Submit:
		for _, jm := range rc.Submit.GetJobs() {
			st.applySubmit(jm)
		}
	case *RecordMessage_Start:
		st.applyStart(rc.Start)
	case *RecordMessage_End:
		st.applyEnd(rc.End, now)
	case *RecordMessage_Evict:
		if tk := st.activeTask(rc.Evict.GetJob(), rc.Evict.GetTask(), rc.Evict.GetAttempt()); tk != nil {
			tk.phase = phaseCheckpointing
		}
	case *RecordMessage_Cancel:
		st.closeJobs(rc.Cancel.GetJobs(), now, func(jb *job) { jb.cancelled = true })
	case *RecordMessage_Drop:
		st.closeJobs(rc.Drop.GetJobs(), now, func(jb *job) { jb.dropped = !jb.started })
	case *RecordMessage_CannotRun:
		st.closeJobs([]uint64{rc.CannotRun.GetJob()}, now, func(jb *job) {
			jb.cannotRun = true
			jb.reasons = rc.CannotRun.GetReasons()
		})
	case *RecordMessage_Resolve:
		st.applyResolve(rc.Resolve, now)
	case *RecordMessage_Term:
		if rc.Term.GetBoundsVoid() {
			clear(st.leaseBounds)
		}
		st.term = rc.Term
	case *RecordMessage_LeaseBound:
		st.applyLeaseBound(rc.LeaseBound)
	case *RecordMessage_LeaseRelease:
		delete(st.leaseBounds, modeler.WorkerName(rc.LeaseRelease.GetWorker()))
	case *RecordMessage_Quarantine:
		st.applyQuarantine(rc.Quarantine)
	}
}

func (st *stateMachine) applyQuarantine(qm *QuarantineMessage) {
	if name := modeler.WorkerName(qm.GetWorker()); qm.GetEnded() {
		delete(st.quarantined, name)
	} else {
		st.quarantined[name] = true
	}
}

func (st *stateMachine) applyLeaseBound(lm *LeaseBoundMessage) {
	st.leaseBounds[modeler.WorkerName(lm.GetWorker())] = time.Duration(lm.GetUntil()) * time.Millisecond
}

// applySubmit adds a job, or replaces the job of the same name if it is replaceable.
func (st *stateMachine) applySubmit(jm *JobMessage) {
	st.lastJob = max(st.lastJob, jm.GetId())
	if old, ok := st.byName[jm.GetName()]; ok {
		if !replaceable(old) {
			return
		}
		st.removeJob(old)
		// The old job may still be in the queue and must not start.
		old.changePending = true
	}
	st.insertJob(jobFromMessage(jm))
}

// replaceable reports whether a new submission replaces the job: no task was started, and the job
// was neither cancelled nor marked as CannotRun.
func replaceable(jb *job) bool { return !jb.started && !jb.cancelled && !jb.cannotRun }

func (st *stateMachine) insertJob(jb *job) {
	st.jobs[jb.id] = jb
	st.byName[jb.Name] = jb
	addToIndex(st.byTeam, jb.Team, jb)
	addToIndex(st.byDay, jb.Day, jb)
}

func (st *stateMachine) removeJob(jb *job) {
	delete(st.jobs, jb.id)
	delete(st.byName, jb.Name)
	removeFromIndex(st.byTeam, jb.Team, jb)
	removeFromIndex(st.byDay, jb.Day, jb)
}

func addToIndex(ix map[string]map[uint64]*job, key string, jb *job) {
	if ix[key] == nil {
		ix[key] = make(map[uint64]*job)
	}
	ix[key][jb.id] = jb
}

func removeFromIndex(ix map[string]map[uint64]*job, key string, jb *job) {
	delete(ix[key], jb.id)
	if len(ix[key]) == 0 {
		delete(ix, key)
	}
}

// applyStart ignores an attempt that is not newer than the last one.
func (st *stateMachine) applyStart(sm *StartMessage) {
	jb, ok := st.jobs[sm.GetJob()]
	no := int(sm.GetTask())
	if !ok || no >= jb.Tasks {
		return
	}
	if jb.tasks == nil {
		jb.tasks = make([]task, jb.Tasks)
	}
	tk := &jb.tasks[no]
	if int(sm.GetAttempt()) <= tk.attempt {
		return
	}
	jb.started = true
	jb.activeTasks++
	tk.phase = phaseActive
	tk.attempt = int(sm.GetAttempt())
	tk.worker = modeler.WorkerName(sm.GetWorker())
	tk.epoch = modeler.Epoch(sm.GetEpoch())
	tk.startBefore = time.UnixMilli(sm.GetStartBefore())
	tk.reservation = resourcesFromMessage(sm.GetReservation())
	tk.reason = ""
}

// activeTask returns the task if the attempt is its last one and has not ended, nil otherwise.
func (st *stateMachine) activeTask(id uint64, no, attempt uint32) *task {
	jb, ok := st.jobs[id]
	if !ok || int(no) >= len(jb.tasks) {
		return nil
	}
	tk := &jb.tasks[no]
	if tk.attempt != int(attempt) || (tk.phase != phaseActive && tk.phase != phaseCheckpointing) {
		return nil
	}
	return tk
}

func (st *stateMachine) applyEnd(em *EndMessage, now time.Time) {
	tk := st.activeTask(em.GetJob(), em.GetTask(), em.GetAttempt())
	if tk == nil {
		return
	}
	jb := st.jobs[em.GetJob()]
	jb.activeTasks--
	if em.GetCheckpoint() != "" {
		tk.checkpoint = em.GetCheckpoint()
	}
	tk.reason = em.GetReason()
	tk.resuming = tk.resuming || em.GetCause() == EndCause_END_CAUSE_STOPPED
	tk.phase = phaseAfter(jb, tk, em.GetCause())
	if tk.phase > phaseEvicted {
		jb.endedTasks++
	}
	markFinished(jb, now)
}

// phaseAfter returns the phase of a task after its attempt has ended.
func phaseAfter(jb *job, tk *task, cause EndCause) phase {
	switch cause {
	case EndCause_END_CAUSE_DONE:
		return phaseDone
	case EndCause_END_CAUSE_FAILED:
		if !jb.Repeatable || jb.cancelled {
			return phaseFailed
		}
		return phaseWaiting
	case EndCause_END_CAUSE_NOT_STARTED:
		return phaseAfterRequeue(jb, tk)
	case EndCause_END_CAUSE_STOPPED:
		// A stopped task that is not repeatable can continue only from a checkpoint.
		if !jb.Repeatable && tk.checkpoint == "" && !jb.cancelled {
			return phaseUnknown
		}
		return phaseAfterRequeue(jb, tk)
	default:
		if !jb.Repeatable {
			return phaseUnknown
		}
		return phaseAfterRequeue(jb, tk)
	}
}

// phaseAfterRequeue returns the phase of a task that may run again.
func phaseAfterRequeue(jb *job, tk *task) phase {
	switch {
	case jb.cancelled:
		return phaseCancelled
	case tk.resuming:
		return phaseEvicted
	}
	return phaseWaiting
}

func (st *stateMachine) closeJobs(ids []uint64, now time.Time, mark func(*job)) {
	for _, id := range ids {
		if jb, ok := st.jobs[id]; ok && !jb.finished() {
			mark(jb)
			markFinished(jb, now)
		}
	}
}

func (st *stateMachine) applyResolve(rm *ResolveMessage, now time.Time) {
	jb, ok := st.jobs[rm.GetJob()]
	if !ok || int(rm.GetTask()) >= len(jb.tasks) {
		return
	}
	tk := &jb.tasks[rm.GetTask()]
	if tk.phase != phaseUnknown || tk.attempt != int(rm.GetAttempt()) {
		return
	}
	tk.phase = phaseDone
	if rm.GetRunAgain() {
		tk.phase = phaseAfterRequeue(jb, tk)
		jb.endedTasks--
		jb.endedAt = time.Time{}
	}
	markFinished(jb, now)
}

func markFinished(jb *job, now time.Time) {
	if jb.finished() && jb.endedAt.IsZero() {
		jb.endedAt = now
	}
}

// prune removes the jobs that finished before a time.
func (st *stateMachine) prune(before time.Time) {
	for _, jb := range st.jobs {
		if jb.finished() && !jb.endedAt.IsZero() && jb.endedAt.Before(before) {
			st.removeJob(jb)
		}
	}
}

// rebuildWaitingTasks recomputes nextUnstarted and requeued of all jobs after a replay.
func (st *stateMachine) rebuildWaitingTasks() {
	for _, jb := range st.jobs {
		jb.nextUnstarted, jb.requeued = 0, nil
		for no := range jb.tasks {
			if jb.tasks[no].attempt > 0 {
				jb.nextUnstarted = no + 1
			}
		}
		for no := range jb.nextUnstarted {
			if jb.tasks[no].phase == phaseWaiting || jb.tasks[no].phase == phaseEvicted {
				jb.requeued = append(jb.requeued, no)
			}
		}
	}
}
