package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// resources are what a task requests, or the capacity of a runner.
type resources struct {
	CPU    int64 `json:"cpu,omitempty"`
	Memory int64 `json:"memMb,omitempty"`
	GPU    int64 `json:"gpu,omitempty"`
}

func (rs resources) plus(other resources) resources {
	return resources{rs.CPU + other.CPU, rs.Memory + other.Memory, rs.GPU + other.GPU}
}

func (rs resources) fits(capacity resources) bool {
	return rs.CPU <= capacity.CPU && rs.Memory <= capacity.Memory && rs.GPU <= capacity.GPU
}

// run is one run of a task on a runner.
type run struct {
	task     taskName
	text     string
	number   int64
	step     *step
	job      *job
	runner   *runner
	began    time.Time
	saved    string
	work     time.Duration
	restore  time.Duration
	pace     int
	stopping time.Time
}

// end is an entry of a runner's list of ends.
type end struct {
	number int64
	task   string
	run    int64
	how    string
	saved  string
}

// runner is the stand-in of one runner, which keeps to PROTOCOL.md. Its state is guarded by world.mu.
type runner struct {
	wd       *world
	id, pool string
	zone     string
	address  string
	labels   []string
	capacity resources
	guards   bool
	seq      int64
	born     int64
	bornAt   time.Time
	fence    int64
	lease    int64
	running  map[string]*run
	ends     []end
	lastEnd  int64
	// refused holds the highest run of each task that was stopped or has ended.
	refused map[string]int64
	// changed is closed at the next end.
	changed chan struct{}
}

func (rn *runner) clock() int64 { return time.Since(rn.bornAt).Milliseconds() + 1000 }

// start begins a life of the runner.
func (rn *runner) start() error {
	ln, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return err
	}
	rn.wd.mu.Lock()
	rn.address = ln.Addr().String()
	rn.bornAt = time.Now()
	rn.born = rn.bornAt.UnixMilli()
	rn.running, rn.refused, rn.changed = map[string]*run{}, map[string]int64{}, make(chan struct{})
	rn.wd.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", rn.order(rn.serveStart))
	mux.HandleFunc("POST /v1/run-stop", rn.order(rn.serveStop))
	mux.HandleFunc("POST /v1/pace", rn.order(rn.servePace))
	mux.HandleFunc("POST /v1/hold", rn.serveHold)
	mux.HandleFunc("GET /health", func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(http.StatusOK) })
	go func() { _ = (&http.Server{Handler: mux}).Serve(ln) }()
	rn.register()
	return nil
}

// register writes the runner's entry.
func (rn *runner) register() {
	rn.wd.mu.Lock()
	rn.seq++
	body := map[string]any{
		"backend": rn.pool, "address": rn.address, "zone": rn.zone, "version": "1", "slots": 8, "coldLeftMs": 0,
		"state": "ready", "seq": rn.seq, "born": rn.born, "capacity": rn.capacity, "labels": rn.labels,
	}
	rn.wd.mu.Unlock()
	value, _ := json.Marshal(body)
	rn.wd.store.put("servers/"+rn.id, value)
}

// orderBody is the body of every order.
type orderBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpointed"`
	Ticket     string `json:"ticket"`
	Percent    int    `json:"percent"`
	LastSeen   int64  `json:"lastSeen"`
	Wait       int64  `json:"waitMs"`
}

// order decodes an order and carries it out.
func (rn *runner) order(handle func(*orderBody) (int, string)) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		var ob orderBody
		if err := json.NewDecoder(rq.Body).Decode(&ob); err != nil {
			wr.WriteHeader(http.StatusBadRequest)
			return
		}
		if ex := rq.Header.Get("Expect-Instance"); ex != "" && ex != rn.id {
			wr.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		rn.wd.mu.Lock()
		defer rn.wd.mu.Unlock()
		status, reason := handle(&ob)
		body := map[string]any{"clockMs": rn.clock(), "born": rn.born}
		if reason != "" {
			body["reason"] = reason
		}
		reply(wr, status, body)
	}
}

// checkFence raises the highest fence seen, and reports whether the order's is not lower.
func (rn *runner) checkFence(fence int64) bool {
	if fence < rn.fence {
		return false
	}
	rn.fence = fence
	return true
}

func (rn *runner) extend(deadline int64) {
	rn.lease = max(rn.lease, min(deadline, rn.clock()+rn.wd.maxHold.Milliseconds()))
}

func (rn *runner) used() resources {
	var sum resources
	for _, ru := range rn.running {
		sum = sum.plus(ru.step.room())
	}
	return sum
}

