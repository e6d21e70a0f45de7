package scheduler

import (
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// ledger is the recorded state of a data centre's batch work. It changes only by records, so that a
// replay of the journal gives the same state. Every record may be applied twice: the second time
// changes nothing.
type ledger struct {
	jobs   map[uint64]*job
	byName map[string]*job
	byTeam map[string]map[uint64]*job
	byDay  map[string]map[uint64]*job
	// lastJob is the greatest number given to a job.
	lastJob uint64
}

func newLedger() *ledger {
	return &ledger{
		jobs:   make(map[uint64]*job),
		byName: make(map[string]*job),
		byTeam: make(map[string]map[uint64]*job),
		byDay:  make(map[string]map[uint64]*job),
	}
}

// apply changes the state by one durable record.
func (ld *ledger) apply(rm *RecordMessage, now time.Time) {
	switch rc := rm.GetRecord().(type) {
	case *RecordMessage_Submit:
		for _, jm := range rc.Submit.GetJobs() {
			ld.submit(jm)
		}
	case *RecordMessage_Start:
		ld.start(rc.Start)
	case *RecordMessage_End:
		ld.end(rc.End, now)
	case *RecordMessage_Evict:
		if tk := ld.active(rc.Evict.GetJob(), rc.Evict.GetTask(), rc.Evict.GetAttempt()); tk != nil {
			tk.phase = phaseCheckpointing
		}
	case *RecordMessage_Cancel:
		ld.closeJobs(rc.Cancel.GetJobs(), now, func(jb *job) { jb.cancelled = true })
	case *RecordMessage_Drop:
		ld.closeJobs(rc.Drop.GetJobs(), now, func(jb *job) { jb.dropped = !jb.begun })
	case *RecordMessage_CannotRun:
		ld.closeJobs([]uint64{rc.CannotRun.GetJob()}, now, func(jb *job) {
			jb.cannotRun = true
			jb.reasons = rc.CannotRun.GetReasons()
		})
	case *RecordMessage_Resolve:
		ld.resolve(rc.Resolve, now)
	}
}

// submit adds a job, or replaces one of the same name that has not begun.
func (ld *ledger) submit(jm *JobMessage) {
	ld.lastJob = max(ld.lastJob, jm.GetId())
	if old, ok := ld.byName[jm.GetName()]; ok {
		if !replaceable(old) {
			return
		}
		ld.remove(old)
		// The old object may still be in the queue.
		old.held = true
	}
	ld.insert(jobFromMessage(jm))
}

// replaceable reports whether a new sheet may change the job: nothing of it has begun and no
// operator has cancelled it.
func replaceable(jb *job) bool { return !jb.begun && !jb.cancelled && !jb.cannotRun }

func (ld *ledger) insert(jb *job) {
	ld.jobs[jb.id] = jb
	ld.byName[jb.Name] = jb
	index(ld.byTeam, jb.Team, jb)
	index(ld.byDay, jb.Day, jb)
}

func (ld *ledger) remove(jb *job) {
	delete(ld.jobs, jb.id)
	delete(ld.byName, jb.Name)
	unindex(ld.byTeam, jb.Team, jb)
	unindex(ld.byDay, jb.Day, jb)
}

func index(ix map[string]map[uint64]*job, key string, jb *job) {
	if ix[key] == nil {
		ix[key] = make(map[uint64]*job)
	}
	ix[key][jb.id] = jb
}

func unindex(ix map[string]map[uint64]*job, key string, jb *job) {
	delete(ix[key], jb.id)
	if len(ix[key]) == 0 {
		delete(ix, key)
	}
}

// start ignores an attempt that is not newer than the last one.
func (ld *ledger) start(sm *StartMessage) {
	jb, ok := ld.jobs[sm.GetJob()]
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
	jb.begun = true
	jb.active++
	tk.phase = phaseActive
	tk.attempt = int(sm.GetAttempt())
	tk.worker = modeler.WorkerName(sm.GetWorker())
	tk.epoch = modeler.Epoch(sm.GetEpoch())
	tk.startBefore = time.UnixMilli(sm.GetStartBefore())
	tk.reservation = resourcesFromMessage(sm.GetReservation())
	tk.reason = ""
}

// active returns the task if the attempt is its last one and has not ended, otherwise nil.
func (ld *ledger) active(id uint64, no, attempt uint32) *task {
	jb, ok := ld.jobs[id]
	if !ok || int(no) >= len(jb.tasks) {
		return nil
	}
	tk := &jb.tasks[no]
	if tk.attempt != int(attempt) || (tk.phase != phaseActive && tk.phase != phaseCheckpointing) {
		return nil
	}
	return tk
}

func (ld *ledger) end(em *EndMessage, now time.Time) {
	tk := ld.active(em.GetJob(), em.GetTask(), em.GetAttempt())
	if tk == nil {
		return
	}
	jb := ld.jobs[em.GetJob()]
	jb.active--
	if em.GetCheckpoint() != "" {
		tk.checkpoint = em.GetCheckpoint()
	}
	tk.reason = em.GetReason()
	tk.resuming = tk.resuming || em.GetCause() == EndCause_END_CAUSE_STOPPED
	tk.phase = phaseAfter(jb, tk, em.GetCause())
	if tk.phase > phaseEvicted {
		jb.ended++
	}
	markFinished(jb, now)
}

// phaseAfter decides what becomes of a task when its attempt has ended.
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
		return phaseToResume(jb, tk)
	case EndCause_END_CAUSE_STOPPED:
		// A stopped task that must not be repeated can go on only from a checkpoint.
		if !jb.Repeatable && tk.checkpoint == "" && !jb.cancelled {
			return phaseUnknown
		}
		return phaseToResume(jb, tk)
	default:
		if !jb.Repeatable {
			return phaseUnknown
		}
		return phaseToResume(jb, tk)
	}
}

