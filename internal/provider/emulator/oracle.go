package emulator

import (
	"fmt"
	"maps"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// Task identifies a task of a job in the oracle.
type Task struct {
	Job  string
	Task int
}

// WorkersOracle is what the emulated workers recorded, for tests.
type WorkersOracle struct {
	// Greatest holds the greatest reservation of each worker at any time.
	Greatest map[modeler.WorkerName]supervisor.Resources
	// Executions counts the started attempts of each task.
	Executions map[Task]int
	// Resumes counts, for each stopped attempt, the starts of the attempt with the next number.
	Resumes map[supervisor.Attempt]int
	// Violations describes each start above the capacity of a worker, each start of a task while
	// another attempt of it could still run, and each second execution of one attempt.
	Violations []string
}

type oracle struct {
	WorkersOracle
	// begun counts the starts of each attempt.
	begun map[supervisor.Attempt]int
}

func newOracle() oracle {
	return oracle{
		WorkersOracle: WorkersOracle{
			Greatest:   map[modeler.WorkerName]supervisor.Resources{},
			Executions: map[Task]int{},
			Resumes:    map[supervisor.Attempt]int{},
		},
		begun: map[supervisor.Attempt]int{},
	}
}

// Oracle returns a copy of what was recorded.
func (wks *Workers) Oracle() WorkersOracle {
	wks.mu.Lock()
	defer wks.mu.Unlock()
	or := wks.oracle.WorkersOracle
	or.Greatest = maps.Clone(or.Greatest)
	or.Executions = maps.Clone(or.Executions)
	or.Resumes = maps.Clone(or.Resumes)
	or.Violations = append([]string(nil), or.Violations...)
	return or
}

func (or *oracle) recordStart(wks *Workers, wk *worker, cmd supervisor.StartCommand, total supervisor.Resources) {
	name := wk.spec.Name
	id := cmd.Attempt
	or.Executions[Task{id.Job, id.Task}]++
	or.Greatest[name] = maxResources(or.Greatest[name], total)
	or.begun[id]++
	if or.begun[id] > 1 {
		or.addViolation("attempt %v was executed %d times", id, or.begun[id])
	}
	if !fits(total, wk.spec.Capacity) {
		or.addViolation("worker %s holds %+v above its capacity", name, total)
	}
	for at, other := range wks.running[Task{id.Job, id.Task}] {
		// An attempt on a paused worker makes no progress once its lease has expired, because the
		// worker ends it first when it resumes.
		if time.Now().Before(at.leaseEnd) {
			or.addViolation("attempt %v on %s while attempt %d runs on %s", id, name, at.cmd.Attempt.Number, other.spec.Name)
		}
	}
	before := id
	before.Number--
	if _, evicted := or.Resumes[before]; evicted {
		or.Resumes[before]++
	}
}

func (or *oracle) recordStop(id supervisor.Attempt) {
	if _, known := or.Resumes[id]; !known {
		or.Resumes[id] = 0
	}
}

func (or *oracle) addViolation(format string, args ...any) {
	or.Violations = append(or.Violations, fmt.Sprintf(format, args...))
}

func maxResources(a, b supervisor.Resources) supervisor.Resources {
	return supervisor.Resources{
		Millicores:   max(a.Millicores, b.Millicores),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
