package modeler

import (
	"fmt"
	"strings"
	"time"
)

// Policy says how the policy service answers for a queue.
type Policy struct {
	// DecisionTime is the time of an answer.
	DecisionTime time.Duration `json:"Decide"`
	// TimePerWorker is the further time for each worker asked about.
	TimePerWorker time.Duration `json:"Period"`
	// PermitTTL is the lifetime of a permission.
	PermitTTL time.Duration `json:"Valid"`
}

// Queue is a queue of jobs as configured by operators.
type Queue struct {
	Name QueueName
	// Host and Prefix select the queue of a request.
	Host, Prefix string
	Pool         PoolName
	// Priority orders queues, 0 comes first.
	Priority int
	// Attempts is the number of failed runs of a task after which its job has failed.
	Attempts int
	// MaxSlowdown and Slack give the objective of a job: its longest chain of work times
	// MaxSlowdown, and Slack more.
	MaxSlowdown float64       `json:"Stretch"`
	Slack       time.Duration `json:"Target"`
	// Policy is nil for a queue whose tasks may run on every worker of the pool.
	Policy *Policy
}

// Pool is a set of workers.
type Pool struct {
	Name PoolName
	// AdmissionCheck means that the workers refuse starts beyond their capacity.
	AdmissionCheck bool `json:"Guarded"`
	// Spare workers are off.
	Spare bool
	// HealthPath answers with success while a worker considers itself healthy.
	HealthPath string
}

// Configuration is one revision of the operators' configuration of queues. It is never changed.
type Configuration struct {
	// Revision rises with every change.
	Revision int64
	Queues   []Queue
	Pools    map[PoolName]Pool
	// BodyLimit bounds the body of a request, in bytes.
	BodyLimit int64
	// HeaderLimit bounds the header of a request, in bytes.
	HeaderLimit int64
}

// Route returns the queue with the longest prefix for the path on the host, and the rest of the path.
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

// Queue returns the queue with the name, or nil.
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
	// Ticket is passed on with each start.
	Ticket string
	// TTL is the lifetime of the permission, from the question.
	TTL time.Duration
}

// StepID names one step of one occurrence of a job.
type StepID struct {
	Job              JobID
	Occurrence, Step int
}

// String returns the job, occurrence and step separated by dots.
func (id StepID) String() string { return fmt.Sprintf("%s.%d.%d", id.Job, id.Occurrence, id.Step) }
