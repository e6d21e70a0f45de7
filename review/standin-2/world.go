package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as clients send it. The fields that are not encoded are known to the stand-ins alone.
type step struct {
	Count int `json:"count"`
	resources
	Estimate     int64  `json:"estimateMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	Checkpoints  bool   `json:"checkpoints,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	SameRack     bool   `json:"sameRack,omitempty"`
	Constraints  string `json:"constraints,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	Speculative  bool   `json:"speculative,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
	Image        string `json:"image,omitempty"`
	Target       int64  `json:"targetMs,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
	MayMiss      int    `json:"mayMiss,omitempty"`

	// duration is the work of a task. fails reports whether a run fails, given the number of failed ones before it.
	duration time.Duration
	fails    func(task taskName, number int) bool
}

// room is what a task takes of a runner's capacity.
func (sp *step) room() resources {
	if sp.Fills {
		return resources{Memory: sp.Memory, GPU: sp.GPU}
	}
	return sp.resources
}

// taskName is the name ID.K.STEP.INDEX.
type taskName struct {
	job                string
	times, step, index int
}

func (tn taskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", tn.job, tn.times, tn.step, tn.index)
}

// stepName returns the name ID.K.STEP.
func (tn taskName) stepName() string { return fmt.Sprintf("%s.%d.%d", tn.job, tn.times, tn.step) }

func parseTask(text string) (taskName, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return taskName{}, false
	}
	var nums [3]int
	for ix := range nums {
		num, err := strconv.Atoi(parts[ix+1])
		if err != nil {
			return taskName{}, false
		}
		nums[ix] = num
	}
	return taskName{parts[0], nums[0], nums[1], nums[2]}, true
}

// queue is a route of the config.
type queue struct {
	name, host, prefix, pool string
	priority, attempts       int
	advice                   bool
}

// job is a job that a client has sent.
type job struct {
	id       string
	queue    *queue
	Spec     string  `json:"spec"`
	Steps    []*step `json:"steps"`
	Repeats  int     `json:"repeats,omitempty"`
	First    int64   `json:"firstMs,omitempty"`
	Interval int64   `json:"intervalMs,omitempty"`

	// accepted is when a 2xx arrived, rejected is set if all attempts were rejected.
	accepted    time.Time
	rejected    bool
	cancelSent  time.Time
	cancelAcked time.Time
}

// taskState is what the checks know of a task.
type taskState struct {
	done, doneNoted bool
	// failed counts failed runs that were taken note of.
	failed, failedRuns int
}

type checkpoint struct {
	task taskName
	work time.Duration
}

// violation is a rule that was broken.
type violation struct{ rule, text string }

// world holds the stand-ins and what they have seen.
type world struct {
	store   *store
	policy  *policy
	restore time.Duration
	maxHold time.Duration
	stop    time.Duration
	gang    time.Duration
	cancel  time.Duration
	saveGap time.Duration
	queues  []*queue
	pools   map[string]bool
	version int
	dir     string

	mu             sync.Mutex
	began          time.Time
	record         *os.File
	runners        []*runner
	jobs           map[string]*job
	tasks          map[taskName]*taskState
	checkpoints    map[string]*checkpoint
	lastCheckpoint int
	violations     []violation
	hosts          []*host
}

func newWorld(dir, record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{
		store: newStore(), restore: 100 * time.Millisecond, maxHold: 10 * time.Second, stop: 400 * time.Millisecond,
		gang: 3 * time.Second, cancel: 3 * time.Second, saveGap: 500 * time.Millisecond, pools: map[string]bool{}, dir: dir, began: time.Now(), record: file,
		jobs: map[string]*job{}, tasks: map[taskName]*taskState{}, checkpoints: map[string]*checkpoint{},
	}, nil
}

// note writes a line to the record. The caller holds mu.
func (wd *world) note(format string, args ...any) {
	fmt.Fprintf(wd.record, "%9.3f  %s\n", time.Since(wd.began).Seconds(), fmt.Sprintf(format, args...))
}

// say is note for callers that do not hold mu.
func (wd *world) say(format string, args ...any) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.note(format, args...)
}

// violate notes that a rule was broken. The caller holds mu.
func (wd *world) violate(rule, format string, args ...any) {
	vl := violation{rule, fmt.Sprintf(format, args...)}
	wd.violations = append(wd.violations, vl)
	wd.note("BROKEN %s: %s", vl.rule, vl.text)
}

// addJob makes a job known to the runners before it is sent.
func (wd *world) addJob(jb *job) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.jobs[jb.id] = jb
}

func (wd *world) lookup(text string) (taskName, *job, *step) {
	task, ok := parseTask(text)
	jb := wd.jobs[task.job]
	if !ok || jb == nil || task.step >= len(jb.Steps) || task.index >= jb.Steps[task.step].Count || task.times >= max(jb.Repeats, 1) {
		return task, nil, nil
	}
	return task, jb, jb.Steps[task.step]
}

func (wd *world) state(task taskName) *taskState {
	ts := wd.tasks[task]
	if ts == nil {
		ts = &taskState{}
		wd.tasks[task] = ts
	}
	return ts
}

// checkStart checks the rules on starts. The caller holds mu, and the run is not among those of the runner yet.
func (wd *world) checkStart(rn *runner, ru *run, ob *orderBody) {
	wd.checkAsked(ru, ob)
	wd.checkOrder(ru)
	wd.checkRuns(rn, ru)
	wd.checkPlace(rn, ru)
}

// checkAsked checks UNASKED and REFUSED.
func (wd *world) checkAsked(ru *run, ob *orderBody) {
	jb := ru.job
	if ob.Spec != jb.Spec {
		wd.violate("UNASKED", "%s starts with another spec", ru.text)
	}
	if ob.Checkpoint != "" && !wd.isCheckpointOf(ob.Checkpoint, ru) {
		wd.violate("UNASKED", "%s starts with checkpoint %q, which is not its own", ru.text, ob.Checkpoint)
	}
	if !jb.cancelAcked.IsZero() && time.Since(jb.cancelAcked) > wd.cancel {
		wd.violate("UNASKED", "%s starts %s after its job was cancelled", ru.text, time.Since(jb.cancelAcked))
	}
	if jb.rejected {
		wd.violate("REFUSED", "%s starts", ru.text)
	}
}

// isCheckpointOf reports whether a checkpoint is one of the task or of its gang.
func (wd *world) isCheckpointOf(name string, ru *run) bool {
	cp := wd.checkpoints[name]
	return cp != nil && (cp.task == ru.task || ru.step.Gang && cp.task.stepName() == ru.task.stepName())
}

// checkOrder checks ORDER.
func (wd *world) checkOrder(ru *run) {
	jb := ru.job
	if jb.Repeats > 0 {
		due := time.UnixMilli(jb.First + int64(ru.task.times)*jb.Interval)
		if early := time.Until(due); early > 250*time.Millisecond {
			wd.violate("ORDER", "%s starts %s early", ru.text, early)
		}
	}
	for _, before := range ru.step.After {
		for ix := range jb.Steps[before].Count {
			if !wd.state(taskName{ru.task.job, ru.task.times, before, ix}).done {
				wd.violate("ORDER", "%s starts before step %d is done", ru.text, before)
			}
		}
	}
}

// checkRuns checks TWICE and BUDGET.
func (wd *world) checkRuns(rn *runner, ru *run) {
	ts, attempts := wd.state(ru.task), ru.job.queue.attempts
	if attempts > 0 && !ru.step.LongRunning && ts.failed >= attempts {
		wd.violate("BUDGET", "%s starts after %d failed runs", ru.text, ts.failed)
	}
	if ru.step.Speculative {
		return
	}
	for _, other := range wd.runners {
		if or := other.running[ru.text]; or != nil {
			wd.violate("TWICE", "%s run %d starts on %s while run %d is on %s", ru.text, ru.number, rn.id, or.number, other.id)
		}
	}
	if ts.doneNoted {
		wd.violate("TWICE", "%s run %d starts on %s after it was done", ru.text, ru.number, rn.id)
	}
}

// checkPlace checks LIMIT and ROUTE.
func (wd *world) checkPlace(rn *runner, ru *run) {
	sp := ru.step
	if used := rn.used().plus(sp.room()); !rn.guards && !used.fits(rn.capacity) {
		wd.violate("LIMIT", "%s run %d brings runner %s to %+v of %+v", ru.text, ru.number, rn.id, used, rn.capacity)
	}
	if sp.Constraints != "" && !slices.Contains(rn.labels, sp.Constraints) {
		wd.violate("ROUTE", "%s starts on %s without label %s", ru.text, rn.id, sp.Constraints)
	}
	count := 1
	for _, or := range rn.running {
		if or.task.stepName() == ru.task.stepName() {
			count++
		}
	}
	if sp.AntiAffinity > 0 && count > sp.AntiAffinity {
		wd.violate("ROUTE", "%s is number %d of its step on %s, allowed are %d", ru.text, count, rn.id, sp.AntiAffinity)
	}
	if rn.pool != ru.job.queue.pool {
		wd.violate("ROUTE", "%s starts on %s of service %s", ru.text, rn.id, rn.pool)
	}
}

// onEnd is called when a run ends on a runner.
func (wd *world) onEnd(ru *run, how string) {
	ts := wd.state(ru.task)
	switch how {
	case "done":
		ts.done = true
		if ru.step.Gang {
			for ix := range ru.step.Count {
				wd.state(taskName{ru.task.job, ru.task.times, ru.task.step, ix}).done = true
			}
		}
	case "alone":
		if ru.job.cancelSent.IsZero() {
			wd.violate("GANG", "%s run %d ends alone on %s", ru.text, ru.number, ru.runner.id)
		}
	}
}

// onNoted is called when lastSeen reaches an end.
func (wd *world) onNoted(en *end) {
	task, jb, sp := wd.lookup(en.task)
	if sp == nil || jb == nil {
		return
	}
	ts := wd.state(task)
	switch en.how {
	case "done":
		ts.doneNoted = true
	case "failed":
		ts.failed++
	}
}

const tick = 10 * time.Millisecond

// run advances the tasks until the function returns.
func (wd *world) run(quit <-chan struct{}) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	last, beat := time.Now(), time.Now()
	for {
		select {
		case <-quit:
			return
		case <-ticker.C:
		}
		now := time.Now()
		wd.mu.Lock()
		wd.advance(now, now.Sub(last))
		wd.mu.Unlock()
		last = now
		if now.Sub(beat) > 1500*time.Millisecond {
			beat = now
			for _, rn := range wd.runners {
				rn.register()
			}
		}
	}
}

// gangKey names one run of a gang.
type gangKey struct {
	job         string
	times, step int
	run         int64
}

func (ru *run) gangKey() gangKey { return gangKey{ru.task.job, ru.task.times, ru.task.step, ru.number} }

func (wd *world) advance(now time.Time, span time.Duration) {
	present := map[gangKey]int{}
	for _, rn := range wd.runners {
		for _, ru := range rn.running {
			if ru.step.Gang {
				present[ru.gangKey()]++
			}
		}
	}
	ended := map[gangKey]string{}
	for _, rn := range wd.runners {
		wd.advanceRunner(rn, now, span, present, ended)
	}
	for _, rn := range wd.runners {
		for _, ru := range rn.running {
			if how, ok := ended[ru.gangKey()]; ok && ru.step.Gang {
				if how != "done" {
					how = "broken"
				}
				rn.finish(ru, how)
			}
		}
	}
}

func (wd *world) advanceRunner(rn *runner, now time.Time, span time.Duration, present map[gangKey]int, ended map[gangKey]string) {
	lapsed := rn.clock() > rn.lease
	for _, ru := range rn.running {
		how := ""
		complete := !ru.step.Gang || present[ru.gangKey()] == ru.step.Count
		if complete {
			before := ru.work / wd.saveGap
			if ru.restore -= span; ru.restore < 0 {
				ru.work += span * time.Duration(ru.pace) / 100
				ru.restore = 0
			}
			if ru.work/wd.saveGap > before {
				ru.checkpoint()
			}
		}
		ts := wd.state(ru.task)
		switch {
		case lapsed:
			how = "lapsed"
		case !ru.stopping.IsZero() && now.Sub(ru.stopping) > wd.stop:
			ru.checkpoint()
			how = "stopped"
		case !complete && now.Sub(ru.began) > wd.gang:
			how = "alone"
		case complete && ru.step.fails != nil && ru.work > ru.step.duration/2 && ru.step.fails(ru.task, ts.failedRuns):
			ts.failedRuns++
			how = "failed"
		case complete && !ru.step.LongRunning && ru.work >= ru.step.duration:
			how = "done"
		}
		if how != "" {
			if ru.step.Gang && how != "alone" {
				if ended[ru.gangKey()] == "" {
					ended[ru.gangKey()] = how
				}
			}
			rn.finish(ru, how)
		}
	}
}

// writeConfig writes the next version of the config with the queues.
func (wd *world) writeConfig(queues ...*queue) {
	wd.version += 3
	var routes []map[string]any
	for _, qu := range queues {
		route := map[string]any{
			"name": qu.name, "host": qu.host, "prefix": qu.prefix, "backend": qu.pool, "priority": qu.priority, "attempts": qu.attempts,
			"stretch": 2.0, "targetLatencyMs": 1000, "timeoutMs": 30000,
		}
		if qu.advice {
			route["advice"] = map[string]any{"decideMs": decideTime.Milliseconds(), "periodMs": periodTime.Milliseconds(), "validMs": ticketTime.Milliseconds()}
		}
		routes = append(routes, route)
	}
	var backends []map[string]any
	for name, guards := range wd.pools {
		backends = append(backends, map[string]any{"name": name, "admissionCheck": guards, "healthPath": "/health"})
	}
	value := encode(map[string]any{"version": wd.version, "routes": routes, "backends": backends, "limits": map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 262144}})
	wd.store.put("op/config", value)
	names := []string{}
	for _, qu := range queues {
		names = append(names, qu.name)
	}
	wd.say("operator: config version %d with the routes %v", wd.version, names)
}
