package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in for a runner that guards its capacity. The spec of a task is its run time in
// milliseconds.
type runner struct {
	fleet *fleet
	id    string
	// capacity is in thousandths of a core.
	capacity int64
	address  string

	mu      sync.Mutex
	born    time.Time
	fence   int64
	lease   int64
	running map[runKey]*run
	ended   [][]any
	lastEnd int64
	highest map[string]int64
	changed chan struct{}
	// unhealthy makes the runner answer 503 to starts, having done nothing.
	unhealthy bool
	// kind is the runner's first label.
	kind string
	// down is set while the runner has crashed. Its address refuses connections then.
	down bool
	// silent is set once the runner is lost for good. It keeps its connections and does not answer.
	silent   bool
	listener net.Listener
	server   *http.Server
}

type runKey struct {
	task string
	run  int64
}

type run struct {
	cpu      int64
	began    time.Time
	duration time.Duration
	timer    *time.Timer
}

// fleet is all runners and what they need to know of the jobs.
type fleet struct {
	store   *store
	record  *record
	runners []*runner

	mu sync.Mutex
	// cpu is what each task of a step needs, by ID.K.STEP.
	cpu map[string]int64
	// begun has the first start of each job.
	begun map[string]time.Time
	// onStart is called for each start, with mu held. It may be nil.
	onStart func(rn *runner, key runKey)
	// onEnd and onAck are called for each end, and for each end that lastSeen reaches. They may be nil.
	onEnd, onAck func(rn *runner, key runKey, how string)
	// delay returns how much later a start reaches the runner, without an answer to its sender. It may be nil.
	delay func(rn *runner, task string) time.Duration
}

func newFleet(st *store, rc *record) *fleet {
	return &fleet{store: st, record: rc, cpu: map[string]int64{}, begun: map[string]time.Time{}}
}

// add starts a runner and registers it.
func (fl *fleet) add(id string, capacity int64) *runner {
	rn := &runner{fleet: fl, id: id, capacity: capacity, kind: "a", address: "127.0.0.1:0", changed: make(chan struct{})}
	rn.begin()
	fl.runners = append(fl.runners, rn)
	// Runners write their entries one after the other, as they did not start together.
	phase := time.Duration(len(fl.runners)%10) * heartbeat / 10
	go func() {
		for time.Sleep(phase); ; time.Sleep(heartbeat) {
			rn.register()
		}
	}()
	return rn
}

// heartbeat is heartbeatMs.
const heartbeat = 1500 * time.Millisecond

// begin begins a life of the runner: it holds and knows nothing of before. It registers, and then
// serves at the address that it had.
func (rn *runner) begin() {
	rn.mu.Lock()
	rn.born, rn.fence, rn.lease, rn.lastEnd, rn.down = time.Now(), 0, 0, 0, false
	rn.running, rn.ended, rn.highest = map[runKey]*run{}, nil, map[string]int64{}
	ln, err := net.Listen("tcp", rn.address)
	if err != nil {
		panic(err)
	}
	rn.address, rn.listener, rn.server = ln.Addr().String(), ln, &http.Server{Handler: rn}
	server := rn.server
	rn.mu.Unlock()
	rn.register()
	go func() { _ = server.Serve(ln) }()
}

// crash ends a life of the runner: everything that runs on it terminates, and its connections break.
func (rn *runner) crash() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for _, rr := range rn.running {
		rr.timer.Stop()
	}
	rn.running, rn.down = map[runKey]*run{}, true
	_ = rn.server.Close()
	close(rn.changed)
	rn.changed = make(chan struct{})
}

// lose ends the last life of the runner: it answers nothing any more, and its connections stay silent.
func (rn *runner) lose() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for _, rr := range rn.running {
		rr.timer.Stop()
	}
	rn.running, rn.down, rn.silent = map[runKey]*run{}, true, true
}

// register writes the runner's entry.
func (rn *runner) register() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.down {
		return
	}
	rn.fleet.store.put("servers/"+rn.id, map[string]any{
		"backend": "pool", "address": rn.address, "zone": "zone-1", "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"seq": time.Since(rn.born) / heartbeat, "born": rn.born.UnixMilli(), "labels": []string{rn.kind, "r1-1"},
		"capacity": map[string]int64{"cpu": rn.capacity, "memMb": 100000, "gpu": 0},
	})
}

