package modeler

import (
	"fmt"
	"strings"
	"time"
)

// Policy describes the policy service of a queue. That service permits the tasks of a step to run
// on certain workers. It takes DecisionTime + TimePerWorker * workers to answer for some workers.
type Policy struct {
	// DecisionTime is the part of the response time that does not depend on the number of workers.
	DecisionTime time.Duration `json:"Decide"`
	// TimePerWorker is the additional response time for each worker in the query.
	TimePerWorker time.Duration `json:"Period"`
	// PermitTTL is the lifetime of a permit.
	PermitTTL time.Duration `json:"Valid"`
}

// Queue is a queue of jobs as configured by operators.
type Queue struct {
	Name QueueName
	// Host is the host name that requests for the queue are sent to.
	Host string
	// Prefix is the prefix of the paths of these requests.
	Prefix string
	Pool   PoolName
	// Priority is 0 for the most urgent queues and rises for less urgent ones.
	Priority int
	// Attempts is the number of failed runs of a task after which its job fails.
	Attempts int
	// MaxSlowdown and Slack define the objective of a job, the time from its due time to its end:
	// critical path * MaxSlowdown + Slack. The critical path is the expected run time of the
	// longest chain of dependent steps.
	MaxSlowdown float64 `json:"Stretch"`
	// Slack is the part of the objective that does not depend on the critical path.
	Slack time.Duration `json:"Target"`
	// Policy is nil for a queue whose tasks may run on every worker of the pool.
	Policy *Policy
}

// Pool describes a set of workers that run the tasks of the same queues.
type Pool struct {
	Name PoolName
	// AdmissionCheck means that the workers refuse starts beyond their capacity.
	AdmissionCheck bool `json:"Guarded"`
	// PoweredOff means that the workers are switched off.
	PoweredOff bool `json:"Spare"`
	// HealthPath is the HTTP path at which a worker answers with success while it considers itself
	// healthy.
	HealthPath string
}

// Configuration is one revision of the operators' configuration of queues. It is immutable.
type Configuration struct {
	// Revision rises with every change.
	Revision int64
	Queues   []Queue
	Pools    map[PoolName]Pool
	// BodyLimit is the maximum size of the body of a request, in bytes.
	BodyLimit int64
	// HeaderLimit is the maximum size of the header of a request, in bytes.
	HeaderLimit int64
}

// Route returns the queue of the host with the longest prefix of the path, and the rest of the
// path. It returns false when no queue matches.
func (cfg *Configuration) Route(host, path string) (*Queue, string, bool) {
	var best *Queue
	for ix := range cfg.Queues {
		qu := &cfg.Queues[ix]
		if qu.Host == host && strings.HasPrefix(path, qu.Prefix) && (best == nil || len(qu.Prefix) > len(best.Prefix)) {
			best = qu
		}
	}
	if best == nil {
		return nil, "", false
	}
	return best, path[len(best.Prefix):], true
}

// Queue returns the queue with a name, or nil when the configuration lacks it.
func (cfg *Configuration) Queue(name QueueName) *Queue {
	for ix := range cfg.Queues {
		if cfg.Queues[ix].Name == name {
			return &cfg.Queues[ix]
		}
	}
	return nil
}

// Permit is the policy service's permission to run the tasks of a step on a worker.
type Permit struct {
	Worker WorkerID
	// Ticket is the token that each start passes on to the worker.
	Ticket string
	// TTL is the lifetime of the permit, counted from when it was requested.
	TTL time.Duration
}

// StepID names one step of one occurrence of a job.
type StepID struct {
	Job              JobID
	Occurrence, Step int
}

// String returns the job, occurrence and step separated by dots.
func (id StepID) String() string { return fmt.Sprintf("%s.%d.%d", id.Job, id.Occurrence, id.Step) }
