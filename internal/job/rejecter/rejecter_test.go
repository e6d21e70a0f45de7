package rejecter

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// start is the time at which the simulations begin.
var start = time.Unix(1_000_000, 0)

// newJob returns a job of one step of 1 s whose objective is 1.75 s.
func newJob(no int) *modeler.Job {
	return &modeler.Job{ID: modeler.JobID(fmt.Sprintf("j%d", no)), Queue: "batch", MaxSlowdown: 1.5, Slack: 250 * time.Millisecond, Steps: []modeler.Step{{Count: 1, Estimate: time.Second}}}
}

const (
	useful = 5250 * time.Millisecond
	// servers run one job each, so that as many jobs end a second.
	servers = 20
	// simulationStep divides the interval between two arrivals at all rates.
	simulationStep = 10 * time.Millisecond
	// maxTries is the number of attempts of a caller.
	maxTries = 4
)

// simulation is a queue that is served in the order of submission, and callers who retry.
type simulation struct {
	refuse   bool
	observer Observer
	waiting  []time.Time
	running  []time.Time
	// submitted are the times of submission of the running jobs.
	submitted []time.Time
	// retries are the attempts that are due, by their times, and tries counts those of a caller.
	retries map[time.Time][]int
	tries   map[int]int
	// inTime is the number of jobs that ended while they were of use, refused that of refusals, and wronglyRefused
	// that of those that would have been of use.
	inTime, refused, wronglyRefused int
}

// advance ends and starts jobs.
func (sm *simulation) advance(now time.Time) {
	for len(sm.running) > 0 && !sm.running[0].After(now) {
		took := now.Sub(sm.submitted[0])
		if took <= useful {
			sm.inTime++
		}
		sm.observer.ObserveEnd("batch", took, time.Second, now)
		sm.observer.ObserveRun("batch", time.Second, time.Second, now)
		sm.running, sm.submitted = sm.running[1:], sm.submitted[1:]
	}
	for len(sm.running) < servers && len(sm.waiting) > 0 {
		sm.running, sm.submitted = append(sm.running, now.Add(time.Second)), append(sm.submitted, sm.waiting[0])
		sm.waiting = sm.waiting[1:]
	}
}

// missed returns the number of waiting jobs that became late within Window.
func (sm *simulation) missed(now time.Time) int {
	count := 0
	for _, at := range sm.waiting {
		if late := now.Sub(at) - 750*time.Millisecond; late >= 0 && late < Window {
			count++
		}
	}
	return count
}

// submit is an attempt of a caller.
func (sm *simulation) submit(no int, now time.Time) {
	ht := Hint{Epoch: 1}
	if ql, ok := sm.observer.Load("batch", len(sm.waiting)+len(sm.running), sm.missed(now), now); ok {
		ht.Queues = append(ht.Queues, ql)
	}
	jb := newJob(no)
	dc := ht.Decide(jb)
	if !sm.refuse || dc.Reason != Useless {
		sm.waiting = append(sm.waiting, now)
		return
	}
	sm.refused++
	if time.Duration(len(sm.waiting))*time.Second/servers+time.Second <= useful {
		sm.wronglyRefused++
	}
	if sm.tries[no]++; sm.tries[no] < maxTries {
		at := now.Add(dc.RetryAfter(jb.ID, 10*time.Second))
		sm.retries[at] = append(sm.retries[at], no)
	}
}

// simulate runs the queue with a rate of new jobs during a burst, and half of what the servers do in the minute
// after it.
func simulate(refuse bool, burstRate int, burst time.Duration) *simulation {
	sm := &simulation{refuse: refuse, retries: map[time.Time][]int{}, tries: map[int]int{}}
	no := 0
	for now := start; now.Before(start.Add(burst + time.Minute)); now = now.Add(simulationStep) {
		sm.advance(now)
		for _, caller := range sm.retries[now] {
			sm.submit(caller, now)
		}
		rate := servers / 2
		if now.Before(start.Add(burst)) {
			rate = burstRate
		}
		if now.Sub(start)%(time.Second/time.Duration(rate)) < simulationStep {
			no++
			sm.submit(no, now)
		}
	}
	return sm
}

