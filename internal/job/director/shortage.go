package director

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
