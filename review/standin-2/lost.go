package main

import "time"

const (
	// finish is finish_s: from this time after the end of the traffic the last part of LOST holds.
	finish = 14 * time.Second
	// idleLimit is how long a job may have nothing running while there is capacity for a task whose turn has come.
	idleLimit = 3 * time.Second
)

// watchIdle looks at a job for a time and notes the rule LOST as broken once the job has had nothing running for idleLimit
// on end, while the turn of a task had come, there was capacity for it twice over on one runner that may run it, and under
// half of the service's capacity was in use.
func (wd *world) watchIdle(jb *job, span time.Duration, may func(*runner, taskName) bool) {
	var since time.Time
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		wd.mu.Lock()
		task, rn := wd.idleTask(jb, may)
		now := time.Now()
		switch {
		case rn == nil:
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) > idleLimit:
			wd.violate("LOST", "job %s has had nothing running for %s: the turn of %s has come, and runner %s has capacity for it twice over", jb.id, now.Sub(since).Round(10*time.Millisecond), task, rn.id)
			wd.mu.Unlock()
			return
		}
		wd.mu.Unlock()
	}
}

// idleTask returns a task whose turn has come, and a runner for it, if the job has nothing running. The caller holds mu.
func (wd *world) idleTask(jb *job, may func(*runner, taskName) bool) (taskName, *runner) {
	var used, all int64
	for _, rn := range wd.runners {
		used, all = used+rn.used().CPU, all+rn.capacity.CPU
		for _, ru := range rn.running {
			if ru.job == jb {
				return taskName{}, nil
			}
		}
	}
	if 2*used >= all {
		return taskName{}, nil
	}
	for no, sp := range jb.Steps {
		for ix := range sp.Count {
			task := taskName{jb.id, 0, no, ix}
			if ts := wd.state(task); ts.done || jb.queue.attempts > 0 && ts.failedRuns >= jb.queue.attempts || !wd.turnHasCome(jb, sp) {
				continue
			}
			for _, rn := range wd.runners {
				if may(rn, task) && rn.used().plus(sp.room()).plus(sp.room()).fits(rn.capacity) {
					return task, rn
				}
			}
		}
	}
	return taskName{}, nil
}

func (wd *world) turnHasCome(jb *job, sp *step) bool {
	for _, before := range sp.After {
		for ix := range jb.Steps[before].Count {
			if !wd.state(taskName{jb.id, 0, before, ix}).done {
				return false
			}
		}
	}
	return true
}

// isDone reports whether all tasks of a job have ended done.
func (wd *world) isDone(jb *job) bool {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return wd.allDoneLocked(jb)
}

// runs returns how many tasks of a job are at work.
func (wd *world) runs(jb *job) int {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	count := 0
	for _, rn := range wd.runners {
		for _, ru := range rn.running {
			if ru.job == jb {
				count++
			}
		}
	}
	return count
}

// await waits until the function returns true, and reports whether it did in time.
func await(limit time.Duration, reached func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if reached() {
			return true
		}
	}
	return reached()
}

func (wd *world) allDoneLocked(jb *job) bool {
	for times := range max(jb.Repeats, 1) {
		for ix, sp := range jb.Steps {
			for index := range sp.Count {
				if !wd.state(taskName{jb.id, times, ix, index}).done {
					return false
				}
			}
		}
	}
	return true
}