// Guards against a queue that stays behind for longer than its burst, as jobs that cannot be of use delay the
// later ones, and against refusals of jobs that would have been of use.
func TestQueueBehind(t *testing.T) {
	// Five times the load keeps the queue behind, as some jobs are accepted whenever no recent ones are late.
	for rate, gain := range map[int]float64{30: 1, 50: 1.5, 100: 1} {
		t.Run(fmt.Sprintf("%d jobs a second", rate), func(t *testing.T) {
			before, after := simulate(false, rate, 20*time.Second), simulate(true, rate, 20*time.Second)
			t.Logf("jobs of use: %d with all accepted, %d with %d refusals", before.inTime, after.inTime, after.refused)
			qt.Check(t, float64(after.inTime) >= gain*float64(before.inTime), qt.IsTrue)
			qt.Check(t, after.refused > 0, qt.IsTrue)
			qt.Check(t, after.wronglyRefused, qt.Equals, 0)
		})
	}
	t.Run("normal load", func(t *testing.T) {
		qt.Check(t, simulate(true, servers, 20*time.Second).refused, qt.Equals, 0)
	})
	t.Run("short burst", func(t *testing.T) {
		qt.Check(t, simulate(true, 50, 2*time.Second).refused, qt.Equals, 0)
	})
}

// uselessHint returns a hint by which newJob's jobs are useless.
func uselessHint() Hint {
	return Hint{Epoch: 3, Queues: []QueueLoad{{Queue: "batch", Ended: 20, Delay: 20 * time.Second, Missed: 30, Drain: 30 * time.Second, Overrun: 1}}}
}

// Guards against refusals on a hint that is old, of another leader, or of too few observations, and of jobs that
// have no expected end, need workers that the observed jobs did not wait for, or may be of use.
func TestDecide(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(ht *Hint, jb *modeler.Job)
		age    time.Duration
		want   Reason
	}{
		"useless":           {func(*Hint, *modeler.Job) {}, 0, Useless},
		"old":               {func(*Hint, *modeler.Job) {}, maxHintAge, NoHint},
		"old at the leader": {func(ht *Hint, _ *modeler.Job) { ht.Age = maxHintAge }, 0, NoHint},
		"other leader":      {func(ht *Hint, _ *modeler.Job) { ht.Epoch = 2 }, 0, OtherEpoch},
		"other queue":       {func(_ *Hint, jb *modeler.Job) { jb.Queue = "urgent" }, 0, NotBehind},
		"few ends":          {func(ht *Hint, _ *modeler.Job) { ht.Queues[0].Ended = MinObservations - 1 }, 0, FewObserved},
		"few late jobs":     {func(ht *Hint, _ *modeler.Job) { ht.Queues[0].Missed = MinObservations - 1 }, 0, FewObserved},
		"long-running":      {func(_ *Hint, jb *modeler.Job) { jb.Steps[0].LongRunning = true }, 0, NotBounded},
		"due later":         {func(_ *Hint, jb *modeler.Job) { jb.Repeats = 1 }, 0, NotBounded},
		"no estimate":       {func(_ *Hint, jb *modeler.Job) { jb.Steps[0].Estimate = 0 }, 0, NotBounded},
		"step without estimate": {func(_ *Hint, jb *modeler.Job) {
			jb.Steps = append(jb.Steps, modeler.Step{Count: 1, After: []int{0}})
		}, 0, NotBounded},
		"label":               {func(_ *Hint, jb *modeler.Job) { jb.Steps[0].Label = "gpu" }, 0, NotBounded},
		"data rack":           {func(_ *Hint, jb *modeler.Job) { jb.Steps[0].DataRack = "r1" }, 0, NotBounded},
		"no objective":        {func(_ *Hint, jb *modeler.Job) { jb.MaxSlowdown, jb.Slack = 0, 0 }, 0, NotBounded},
		"one job was quick":   {func(ht *Hint, _ *modeler.Job) { ht.Queues[0].Delay = 5 * time.Second }, 0, StillUseful},
		"short queue":         {func(ht *Hint, _ *modeler.Job) { ht.Queues[0].Drain = 6 * time.Second }, 0, StillUseful},
		"estimates too short": {func(ht *Hint, _ *modeler.Job) { ht.Queues[0].Overrun = maxOverrun }, 0, StillUseful},
	} {
		t.Run(name, func(t *testing.T) {
			ht, jb := uselessHint(), newJob(1)
			tc.change(&ht, jb)
			var rj Rejecter
			rj.Update(ht, start)
			dc := rj.Decide(jb, 3, start.Add(tc.age))
			qt.Check(t, dc.Reason, qt.Equals, tc.want)
		})
	}
	t.Run("leader's own hint", func(t *testing.T) {
		ht := uselessHint()
		for age, want := range map[time.Duration]Reason{maxHintAge - 1: Useless, maxHintAge: NoHint} {
			ht.Age = age
			dc := ht.Decide(newJob(1))
			qt.Check(t, dc.Reason, qt.Equals, want)
			qt.Check(t, dc.HintAge, qt.Equals, age)
		}
	})
	t.Run("no hint", func(t *testing.T) {
		var rj Rejecter
		qt.Check(t, rj.Decide(newJob(1), 0, start).Reason, qt.Equals, NoHint)
	})
	t.Run("hints overtake each other", func(t *testing.T) {
		var rj Rejecter
		rj.Update(Hint{Epoch: 3}, start.Add(time.Millisecond))
		rj.Update(uselessHint(), start)
		qt.Check(t, rj.Decide(newJob(1), 3, start.Add(time.Millisecond)).Reason, qt.Equals, NotBehind)
	})
}