func (rn *runner) clock() int64 { return time.Since(rn.born).Milliseconds() }

func (rn *runner) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	var in struct {
		Task     string `json:"task"`
		Run      int64  `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadlineMs"`
		Fence    int64  `json:"fence"`
		LastSeen int64  `json:"lastSeen"`
		Wait     int64  `json:"waitMs"`
	}
	if rq.Method == http.MethodGet {
		wr.WriteHeader(http.StatusOK)
		return
	}
	if json.NewDecoder(rq.Body).Decode(&in) != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := rq.Header.Get("Expect-Instance"); want != "" && want != rn.id {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if rn.fleet.delay != nil && rq.URL.Path == "/v1/run-start" {
		if late := rn.fleet.delay(rn, in.Task); late > 0 {
			key, spec, deadline, fence := runKey{in.Task, in.Run}, in.Spec, in.Deadline, in.Fence
			time.AfterFunc(late, func() { rn.startLate(key, spec, deadline, fence) })
			time.Sleep(3 * time.Second)
			panic(http.ErrAbortHandler)
		}
	}
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.silent {
		rn.mu.Unlock()
		<-rq.Context().Done()
		rn.mu.Lock()
	}
	if rn.down {
		panic(http.ErrAbortHandler)
	}
	if rn.unhealthy && rq.URL.Path == "/v1/run-start" {
		rn.fleet.record.write("runner %s answers 503 to the start of %s run %d", rn.id, in.Task, in.Run)
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if in.Fence < rn.fence {
		reply(wr, http.StatusConflict, map[string]any{"clockMs": rn.clock(), "reason": "fence"})
		return
	}
	rn.fence = in.Fence
	key := runKey{in.Task, in.Run}
	switch rq.URL.Path {
	case "/v1/run-start":
		rn.start(wr, key, in.Spec, in.Deadline)
	case "/v1/run-stop":
		if rn.running[key] != nil {
			rn.end(key, "stopped")
		}
		rn.highest[in.Task] = max(rn.highest[in.Task], in.Run)
		reply(wr, http.StatusOK, map[string]any{"clockMs": rn.clock()})
	case "/v1/pace":
		reply(wr, http.StatusOK, map[string]any{"clockMs": rn.clock()})
	case "/v1/hold":
		rn.hold(wr, rq, in.Deadline, in.LastSeen, time.Duration(in.Wait)*time.Millisecond)
	default:
		wr.WriteHeader(http.StatusNotFound)
	}
}

// startLate carries a delayed start out, if the runner accepts it.
func (rn *runner) startLate(key runKey, spec string, deadline, fence int64) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	wr := httptest.NewRecorder()
	switch {
	case rn.down:
		rn.fleet.record.write("the delayed start of %s run %d meets no runner", key.task, key.run)
		return
	case fence < rn.fence:
		wr.WriteString("fence")
	default:
		rn.fence = fence
		rn.start(wr, key, spec, deadline)
	}
	rn.fleet.record.write("the delayed start of %s run %d reaches runner %s: %s", key.task, key.run, rn.id, strings.TrimSpace(wr.Body.String()))
}

func (rn *runner) start(wr http.ResponseWriter, key runKey, spec string, deadline int64) {
	refuse := func(reason string) {
		reply(wr, http.StatusConflict, map[string]any{"clockMs": rn.clock(), "reason": reason})
	}
	step := key.task[:strings.LastIndexByte(key.task, '.')]
	rn.fleet.mu.Lock()
	cpu, known := rn.fleet.cpu[step]
	rn.fleet.mu.Unlock()
	used := int64(0)
	for _, rr := range rn.running {
		used += rr.cpu
	}
	switch {
	case deadline < rn.clock():
		refuse("late")
		return
	case rn.running[key] != nil:
	case key.run <= rn.highest[key.task]:
		refuse("old")
		return
	case !known:
		wr.WriteHeader(http.StatusBadRequest)
		return
	case used+cpu > rn.capacity:
		rn.extend(deadline)
		refuse("room")
		return
	default:
		ms, _ := strconv.Atoi(spec)
		rr := &run{cpu: cpu, began: time.Now(), duration: time.Duration(ms) * time.Millisecond}
		rr.timer = time.AfterFunc(rr.duration, func() {
			rn.mu.Lock()
			defer rn.mu.Unlock()
			if rn.running[key] == rr {
				rn.end(key, "done")
			}
		})
		rn.running[key] = rr
		rn.fleet.noteStart(rn, key)
	}
	rn.extend(deadline)
	reply(wr, http.StatusOK, map[string]any{"clockMs": rn.clock()})
}

