package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// relapseAfter is how long after its restart the runner is lost for good.
	relapseAfter = 600 * time.Millisecond
	// lastingJob is the job of one task that lasts.
	lastingJob = "c000000000000000"
	// restartBound and lostTime are from the rule: a task that lasts has to run again 6 s after its last
	// run, and does not for 3 s.
	restartBound, lostTime = 6 * time.Second, 3 * time.Second
)

// relapseCase crashes the runner of a task that lasts. The runner starts again under its id, gets the task
// again, and is lost for good.
func relapseCase(wd *world) (bool, error) {
	wd.configure(7)
	var mu sync.Mutex
	var on *runner
	var begun time.Time
	wd.fleet.onStart = func(rn *runner, key runKey) {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(key.task, lastingJob) {
			on, begun = rn, time.Now()
		}
	}
	where := func() (*runner, time.Time) {
		mu.Lock()
		defer mu.Unlock()
		return on, begun
	}
	for ix := range 10 {
		rn := wd.fleet.add(fmt.Sprintf("%08x", 0xa0+ix), 8000)
		if ix < 3 {
			rn.mu.Lock()
			rn.kind = "b"
			rn.mu.Unlock()
			rn.register()
		}
	}
	if err := wd.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	submit := func(id, spec string, cpu int64, lasts bool) error {
		wd.fleet.expect(id, 0, cpu)
		status, _ := call(http.MethodPost, wd.hosts[0].front, "/q/"+id, map[string]any{
			"spec":  spec,
			"steps": []map[string]any{{"count": 1, "cpu": cpu, "memMb": 100, "estimateMs": 500, "constraints": "b", "longRunning": lasts}},
		})
		wd.record.write("POST %s: %d", id, status)
		if status != http.StatusOK {
			return blocked("job %s was answered with %d", id, status)
		}
		return nil
	}
	// Two tasks keep the other two runners of the kind full for a while.
	first := wd.fleet.runners[0]
	if wd.trouble {
		wd.record.write("runner %s crashes", first.id)
		first.crash()
	}
	time.Sleep(300 * time.Millisecond)
	for ix := range 2 {
		if err := submit(fmt.Sprintf("f%015x", ix), "4000", 8000, false); err != nil {
			return false, err
		}
	}
	time.Sleep(700 * time.Millisecond)
	if wd.trouble {
		first.begin()
		wd.record.write("runner %s starts again under its id", first.id)
	}
	if err := submit(lastingJob, "3600000", 3000, true); err != nil {
		return false, err
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if rn, _ := where(); rn != nil {
			break
		}
		if time.Now().After(end) {
			return false, blocked("the task that lasts does not begin")
		}
	}
	rn, _ := where()
	if !wd.trouble {
		time.Sleep(12 * time.Second)
		return false, nil
	}
	if rn != first {
		return false, blocked("the task that lasts began on runner %s", rn.id)
	}
	time.Sleep(relapseAfter)
	return wd.loseAndWait(rn, where), nil
}

// loseAndWait loses a runner for good, and reports whether the task that lasts runs again too late.
func (wd *world) loseAndWait(rn *runner, where func() (*runner, time.Time)) bool {
	lost := time.Now()
	wd.record.write("runner %s is lost for good", rn.id)
	rn.lose()
	time.Sleep(4500 * time.Millisecond)
	wd.store.remove("servers/" + rn.id)
	for time.Since(lost) < 16*time.Second {
		time.Sleep(10 * time.Millisecond)
		if other, at := where(); other != rn {
			away := at.Sub(lost)
			wd.record.write("the task that lasts begins on runner %s, %s after its last run", other.id, away)
			return away > restartBound+lostTime
		}
	}
	wd.record.write("the task that lasts did not begin again within 16 s")
	return true
}
