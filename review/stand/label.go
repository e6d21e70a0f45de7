package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// labelCase keeps a backlog of tasks that need runners of kind b. One runner after the other crashes
// and starts again under its id as one of the other kind. No task may start on a runner of kind a.
func labelCase(wd *world) (bool, error) {
	wd.configure(7)
	var wrong atomic.Int64
	wd.fleet.onStart = func(rn *runner, key runKey) {
		if rn.kind != "b" {
			wrong.Add(1)
			wd.record.write("ROUTE: %s run %d begins on runner %s of kind %s", key.task, key.run, rn.id, rn.kind)
		}
	}
	for ix := range 10 {
		rn := wd.fleet.add(fmt.Sprintf("%08x", 0xa0+ix), 8000)
		if ix < 5 {
			rn.mu.Lock()
			rn.kind = "b"
			rn.mu.Unlock()
			rn.register()
		}
	}
	if err := wd.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for ix := range 40 {
		id := fmt.Sprintf("a%015x", ix)
		wd.fleet.expect(id, 0, 1000)
		status, _ := call(http.MethodPost, wd.hosts[ix%3].front, "/q/"+id, map[string]any{
			"spec":  "3000",
			"steps": []map[string]any{{"count": 10, "cpu": 1000, "memMb": 100, "estimateMs": 3000, "constraints": "b"}},
		})
		wd.record.write("POST %s: %d", id, status)
		if status != http.StatusOK {
			return false, blocked("job %s was answered with %d", id, status)
		}
	}
	time.Sleep(2 * time.Second)
	for turn := range 14 {
		rn := wd.fleet.runners[turn%5]
		if wd.trouble {
			wd.record.write("runner %s crashes", rn.id)
			rn.crash()
			time.Sleep(time.Second)
			rn.mu.Lock()
			if rn.kind == "a" {
				rn.kind = "b"
			} else {
				rn.kind = "a"
			}
			kind := rn.kind
			rn.mu.Unlock()
			rn.begin()
			wd.record.write("runner %s starts again under its id, kind %s", rn.id, kind)
		}
		time.Sleep(2*time.Second + time.Duration(turn)*37*time.Millisecond)
	}
	return wrong.Load() > 0, nil
}