// extend extends the lease. It never shortens, and it is at most 10 s.
func (rn *runner) extend(deadline int64) {
	deadline = min(deadline, rn.clock()+10000)
	if deadline <= rn.lease {
		return
	}
	rn.lease = deadline
	born := rn.born
	time.AfterFunc(time.Duration(deadline-rn.clock())*time.Millisecond, func() {
		rn.mu.Lock()
		defer rn.mu.Unlock()
		if rn.born != born || rn.clock() < rn.lease {
			return
		}
		for key := range rn.running {
			rn.end(key, "lapsed")
		}
	})
}

func (rn *runner) end(key runKey, how string) {
	rn.running[key].timer.Stop()
	delete(rn.running, key)
	rn.lastEnd++
	rn.highest[key.task] = max(rn.highest[key.task], key.run)
	rn.ended = append(rn.ended, []any{rn.lastEnd, key.task, key.run, how, ""})
	if rn.fleet.onEnd != nil {
		rn.fleet.onEnd(rn, key, how)
	}
	rn.fleet.record.write("runner %s lists the end of %s run %d: %s", rn.id, key.task, key.run, how)
	close(rn.changed)
	rn.changed = make(chan struct{})
}

func (rn *runner) hold(wr http.ResponseWriter, rq *http.Request, deadline, lastSeen int64, wait time.Duration) {
	if deadline > 0 {
		rn.extend(deadline)
	}
	for len(rn.ended) > 0 && rn.ended[0][0].(int64) <= lastSeen {
		if rn.fleet.onAck != nil {
			rn.fleet.onAck(rn, runKey{rn.ended[0][1].(string), rn.ended[0][2].(int64)}, rn.ended[0][3].(string))
		}
		rn.ended = rn.ended[1:]
	}
	if len(rn.ended) == 0 && wait > 0 {
		changed := rn.changed
		rn.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-rq.Context().Done():
		}
		rn.mu.Lock()
		if rn.silent {
			rn.mu.Unlock()
			<-rq.Context().Done()
			rn.mu.Lock()
		}
		if rn.down {
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for key, rr := range rn.running {
		percent := min(100, int(100*time.Since(rr.began)/max(rr.duration, 1)))
		running = append(running, []any{key.task, key.run, "", percent, rr.cpu})
	}
	ended := append([][]any{}, rn.ended...)
	reply(wr, http.StatusOK, map[string]any{"clockMs": rn.clock(), "born": rn.born.UnixMilli(), "running": running, "ended": ended})
}

// setUnhealthy makes the runner refuse starts with 503, or accept them again.
func (rn *runner) setUnhealthy(on bool) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.unhealthy = on
	rn.fleet.record.write("runner %s unhealthy: %t", rn.id, on)
}

func (rn *runner) idle() bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return len(rn.running) == 0
}

func (fl *fleet) noteStart(rn *runner, key runKey) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	job, _, _ := strings.Cut(key.task, ".")
	if _, ok := fl.begun[job]; !ok {
		fl.begun[job] = time.Now()
	}
	fl.record.write("runner %s (kind %s, life %d) begins %s run %d", rn.id, rn.kind, rn.born.UnixMilli(), key.task, key.run)
	if fl.onStart != nil {
		fl.onStart(rn, key)
	}
}

func (fl *fleet) hasBegun(job string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	_, ok := fl.begun[job]
	return ok
}

// expect tells the runners what the tasks of a step need.
func (fl *fleet) expect(job string, step int, cpu int64) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.cpu[fmt.Sprintf("%s.0.%d", job, step)] = cpu
}
