package placer

import (
	"math"
	"time"
)

// NeverFree is the FreeAfter of a task of which no other worker will have the capacity as runs end by themselves.
const NeverFree = time.Duration(math.MaxInt64)

// MaxReturnWait is how long a task waits for another worker before it goes back to one that it avoids. Callers are promised a
// run within 3 s of capacity, of which the rest is left for its start.
const MaxReturnWait = 2 * time.Second

// Return is what decides whether a task goes back to a worker that it avoids. To go back may cost one of the attempts of its
// job, to wait costs the job's time. It answers loads in which the other workers that could run the task are full, for a
// moment or for good.
type Return struct {
	// Waited is how long the task has waited since its last run.
	Waited time.Duration
	// FreeAfter is the expected time until another worker has capacity for the task, or NeverFree.
	FreeAfter time.Duration
	// LastAttempt is set if the job fails with one more failure.
	LastAttempt bool
	// Recovered is set if a task has succeeded on the worker since the last run of this one.
	Recovered bool
}

// Allowed reports whether the task may go back. The last attempt is kept for another worker as long as one is expected to
// have the capacity, unless the worker has recovered.
func (rt *Return) Allowed() bool {
	if rt.LastAttempt && !rt.Recovered {
		return rt.FreeAfter == NeverFree && rt.Waited >= MaxReturnWait
	}
	return rt.FreeAfter > MaxReturnWait-rt.Waited || rt.Waited >= MaxReturnWait
}
