package rejecter

import (
	"maps"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

const (
	// maxEnds bounds the observed ends of a queue. Later ones replace the oldest.
	maxEnds = 512
	// overrunTime is the time after which a new highest overrun is determined. The last one counts as long again.
	overrunTime = 10 * time.Second
	// maxObservedQueues is the number of queues from which those without a recent end are dropped.
	maxObservedQueues = 256
)

// Observer collects what a leader observes of the jobs of its term. The zero value has no observations. It
// is not safe for concurrent use.
type Observer struct {
	queues map[modeler.QueueName]*observations
}

// observations are those of one queue.
type observations struct {
	// ends are in the order of their times.
	ends []observedEnd
	// overrun is the highest one since overrunSince, earlierOverrun that of the period before.
	overrun, earlierOverrun float64
	overrunSince            time.Time
}

// observedEnd is the completion of a job that took delay longer than its critical path.
type observedEnd struct {
	at    time.Time
	delay time.Duration
}

func (ob *Observer) queue(name modeler.QueueName, now time.Time) *observations {
	obs := ob.queues[name]
	if obs != nil {
		return obs
	}
	if ob.queues == nil {
		ob.queues = map[modeler.QueueName]*observations{}
	}
	if len(ob.queues) >= maxObservedQueues {
		maps.DeleteFunc(ob.queues, func(_ modeler.QueueName, other *observations) bool {
			return now.Sub(other.overrunSince) > 2*overrunTime && len(other.recentEnds(now)) == 0
		})
	}
	obs = &observations{overrunSince: now}
	ob.queues[name] = obs
	return obs
}

// ObserveEnd records that a job completed, a time after the leader heard of it.
func (ob *Observer) ObserveEnd(name modeler.QueueName, took, criticalPath time.Duration, now time.Time) {
	obs := ob.queue(name, now)
	obs.ends = append(obs.recentEnds(now), observedEnd{now, max(0, took-criticalPath)})
	if len(obs.ends) > maxEnds {
		obs.ends = slices.Delete(obs.ends, 0, len(obs.ends)-maxEnds)
	}
}

// ObserveRun records the run time of a task with an estimate.
func (ob *Observer) ObserveRun(name modeler.QueueName, took, estimate time.Duration, now time.Time) {
	if estimate <= 0 {
		return
	}
	obs := ob.queue(name, now)
	obs.rotate(now)
	obs.overrun = max(obs.overrun, float64(took)/float64(estimate))
}

func (obs *observations) rotate(now time.Time) {
	if since := now.Sub(obs.overrunSince); since >= overrunTime {
		obs.earlierOverrun = obs.overrun
		if since >= 2*overrunTime {
			obs.earlierOverrun = 0
		}
		obs.overrun, obs.overrunSince = 0, now
	}
}

// recentEnds returns the ends within Window.
func (obs *observations) recentEnds(now time.Time) []observedEnd {
	first := slices.IndexFunc(obs.ends, func(oe observedEnd) bool { return now.Sub(oe.at) < Window })
	if first < 0 {
		return nil
	}
	return obs.ends[first:]
}

// Load returns the load of a queue with a number of unfinished jobs, of which some missed their objective
// within Window. It returns false if there are too few observations for a refusal.
func (ob *Observer) Load(name modeler.QueueName, unfinished, missed int, now time.Time) (QueueLoad, bool) {
	obs := ob.queues[name]
	if obs == nil || missed < MinObservations {
		return QueueLoad{}, false
	}
	obs.rotate(now)
	ends := obs.recentEnds(now)
	if len(ends) < MinObservations {
		return QueueLoad{}, false
	}
	ql := QueueLoad{
		Queue: name, Ended: len(ends), Missed: missed, Delay: ends[0].delay, Drain: Window / time.Duration(len(ends)) * time.Duration(unfinished),
		Overrun: min(max(1, obs.overrun, obs.earlierOverrun), maxOverrun),
	}
	for _, oe := range ends {
		ql.Delay = min(ql.Delay, oe.delay)
	}
	return ql, true
}
