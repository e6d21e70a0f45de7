package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

const (
	decideTime    = 40 * time.Millisecond
	periodTime    = 2 * time.Millisecond
	ticketTime    = 3 * time.Second
	allowedShare  = 60
	maxAskedAbout = 100
)

// policy is the stand-in of the policy service.
type policy struct {
	wd *world
	// busy is held during a call: the service handles one at a time.
	busy sync.Mutex

	mu      sync.Mutex
	tickets map[string]time.Time
	allowed func(stepName string, rn *runner) bool
}

// allow sets which runners may run a step.
func (po *policy) allow(allowed func(stepName string, rn *runner) bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.allowed = allowed
}

// allowSome allows a share of the runners to run a step, which are others for each step.
func allowSome(stepName string, rn *runner) bool {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(stepName + "/" + rn.id))
	return sum.Sum32()%100 < allowedShare
}

func (po *policy) good(stepName string, rn *runner) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.allowed(stepName, rn)
}

func ticketOf(stepName string, rn *runner) string {
	return fmt.Sprintf("t-%s-%s-%d", stepName, rn.id, rn.born)
}

// valid reports whether a ticket is valid for a task on a runner. The caller holds world.mu.
func (po *policy) valid(rn *runner, task taskName, ticket string) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	return ticket == ticketOf(task.stepName(), rn) && time.Now().Before(po.tickets[ticket])
}

// ServeHTTP implements http.Handler.
func (po *policy) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(rq.Body).Decode(&body); err != nil || rq.URL.Path != "/v1/advise" || len(body.Workers) > maxAskedAbout {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	po.busy.Lock()
	time.Sleep(decideTime + time.Duration(len(body.Workers))*periodTime)
	po.busy.Unlock()
	good := [][2]string{}
	po.wd.mu.Lock()
	for _, id := range body.Workers {
		for _, rn := range po.wd.runners {
			if rn.id == id && po.good(body.Step, rn) {
				ticket := ticketOf(body.Step, rn)
				po.mu.Lock()
				po.tickets[ticket] = time.Now().Add(ticketTime)
				po.mu.Unlock()
				good = append(good, [2]string{id, ticket})
			}
		}
	}
	po.wd.note("advice on %s for %d runners: %d good", body.Step, len(body.Workers), len(good))
	po.wd.mu.Unlock()
	reply(wr, http.StatusOK, map[string]any{"good": good, "validMs": ticketTime.Milliseconds()})
}
