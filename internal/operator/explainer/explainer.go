// Package explainer tells the life of a job from the logs of hosts whose clocks differ.
package explainer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// contextMargin is the time before the first line of the ID from which lines about leaders, the store and
// workers are shown as well. It covers the detection of a lost leader or store.
const contextMargin = 5 * time.Second

// maxOffsetError is the error of offsets up to which a line is moved after its cause. A leader that hears of a job
// from its watch of the store may log that earlier for good reason.
const maxOffsetError = 20 * time.Millisecond

// Line is a log line of an explanation.
type Line struct {
	// At is the time on the clock of Explanation.Reference.
	At time.Time
	// Ahead is by how much the host's clock was ahead of the reference. It has been subtracted from At.
	Ahead time.Duration
	// Aligned is false if the host logged no message that another host logged too. At is its own time then.
	Aligned bool
	Host    string
	// Context is set if the line does not name the ID but a leader, or a store or worker of the ID.
	Context bool
	Fields  Fields
	// number is the position of the line in the logs of its host. It orders lines whose times do not, as
	// the host's clock may step back.
	number int
}

// WorkerFailures counts the failed runs of a worker, in all logs.
type WorkerFailures struct {
	Worker string
	Runs   int
	// Jobs is the number of different jobs of the runs.
	Jobs int
}

// Skipped counts the lines of a log that are not lines of a host's log in the format json.
type Skipped struct {
	Log   string
	Lines int
	// First is the number of the first such line, from 1.
	First int
}

// Explanation is what the logs say about an ID.
type Explanation struct {
	// Reference is the host on whose clock times are given.
	Reference string
	// Lines are in order.
	Lines []Line
	// Workers are those on which runs of the ID have failed.
	Workers []WorkerFailures
	Skipped []Skipped
}

// Explainer collects the lines that explain an ID.
type Explainer struct {
	id      string
	hosts   map[string]*hostLog
	groups  map[string]*group
	failed  map[string]map[string]int
	skipped []Skipped
}

// New returns an explainer for the ID of a job or task, or the name of a host, worker or queue.
func New(id string) *Explainer {
	return &Explainer{id: id, hosts: map[string]*hostLog{}, groups: map[string]*group{}, failed: map[string]map[string]int{}}
}

// hostLog holds what is kept of the logs of one host.
type hostLog struct {
	name  string
	lines int
	last  time.Time
	// steps is how often the clock was seen to step back.
	steps int
	// kept are the lines that name the ID or may be context.
	kept []Line
	// errors are the observed errors of the clock, by line number.
	errors  []clockError
	aligned bool
}

// add takes note of a line of a host.
func (ex *Explainer) add(host string, at time.Time, fields Fields) {
	hl := ex.hosts[host]
	if hl == nil {
		hl = &hostLog{name: host}
		ex.hosts[host] = hl
	}
	if at.Before(hl.last.Add(-minStep)) {
		hl.steps++
	}
	number := hl.lines
	hl.lines++
	hl.last = at
	ex.addSighting(sighting{hl, number, at}, fields)
	if fields.Event() == logger.TaskFailed.Number {
		jobs := ex.failed[fields.text("Worker")]
		if jobs == nil {
			jobs = map[string]int{}
			ex.failed[fields.text("Worker")] = jobs
		}
		job, _, _ := strings.Cut(fields.text("Task"), ".")
		jobs[job]++
	}
	named := fields.name(ex.id)
	if named || contextKindOf(fields) != noContext {
		hl.kept = append(hl.kept, Line{At: at, Host: host, Context: !named, Fields: fields, number: number})
	}
}

// contextKind says when a line that does not name the ID explains it.
type contextKind int

const (
	noContext contextKind = iota
	// aboutLeader lines explain every job of their time.
	aboutLeader
	// aboutHost lines explain jobs of which their host has lines.
	aboutHost
	// aboutWorker lines explain jobs with runs on the worker.
	aboutWorker
)

// contextKinds holds the events that may be context.
var contextKinds = map[int]contextKind{
	logger.LeadershipEnded.Number: aboutLeader, logger.TermBegun.Number: aboutLeader, logger.TermLoaded.Number: aboutLeader,
	logger.TermAccounted.Number: aboutLeader, logger.TermEnded.Number: aboutLeader, logger.LeaderGone.Number: aboutLeader,
	logger.LeaderElected.Number: aboutLeader,
	logger.DaemonStarted.Number: aboutHost, logger.DrainStarted.Number: aboutHost, logger.DaemonStopped.Number: aboutHost,
	logger.WatchLost.Number: aboutHost, logger.WatchRestored.Number: aboutHost, logger.LogLinesDropped.Number: aboutHost,
	logger.WorkerUnreachable.Number: aboutWorker, logger.WorkerReachable.Number: aboutWorker, logger.WorkerRestarted.Number: aboutWorker,
	logger.WorkerQuarantineBegun.Number: aboutWorker, logger.WorkerDraining.Number: aboutWorker, logger.WorkerUnregistered.Number: aboutWorker,
}

