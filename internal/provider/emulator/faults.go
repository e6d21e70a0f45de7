package emulator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/process/pauser"
)

// Fault is a way in which a part of the platform misbehaves.
type Fault string

// The faults of calls to the platform.
const (
	// Unavailable: the call has no effect, and its error states that.
	Unavailable Fault = "Unavailable"
	// Slow: the call takes effect after Switch.Delay.
	Slow Fault = "Slow"
	// AnswerLost: the call takes effect and its answer is lost.
	AnswerLost Fault = "AnswerLost"
	// RequestLost: the call has no effect and gets no answer, so that its result is unknown to the caller.
	RequestLost Fault = "RequestLost"
	// Late: the call gets no answer and takes effect after Switch.Delay. Only for writes to the store and
	// calls to JobWorkers.
	Late Fault = "Late"
	// WatchGap: Wait of the store returns ErrGap.
	WatchGap Fault = "WatchGap"
	// WatchSilent: Wait of the store skips the changes that it would have returned.
	WatchSilent Fault = "WatchSilent"
	// StaleList: List of the store and the host list return what they held when the switch was
	// set.
	StaleList Fault = "StaleList"
	// FailEverything: a worker fails each attempt at once, a runner answers each call with 500.
	FailEverything Fault = "FailEverything"
	// Truncated: a runner sends half of the answer and closes the connection.
	Truncated Fault = "Truncated"
)

// Parts of the platform, as named by Switch.Part.
const (
	PartStore   = "Store"
	PartWorkers = "Workers"
	PartHosts   = "Hosts"
	PartRunners = "Runners"
)

// Switch turns a fault on for the calls that it matches. Empty fields match everything.
type Switch struct {
	Fault Fault
	// Part is one of PartStore, PartWorkers, PartHosts and PartRunners.
	Part string `json:",omitempty"`
	// Operation is the name of the called method, such as Put.
	Operation string `json:",omitempty"`
	// Target is a prefix of the key, or the name of the worker or runner.
	Target string `json:",omitempty"`
	// Skip is the number of matching calls that pass before the fault begins. It is not negative.
	Skip int `json:",omitempty"`
	// Count is the number of calls that fail after that, zero for all until the switch is cleared.
	Count int `json:",omitempty"`
	// Delay is the time of a Slow or Late call, in nanoseconds in JSON.
	Delay time.Duration `json:",omitempty"`
}

// Faults is the table of fault switches of a platform. It is safe for concurrent use.
type Faults struct {
	mu sync.Mutex
	// switches holds the active switches; their Skip and Count are counted down.
	switches []Switch
	// onSet holds hooks that are called with each new switch, without mu.
	onSet []func(Switch)
}

// Set adds switches to the table.
func (ft *Faults) Set(sws ...Switch) {
	ft.mu.Lock()
	ft.switches = append(ft.switches, sws...)
	hooks := slices.Clone(ft.onSet)
	ft.mu.Unlock()
	for _, sw := range sws {
		for _, hook := range hooks {
			hook(sw)
		}
	}
}

// Clear removes all switches.
func (ft *Faults) Clear() {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.switches = nil
}

// Active returns the switches that are still on.
func (ft *Faults) Active() []Switch {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	return slices.Clone(ft.switches)
}

// addHook adds a function that Set calls with each new switch.
func (ft *Faults) addHook(hook func(Switch)) {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.onSet = append(ft.onSet, hook)
}

// match returns the first switch with one of the faults that applies to the call, and counts its
// Count down. Switches that still skip calls count their Skip down instead.
func (ft *Faults) match(part, operation, target string, fts ...Fault) (Switch, bool) {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	for ix := range ft.switches {
		sw := &ft.switches[ix]
		if !slices.Contains(fts, sw.Fault) || !sw.matches(part, operation, target) {
			continue
		}
		if sw.Skip > 0 {
			sw.Skip--
			continue
		}
		hit := *sw
		if sw.Count == 1 {
			ft.switches = slices.Delete(ft.switches, ix, ix+1)
		} else if sw.Count > 1 {
			sw.Count--
		}
		return hit, true
	}
	return Switch{}, false
}

func (sw *Switch) matches(part, operation, target string) bool {
	if sw.Part != "" && sw.Part != part {
		return false
	}
	if sw.Operation != "" && sw.Operation != operation {
		return false
	}
	if sw.Part == PartStore {
		return strings.HasPrefix(target, sw.Target)
	}
	return sw.Target == "" || sw.Target == target
}

// sleep waits for the duration and returns early with the error of the context.
func sleep(ctx context.Context, dur time.Duration) error {
	if !pauser.Sleep(ctx, dur) {
		return ctx.Err()
	}
	return nil
}

// runAfter runs a function after a duration, never on the goroutine of the caller. In tests with package synctest, a
// timer that is due at once would run there and make the race detector fail.
func runAfter(dur time.Duration, run func()) *time.Timer {
	return time.AfterFunc(max(dur, time.Nanosecond), run)
}