func phaseToResume(jb *job, tk *task) phase {
	switch {
	case jb.cancelled:
		return phaseCancelled
	case tk.resuming:
		return phaseEvicted
	}
	return phaseWaiting
}

func (ld *ledger) closeJobs(ids []uint64, now time.Time, mark func(*job)) {
	for _, id := range ids {
		if jb, ok := ld.jobs[id]; ok && !jb.finished() {
			mark(jb)
			markFinished(jb, now)
		}
	}
}

func (ld *ledger) resolve(rm *ResolveMessage, now time.Time) {
	jb, ok := ld.jobs[rm.GetJob()]
	if !ok || int(rm.GetTask()) >= len(jb.tasks) {
		return
	}
	tk := &jb.tasks[rm.GetTask()]
	if tk.phase != phaseUnknown || tk.attempt != int(rm.GetAttempt()) {
		return
	}
	tk.phase = phaseDone
	if rm.GetRunAgain() {
		tk.phase = phaseToResume(jb, tk)
		jb.ended--
		jb.endedAt = time.Time{}
	}
	markFinished(jb, now)
}

func markFinished(jb *job, now time.Time) {
	if jb.finished() && jb.endedAt.IsZero() {
		jb.endedAt = now
	}
}

// prune removes jobs that finished before a time.
func (ld *ledger) prune(before time.Time) {
	for _, jb := range ld.jobs {
		if jb.finished() && !jb.endedAt.IsZero() && jb.endedAt.Before(before) {
			ld.remove(jb)
		}
	}
}

// rebuildWaiting computes the lists of waiting tasks after a replay.
func (ld *ledger) rebuildWaiting() {
	for _, jb := range ld.jobs {
		jb.next, jb.again = 0, nil
		for no := range jb.tasks {
			if jb.tasks[no].attempt > 0 {
				jb.next = no + 1
			}
		}
		for no := range jb.next {
			if jb.tasks[no].phase == phaseWaiting || jb.tasks[no].phase == phaseEvicted {
				jb.again = append(jb.again, no)
			}
		}
	}
}