// Guards against callers that were refused together and come back together, and against a time that is longer
// than the caller waits.
func TestRetryAfter(t *testing.T) {
	const callers = 400
	for name, tc := range map[string]struct {
		drain, patience time.Duration
		seconds         int
	}{
		"capacity soon":    {7 * time.Second, time.Minute, 2},
		"capacity later":   {10250 * time.Millisecond, time.Minute, 5},
		"capacity unclear": {time.Hour, time.Minute, 8},
		"caller gives up":  {time.Hour, 3 * time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) {
			dc := Decision{Load: QueueLoad{Drain: tc.drain}, Limit: useful}
			back := map[time.Duration]int{}
			for no := range callers {
				back[dc.RetryAfter(newJob(no).ID, tc.patience)]++
			}
			qt.Check(t, back, qt.HasLen, tc.seconds)
			for after, count := range back {
				qt.Check(t, after%time.Second, qt.Equals, time.Duration(0))
				qt.Check(t, after >= time.Second && after <= time.Duration(tc.seconds)*time.Second, qt.IsTrue, qt.Commentf("%s", after))
				// With one time for all, all of them come back at once.
				qt.Check(t, count < callers/tc.seconds*3/2, qt.IsTrue, qt.Commentf("%d of %d callers after %s", count, callers, after))
			}
		})
	}
}

// Guards against hints of other versions that make a host refuse jobs or use much memory.
func FuzzDecodeHint(f *testing.F) {
	ht := uselessHint()
	f.Add(WithAge(ht.Encode(), 20*time.Millisecond))
	f.Add(`1s {"Epoch":1,"Queues":[{"Queue":"a","Overrun":5}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		ht, err := DecodeHint(text)
		if err != nil {
			qt.Assert(t, err, qt.ErrorIs, ErrInvalidHint)
			return
		}
		again, err := DecodeHint(WithAge(ht.Encode(), ht.Age))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, WithAge(again.Encode(), again.Age), qt.Equals, WithAge(ht.Encode(), ht.Age))
	})
}
