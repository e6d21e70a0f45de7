package director

import "github.com/currantrouter/currantrouter/internal/job/modeler"

// ShortagePolicy is how a director orders and places tasks while capacity is short.
type ShortagePolicy string

// The shortage policies.
const (
	// DeadlinePolicy orders by priority, deadline class and latest start, see package ranker, whether or not
	// capacity is short.
	DeadlinePolicy ShortagePolicy = "Deadline"
	// ValuePolicy orders by the value that jobs can still yield while a pool is short of capacity, lets the
	// reserve for short tasks follow their demand, and lets best-effort tasks use the memory of held workers.
	ValuePolicy ShortagePolicy = "Value"
)

// followsValue reports whether ValuePolicy applies.
func (dr *Director) followsValue() bool { return dr.op.Limits.ShortagePolicy == ValuePolicy }

// freeBesideHeld returns what less urgent tasks may use of a held worker. Under ValuePolicy that is the memory
// beyond what the demands need for which it is held. Only best-effort tasks can use it, as all others need
// processors, and they take none from these demands: a worker lets them run on what others leave idle. Memory of
// runs that end counts as free only once they have ended.
func (rd *round) freeBesideHeld(ix int) modeler.Resources {
	if !rd.dr.followsValue() {
		return modeler.Resources{}
	}
	return modeler.Resources{MemoryMB: max(0, rd.workers[ix].free.MemoryMB-rd.heldFor[ix].MemoryMB)}
}
