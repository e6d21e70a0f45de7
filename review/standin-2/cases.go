package main

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"
)

var (
	errNoStart   = errors.New("a job of the preparation was not accepted or did not start")
	errOtherJobs = errors.New("the other jobs are not done")
)

// size is the capacity of every runner.
var size = resources{CPU: 8000, Memory: 16000}

// otherJobs is how many ordinary jobs a case sends. One job or run beside them is a share of less than 5%.
const otherJobs = 24

// waitingJobs is how many jobs need the label that a hopeless job needs as well.
const waitingJobs = 16

func newJob(id string, qu *queue, steps ...*step) *job {
	return &job{id: id, queue: qu, Spec: "spec of " + id, Steps: steps}
}

func newStep(count int, cpu int64, duration time.Duration) *step {
	return &step{Count: count, resources: resources{CPU: cpu, Memory: 500}, Estimate: duration.Milliseconds(), duration: duration}
}

func plainQueue() *queue {
	return &queue{name: "plain", host: "a.example", prefix: "/plain/", pool: "pool-a", priority: 1, attempts: 3}
}

func advisedQueue(priority int) *queue {
	return &queue{name: "advised", host: "a.example", prefix: "/advised/", pool: "pool-a", priority: priority, attempts: 3, advice: true}
}

// sendOthers sends ordinary jobs, and calls the function after half of them.
func (wd *world) sendOthers(qu *queue, half func() error) ([]*job, error) {
	var others []*job
	for ix := range otherJobs {
		if ix == otherJobs/2 {
			if err := half(); err != nil {
				return nil, err
			}
		}
		jb := newJob(fmt.Sprintf("00000000000000b%x", ix), qu, newStep(2, 500, 600*time.Millisecond))
		if ix >= 16 {
			jb.id = fmt.Sprintf("00000000000000d%x", ix-16)
		}
		if !wd.submit(jb, ix) {
			return nil, errNoStart
		}
		others = append(others, jb)
		time.Sleep(100 * time.Millisecond)
	}
	return others, nil
}

// judge waits for finish after the end of the traffic, and then looks at the first of the jobs that is not done.
func (wd *world) judge(jobs, others []*job, may func(*runner, taskName) bool) error {
	wd.say("the traffic has ended")
	time.Sleep(finish)
	for _, other := range others {
		if !wd.isDone(other) {
			return errOtherJobs
		}
	}
	jb := jobs[max(0, slices.IndexFunc(jobs, func(jb *job) bool { return !wd.isDone(jb) }))]
	wd.watchIdle(jb, 10*time.Second, may)
	wd.jobState(jb, 0)
	return nil
}

func hasLabel(label string) func(*runner, taskName) bool {
	return func(rn *runner, _ taskName) bool { return slices.Contains(rn.labels, label) }
}

// heldByHopeless: one of 25 jobs of a queue with advice can never be done, as the policy allows no runner that has the label
// of its steps. A job of another queue needs that label as well.
func heldByHopeless(wd *world) error {
	plain, advised := plainQueue(), advisedQueue(0)
	wd.queues = []*queue{plain, advised}
	if err := wd.setUp(3, true, runnerSpec{2, "gold", size}, runnerSpec{6, "grey", size}); err != nil {
		return err
	}
	wd.policy.allow(func(_ string, rn *runner) bool { return !slices.Contains(rn.labels, "gold") })
	one, two := newStep(1, 5000, time.Second), newStep(1, 5000, time.Second)
	one.Constraints, two.Constraints = "gold", "gold"
	hopeless := newJob("00000000000000a1", advised, one, two)
	others, err := wd.sendOthers(advised, func() error {
		if trouble() && !wd.submit(hopeless, 0) {
			return errNoStart
		}
		return nil
	})
	if err != nil {
		return err
	}
	var waiting []*job
	for ix := range waitingJobs {
		sp := newStep(1, 1000, time.Second)
		sp.Constraints = "gold"
		jb := newJob(fmt.Sprintf("00000000000000c%x", ix), plain, sp)
		if !wd.submit(jb, ix) {
			return errNoStart
		}
		waiting = append(waiting, jb)
	}
	if err := wd.judge(waiting, others, hasLabel("gold")); err != nil || !trouble() {
		return err
	}
	// Not judged: what the job waited for.
	wd.cancelJob(hopeless, 0)
	await(10*time.Second, func() bool { return !slices.ContainsFunc(waiting, func(jb *job) bool { return !wd.isDone(jb) }) })
	wd.jobState(waiting[0], 0)
	return nil
}

