package modeler

import (
	"errors"
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

// valid reports whether the times are within the bounds of durations.
func (po *Policy) valid() bool {
	return durationInRange(po.DecisionTime) && durationInRange(po.TimePerWorker) && durationInRange(po.PermitTTL)
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

const (
	// MaxRevision is the largest integer that every JSON decoder reads exactly.
	MaxRevision = 1<<53 - 1
	// maxMessageBytes bounds BodyLimit and HeaderLimit.
	maxMessageBytes = 1 << 30
	// maxRouteBytes bounds the host and the prefix of a queue.
	maxRouteBytes = 4 << 10
)

// ErrInvalidConfiguration means that a configuration has values out of bounds.
var ErrInvalidConfiguration = errors.New("invalid configuration")

// Check returns ErrInvalidConfiguration, wrapped with the reason, for a configuration with values out
// of bounds. Names and prefixes may occur several times; the first queue counts then.
func (cfg *Configuration) Check() error {
	if cfg.Revision <= 0 || cfg.Revision > MaxRevision {
		return fmt.Errorf("%w: revision %d", ErrInvalidConfiguration, cfg.Revision)
	}
	if cfg.BodyLimit < 0 || cfg.BodyLimit > maxMessageBytes || cfg.HeaderLimit < 0 || cfg.HeaderLimit > maxMessageBytes {
		return fmt.Errorf("%w: limits of %d and %d bytes", ErrInvalidConfiguration, cfg.BodyLimit, cfg.HeaderLimit)
	}
	for ix := range cfg.Queues {
		if err := cfg.Queues[ix].check(); err != nil {
			return fmt.Errorf("%w: queue %d: %w", ErrInvalidConfiguration, ix, err)
		}
	}
	for _, pl := range cfg.Pools {
		if err := CheckName("pool", string(pl.Name)); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidConfiguration, err)
		}
	}
	return nil
}

func (qu *Queue) check() error {
	for _, name := range [...]string{string(qu.Name), string(qu.Pool)} {
		if err := CheckName("name", name); err != nil {
			return err
		}
	}
	switch {
	case len(qu.Host)+len(qu.Prefix) > maxRouteBytes:
		return fmt.Errorf("host and prefix of %d bytes", len(qu.Host)+len(qu.Prefix))
	case qu.Name == "" || qu.Pool == "":
		return fmt.Errorf("name %q, pool %q", qu.Name, qu.Pool)
	case qu.Attempts < 0:
		return fmt.Errorf("%d attempts", qu.Attempts)
	case !validObjective(qu.MaxSlowdown, qu.Slack):
		return errors.New("objective out of range")
	}
	if qu.Policy != nil && !qu.Policy.valid() {
		return errors.New("times of the policy out of range")
	}
	return nil
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
	// TTL is the lifetime of the permit, counted from when it was requested. Zero means that of the
	// queue's policy.
	TTL time.Duration
}

// ErrInvalidPermit means that a permit has values out of bounds.
var ErrInvalidPermit = errors.New("invalid permit")

// maxTicketBytes bounds a ticket, which each start carries.
const maxTicketBytes = 4 << 10

// Check returns ErrInvalidPermit for a permit that cannot be used.
func (pm *Permit) Check() error {
	if pm.Worker == "" || pm.Ticket == "" || len(pm.Ticket) > maxTicketBytes || !durationInRange(pm.TTL) {
		return fmt.Errorf("%w: worker %.200q, ticket of %d bytes, lifetime %s", ErrInvalidPermit, pm.Worker, len(pm.Ticket), pm.TTL)
	}
	return nil
}

// StepID names one step of one occurrence of a job.
type StepID struct {
	Job              JobID
	Occurrence, Step int
}

// String returns the job, occurrence and step separated by dots.
func (id StepID) String() string { return fmt.Sprintf("%s.%d.%d", id.Job, id.Occurrence, id.Step) }