func contextKindOf(fields Fields) contextKind {
	if fields.Event() == logger.LeaderElected.Number && fields["Self"] != true {
		// The elected host itself logs the same.
		return noContext
	}
	return contextKinds[fields.Event()]
}

// Explain returns the lines that name the ID and their context, in order. It is called once, after all
// logs were read.
func (ex *Explainer) Explain() Explanation {
	reference := ex.align()
	for _, hl := range ex.hosts {
		hl.alignTimes()
	}
	ex.orderCauses()
	var named, context []Line
	for _, hl := range ex.hosts {
		hl.keepOrder()
		for _, ln := range hl.kept {
			if ln.Context {
				context = append(context, ln)
			} else {
				named = append(named, ln)
			}
		}
	}
	lines := append(named, explaining(named, context)...)
	sortLines(lines)
	return Explanation{Reference: reference, Lines: lines, Workers: ex.workersOf(named), Skipped: ex.skipped}
}

// alignTimes subtracts the errors of the host's clock from the times of the kept lines.
func (hl *hostLog) alignTimes() {
	for ix := range hl.kept {
		ln := &hl.kept[ix]
		ln.Ahead, ln.Aligned = hl.errorAt(ln.number), hl.aligned
		ln.At = ln.At.Add(-ln.Ahead)
	}
}

// causes holds the events that a host logs before it notifies the leader, by the event that the leader logs then.
var causes = map[int]int{
	logger.JobTakenOver.Number: logger.JobAccepted.Number,
	logger.JobCancelled.Number: logger.CancellationStored.Number,
}

// cause identifies the line on a job that caused another one.
type cause struct {
	event int
	job   string
}

// orderCauses moves lines after their causes where the times do not, as the offsets of clocks are not exact.
func (ex *Explainer) orderCauses() {
	first := map[cause]time.Time{}
	for _, hl := range ex.hosts {
		for _, ln := range hl.kept {
			cs := cause{ln.Fields.Event(), ln.Fields.text("Job")}
			if at, ok := first[cs]; !ok || ln.At.Before(at) {
				first[cs] = ln.At
			}
		}
	}
	for _, hl := range ex.hosts {
		for ix := range hl.kept {
			ln := &hl.kept[ix]
			at, ok := first[cause{causes[ln.Fields.Event()], ln.Fields.text("Job")}]
			if ok && !ln.At.After(at) && at.Sub(ln.At) < maxOffsetError {
				ln.At = at.Add(time.Nanosecond)
			}
		}
	}
}

// keepOrder makes the times of the kept lines rise.
func (hl *hostLog) keepOrder() {
	var latest time.Time
	for ix := range hl.kept {
		if ln := &hl.kept[ix]; ln.At.Before(latest) {
			ln.At = latest
		}
		latest = hl.kept[ix].At
	}
}

// explaining returns the lines of context that explain the lines that name the ID.
func explaining(named, context []Line) []Line {
	if len(named) == 0 {
		return nil
	}
	first, last := named[0].At, named[0].At
	hosts, workers := map[string]bool{}, map[string]bool{}
	for _, ln := range named {
		if ln.At.Before(first) {
			first = ln.At
		}
		if ln.At.After(last) {
			last = ln.At
		}
		hosts[ln.Host] = true
		workers[ln.Fields.text("Worker")] = true
	}
	return slices.DeleteFunc(slices.Clone(context), func(ln Line) bool {
		if ln.At.Before(first.Add(-contextMargin)) || ln.At.After(last) {
			return true
		}
		switch contextKindOf(ln.Fields) {
		case aboutHost:
			return !hosts[ln.Host]
		case aboutWorker:
			return !workers[ln.Fields.text("Worker")]
		}
		return false
	})
}

// workersOf returns the workers on which runs in the lines have failed, sorted by name.
func (ex *Explainer) workersOf(named []Line) []WorkerFailures {
	var list []WorkerFailures
	for _, ln := range named {
		worker := ln.Fields.text("Worker")
		seen := slices.ContainsFunc(list, func(wf WorkerFailures) bool { return wf.Worker == worker })
		if ln.Fields.Event() != logger.TaskFailed.Number || seen {
			continue
		}
		wf := WorkerFailures{Worker: worker, Jobs: len(ex.failed[worker])}
		for _, runs := range ex.failed[worker] {
			wf.Runs += runs
		}
		list = append(list, wf)
	}
	slices.SortFunc(list, func(one, two WorkerFailures) int { return strings.Compare(one.Worker, two.Worker) })
	return list
}

// sortLines sorts lines by time but keeps the order within each host.
func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(one, two Line) int {
		if one.Host == two.Host {
			return cmp.Compare(one.number, two.number)
		}
		return cmp.Or(one.At.Compare(two.At), strings.Compare(one.Host, two.Host))
	})
}
