package reporter

import "time"

// LineBudget bounds the log lines of one kind in a second. The zero value has logged nothing yet. It is not safe for
// concurrent use.
type LineBudget struct {
	// began is the start of the present second, used the number of its lines.
	began time.Time
	used  int
	// omitted is the number of lines that were omitted since the last one.
	omitted int
}

// Take reports whether one more line may be logged, and how many were omitted before it.
func (lb *LineBudget) Take(limit int, now time.Time) (bool, int) {
	if now.Sub(lb.began) >= time.Second {
		lb.began, lb.used = now, 0
	}
	if lb.used >= limit {
		lb.omitted++
		return false, 0
	}
	omitted := lb.omitted
	lb.used, lb.omitted = lb.used+1, 0
	return true, omitted
}
