package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// lateness is how much later than its call the start is carried out. The pages allow 2 to 12 s.
	lateness = 5600 * time.Millisecond
	// crashAfter and backAfter are when the runner crashes, and when it starts again under its id.
	crashAfter, backAfter = 4 * time.Second, 5 * time.Second
	// freezeAfter is when the leader's machine stands still, for freezeTime.
	freezeAfter, freezeTime = 4500 * time.Millisecond, 4 * time.Second
	// lateJob is the job whose only start gets no answer.
	lateJob = "b000000000000000"
)

// lateCase delays one start on its way to a runner, which restarts meanwhile, while the leader stands
// still. The task has ended elsewhere and its end was acknowledged.
func lateCase(wd *world) (bool, error) {
	wd.configure(7)
	var mu sync.Mutex
	var delayed *runner
	var sentAt, doneAt, ackedAt time.Time
	broken := false
	wd.fleet.delay = func(rn *runner, task string) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if !wd.trouble || delayed != nil || !strings.HasPrefix(task, lateJob) {
			return 0
		}
		delayed, sentAt = rn, time.Now()
		wd.record.write("the start of %s on its way to runner %s is delayed by %s", task, rn.id, lateness)
		return lateness
	}
	wd.fleet.onEnd = func(_ *runner, key runKey, how string) {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(key.task, lateJob) && how == "done" {
			doneAt = time.Now()
		}
	}
	wd.fleet.onAck = func(rn *runner, key runKey, how string) {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(key.task, lateJob) && how == "done" {
			ackedAt = time.Now()
			wd.record.write("lastSeen of runner %s reaches the end of %s run %d", rn.id, key.task, key.run)
		}
	}
	wd.fleet.onStart = func(rn *runner, key runKey) {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(key.task, lateJob) && !ackedAt.IsZero() {
			broken = true
			wd.record.write("TWICE: %s run %d begins on runner %s, %s after a run of it ended done", key.task, key.run, rn.id, time.Since(doneAt))
		}
	}
	for ix := range 10 {
		wd.fleet.add(fmt.Sprintf("%08x", 0xa0+ix), 8000)
	}
	if err := wd.startHosts(3); err != nil {
		return false, err
	}
	// The runners' clocks have to be ahead of that of a new life.
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() {
		for ix := 0; ; ix++ {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
			wd.submit(wd.hosts[ix%3], fmt.Sprintf("a%015x", ix), 2, 1000, time.Second)
		}
	})
	defer others.Wait()
	defer close(stop)
	if status := wd.submit(wd.hosts[0], lateJob, 1, 1000, 800*time.Millisecond); status != http.StatusOK {
		return false, blocked("job %s was answered with %d", lateJob, status)
	}
	if !wd.trouble {
		time.Sleep(12 * time.Second)
		return broken, nil
	}
	time.Sleep(time.Second)
	mu.Lock()
	rn, began := delayed, sentAt
	mu.Unlock()
	if rn == nil {
		return false, blocked("no start of job %s was sent", lateJob)
	}
	time.Sleep(time.Until(began.Add(crashAfter)))
	mu.Lock()
	acked := !ackedAt.IsZero()
	mu.Unlock()
	if !acked {
		return false, blocked("the end of job %s was not acknowledged in time", lateJob)
	}
	if err := wd.restartWhileFrozen(rn, began); err != nil {
		return false, err
	}
	return broken, nil
}

// restartWhileFrozen crashes a runner and starts it again while the leader stands still. The times count from
// when the delayed start was sent.
func (wd *world) restartWhileFrozen(rn *runner, began time.Time) error {
	wd.record.write("runner %s crashes", rn.id)
	rn.crash()
	time.Sleep(time.Until(began.Add(freezeAfter)))
	leader := wd.leader()
	if leader == nil {
		return blocked("no host leads")
	}
	wd.record.write("%s, which leads, stands still", leader.name)
	_ = leader.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(time.Until(began.Add(backAfter)))
	wd.record.write("runner %s starts again under its id", rn.id)
	rn.begin()
	time.Sleep(time.Until(began.Add(freezeAfter + freezeTime)))
	_ = leader.command.Process.Signal(syscall.SIGCONT)
	wd.record.write("%s goes on", leader.name)
	time.Sleep(3 * time.Second)
	return nil
}

// leader returns the host that has written to the store under a condition last: only the leader
// does so while nothing else changes.
func (wd *world) leader() *host {
	wd.store.mu.Lock()
	defer wd.store.mu.Unlock()
	var last item
	for key, it := range wd.store.items {
		if strings.HasPrefix(key, "Member/") && it.Revision > last.Revision {
			last = it
		}
	}
	for _, hs := range wd.hosts {
		if last.Key == "Member/"+hs.name {
			return hs
		}
	}
	return nil
}
