package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// runnerCount makes one unhealthy runner a tenth of all.
	runnerCount = 10
	// unhealthyTime is how long a site's runners fail (srv_grey).
	unhealthyTime = 6500 * time.Millisecond
	// waitingJobs jobs find room on the unhealthy runner alone.
	waitingJobs = 4
	// oldAge is visible_ms and 2 s: jobs that were accepted before count in pending.
	oldAge = 5 * time.Second
)

// pendingCase fills all runners but one, which is unhealthy, hands jobs in that wait, and compares
// what GET PREFIX returns with the jobs that have not begun.
func pendingCase(wd *world) (bool, error) {
	wd.configure(7)
	for ix := range runnerCount {
		wd.fleet.add(fmt.Sprintf("%08x", 0xa0+ix), 8000)
	}
	if err := wd.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for ix := range runnerCount - 1 {
		id := fmt.Sprintf("f%015x", ix)
		if status := wd.submit(wd.hosts[ix%3], id, 1, 8000, 30*time.Second); status != http.StatusOK {
			return false, blocked("job %s was answered with %d", id, status)
		}
	}
	free, err := wd.onlyIdleRunner()
	if err != nil {
		return false, err
	}
	if wd.trouble {
		free.setUnhealthy(true)
		time.AfterFunc(unhealthyTime, func() { free.setUnhealthy(false) })
	}
	began := time.Now()
	accepted := map[string]time.Time{}
	for ix := range waitingJobs {
		id := fmt.Sprintf("a%015x", ix)
		if status := wd.submit(wd.hosts[ix%3], id, 1, 1000, 20*time.Second); status != http.StatusOK {
			return false, blocked("job %s was answered with %d", id, status)
		}
		accepted[id] = time.Now()
	}
	broken := false
	for time.Since(began) < unhealthyTime-200*time.Millisecond {
		time.Sleep(100 * time.Millisecond)
		for _, hs := range wd.hosts {
			broken = wd.countsTooFew(hs, accepted) || broken
		}
	}
	return broken, nil
}

// onlyIdleRunner waits until one runner alone is idle, and returns it.
func (wd *world) onlyIdleRunner() (*runner, error) {
	count := 0
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		var idle *runner
		count = 0
		for _, rn := range wd.fleet.runners {
			if rn.idle() {
				idle = rn
				count++
			}
		}
		if count == 1 {
			return idle, nil
		}
	}
	return nil, blocked("%d runners are free", count)
}

// countsTooFew asks a host for the number of waiting jobs, and reports whether it is under half of the
// accepted ones of oldAge that have not begun.
func (wd *world) countsTooFew(hs *host, accepted map[string]time.Time) bool {
	asked := time.Now()
	status, body := call(http.MethodGet, hs.front, "/q/", nil)
	var answer struct {
		Pending int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return false
	}
	// Jobs that have not begun now had not begun when the request was sent.
	old := 0
	for id, at := range accepted {
		if asked.Sub(at) > oldAge && !wd.fleet.hasBegun(id) {
			old++
		}
	}
	wd.record.write("GET /q/ at %s: pending %d, accepted over %s ago and not begun: %d", hs.name, answer.Pending, oldAge, old)
	return 2*answer.Pending < old
}