func (rn *runner) serveStart(ob *orderBody) (int, string) {
	wd := rn.wd
	if !rn.checkFence(ob.Fence) {
		return http.StatusConflict, "fence"
	}
	if ob.Deadline < rn.clock() {
		return http.StatusConflict, "late"
	}
	if ru := rn.running[ob.Task]; ru != nil && ru.number == ob.Run {
		rn.extend(ob.Deadline)
		return http.StatusOK, ""
	}
	task, jb, sp := wd.lookup(ob.Task)
	if sp == nil {
		wd.violate("UNASKED", "runner %s is told to start %s, which no client sent", rn.id, ob.Task)
		return http.StatusBadRequest, ""
	}
	if ob.Run <= rn.refused[ob.Task] || rn.running[ob.Task] != nil && rn.running[ob.Task].number >= ob.Run {
		rn.extend(ob.Deadline)
		return http.StatusConflict, "old"
	}
	if jb.queue.advice && !wd.policy.valid(rn, task, ob.Ticket) {
		wd.note("runner %s rejects %s run %d: ticket %q", rn.id, ob.Task, ob.Run, ob.Ticket)
		return http.StatusConflict, "ticket"
	}
	if rn.guards && !rn.used().plus(sp.room()).fits(rn.capacity) {
		rn.extend(ob.Deadline)
		return http.StatusConflict, "room"
	}
	rn.extend(ob.Deadline)
	ru := &run{task: task, text: ob.Task, number: ob.Run, step: sp, job: jb, runner: rn, began: time.Now(), saved: ob.Checkpoint, pace: 100}
	if cp := wd.checkpoints[ob.Checkpoint]; ob.Checkpoint != "" && cp != nil {
		ru.work, ru.restore = cp.work, wd.restore
	}
	wd.checkStart(rn, ru, ob)
	rn.running[ob.Task] = ru
	wd.note("runner %s starts %s run %d", rn.id, ob.Task, ob.Run)
	return http.StatusOK, ""
}

func (rn *runner) serveStop(ob *orderBody) (int, string) {
	if !rn.checkFence(ob.Fence) {
		return http.StatusConflict, "fence"
	}
	rn.refused[ob.Task] = max(rn.refused[ob.Task], ob.Run)
	if ru := rn.running[ob.Task]; ru != nil && ru.number == ob.Run && ru.stopping.IsZero() {
		ru.stopping = time.Now()
		rn.wd.note("runner %s stops %s run %d", rn.id, ob.Task, ob.Run)
	}
	return http.StatusOK, ""
}

func (rn *runner) servePace(ob *orderBody) (int, string) {
	if !rn.checkFence(ob.Fence) {
		return http.StatusConflict, "fence"
	}
	if ru := rn.running[ob.Task]; ru != nil && ru.number == ob.Run {
		ru.pace = ob.Percent
	}
	return http.StatusOK, ""
}

func (rn *runner) serveHold(wr http.ResponseWriter, rq *http.Request) {
	var ob orderBody
	if err := json.NewDecoder(rq.Body).Decode(&ob); err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	if ex := rq.Header.Get("Expect-Instance"); ex != "" && ex != rn.id {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	wd := rn.wd
	wd.mu.Lock()
	if !rn.checkFence(ob.Fence) {
		reply(wr, http.StatusConflict, map[string]any{"clockMs": rn.clock(), "born": rn.born, "reason": "fence"})
		wd.mu.Unlock()
		return
	}
	if ob.Deadline > 0 {
		rn.extend(ob.Deadline)
	}
	rn.forget(ob.LastSeen)
	deadline := time.After(time.Duration(min(ob.Wait, 2000)) * time.Millisecond)
	for waiting := ob.Wait > 0; waiting && len(rn.ends) == 0; {
		changed := rn.changed
		wd.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-rq.Context().Done():
			return
		}
		wd.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, ru := range rn.running {
		running = append(running, []any{ru.text, ru.number, ru.saved, ru.percent(), ru.measure()})
	}
	for _, en := range rn.ends[:min(len(rn.ends), 500)] {
		ended = append(ended, []any{en.number, en.task, en.run, en.how, en.saved})
	}
	reply(wr, http.StatusOK, map[string]any{"clockMs": rn.clock(), "born": rn.born, "running": running, "ended": ended})
	wd.mu.Unlock()
}

// forget drops the ends that lastSeen has reached.
func (rn *runner) forget(lastSeen int64) {
	for len(rn.ends) > 0 && rn.ends[0].number <= lastSeen {
		rn.wd.onNoted(&rn.ends[0])
		rn.ends = rn.ends[1:]
	}
}

// finish ends a run.
func (rn *runner) finish(ru *run, how string) {
	delete(rn.running, ru.text)
	rn.refused[ru.text] = max(rn.refused[ru.text], ru.number)
	rn.lastEnd++
	saved := ru.saved
	if how == "done" {
		saved = ""
	}
	rn.ends = append(rn.ends, end{number: rn.lastEnd, task: ru.text, run: ru.number, how: how, saved: saved})
	rn.wd.note("runner %s ends %s run %d: %s", rn.id, ru.text, ru.number, how)
	rn.wd.onEnd(ru, how)
	close(rn.changed)
	rn.changed = make(chan struct{})
}

func (ru *run) percent() int {
	if ru.step.LongRunning {
		if time.Since(ru.began) > 300*time.Millisecond {
			return 100
		}
		return 0
	}
	return int(min(99, 100*ru.work/max(ru.step.duration, time.Millisecond)))
}

func (ru *run) measure() int64 {
	if ru.step.Target > 0 {
		return ru.step.Target / 2
	}
	return ru.step.CPU * int64(ru.pace) / 100
}

// checkpoint saves the work of a run under a new value.
func (ru *run) checkpoint() {
	if !ru.step.Checkpoints {
		return
	}
	wd := ru.runner.wd
	wd.lastCheckpoint++
	ru.saved = fmt.Sprintf("%08x%08x", wd.lastCheckpoint, uint32(ru.task.index)+1<<16)
	wd.checkpoints[ru.saved] = &checkpoint{task: ru.task, work: ru.work}
}