// avoided: one of 49 runs fails, on one of the two runners that have the label of its task. The other one is full with a task
// that lasts.
func avoided(wd *world) error {
	plain := plainQueue()
	wd.queues = []*queue{plain}
	if err := wd.setUp(3, true, runnerSpec{2, "gold", size}, runnerSpec{6, "grey", size}); err != nil {
		return err
	}
	lasting := newStep(1, 7000, 0)
	lasting.LongRunning, lasting.Constraints, lasting.Image = true, "gold", "watch"
	long := newJob("00000000000000a1", plain, lasting)
	if !wd.submit(long, 0) || !await(10*time.Second, func() bool { return wd.runs(long) == 1 }) {
		return errNoStart
	}
	sp := newStep(1, 2500, 800*time.Millisecond)
	sp.Constraints = "gold"
	if trouble() {
		sp.fails = func(_ taskName, failed int) bool { return failed == 0 }
	}
	jb := newJob("00000000000000c1", plain, sp)
	others, err := wd.sendOthers(plain, func() error {
		if !wd.submit(jb, 1) {
			return errNoStart
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := wd.judge([]*job{jb}, others, hasLabel("gold")); err != nil || !trouble() {
		return err
	}
	// Not judged: what the job waited for.
	wd.cancelJob(long, 0)
	await(5*time.Second, func() bool { return wd.isDone(jb) })
	wd.jobState(jb, 0)
	return nil
}

// removedAdvice: a config removes a route with advice while a job that was accepted there is under way.
func removedAdvice(wd *world) error {
	plain, advised := plainQueue(), advisedQueue(1)
	wd.queues = []*queue{plain, advised}
	if err := wd.setUp(3, true, runnerSpec{8, "grey", size}); err != nil {
		return err
	}
	first, second := newStep(2, 1000, 4*time.Second), newStep(2, 1000, time.Second)
	second.After = []int{0}
	jb := newJob("00000000000000c1", advised, first, second)
	if !wd.submit(jb, 0) || !await(5*time.Second, func() bool { return wd.runs(jb) == 2 }) {
		return errNoStart
	}
	others, err := wd.sendOthers(plain, func() error {
		if trouble() {
			wd.writeConfig(plain)
		} else {
			wd.writeConfig(plain, advised)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := wd.judge([]*job{jb}, others, func(rn *runner, tn taskName) bool { return wd.policy.good(tn.stepName(), rn) }); err != nil || !trouble() {
		return err
	}
	// Not judged: what the job waited for.
	wd.writeConfig(plain, advised)
	await(5*time.Second, func() bool { return wd.isDone(jb) })
	wd.jobState(jb, 0)
	return nil
}

// wideGang: a large job comes to a queue with advice, a gang with at most one task on a runner. All 48 runners are allowed and
// empty.
func wideGang(wd *world) error {
	plain, advised := plainQueue(), advisedQueue(1)
	wd.queues = []*queue{plain, advised}
	if err := wd.setUp(3, true, runnerSpec{48, "grey", size}); err != nil {
		return err
	}
	wd.policy.allow(func(string, *runner) bool { return true })
	width := 24
	if trouble() {
		width = 32
	}
	sp := newStep(width, 1000, time.Second)
	sp.Gang, sp.AntiAffinity = true, 1
	jb := newJob("00000000000000c1", advised, sp)
	others, err := wd.sendOthers(plain, func() error { return nil })
	if err != nil {
		return err
	}
	if !wd.submit(jb, 0) {
		return errNoStart
	}
	return wd.judge([]*job{jb}, others, func(*runner, taskName) bool { return true })
}

// overCapacity: the process that leads is killed, and a job is cancelled before another one leads. Other tasks wait for its
// capacity.
func overCapacity(wd *world) error {
	plain := plainQueue()
	wd.queues = []*queue{plain}
	if err := wd.setUp(3, false, runnerSpec{4, "grey", size}); err != nil {
		return err
	}
	first := newJob("00000000000000a1", plain, newStep(8, 4000, time.Minute))
	if !wd.submit(first, 0) || !await(10*time.Second, func() bool { return wd.runs(first) == 8 }) {
		return errNoStart
	}
	second := newJob("00000000000000c1", plain, newStep(8, 4000, 2*time.Second))
	if !wd.submit(second, 1) {
		return errNoStart
	}
	time.Sleep(time.Second)
	leader, err := wd.leader()
	if err != nil {
		return err
	}
	no := slices.Index(wd.hosts, leader)
	if trouble() {
		leader.signal(syscall.SIGKILL)
		<-leader.ended
	}
	if !wd.cancelJob(first, no+1) {
		return errors.New("the cancellation was not acknowledged")
	}
	if trouble() {
		time.Sleep(3 * time.Second)
		wd.say("%s starts again", leader.name)
		if err := leader.start(); err != nil {
			return err
		}
	}
	if !await(20*time.Second, func() bool { return wd.isDone(second) }) {
		return errOtherJobs
	}
	return nil
}
