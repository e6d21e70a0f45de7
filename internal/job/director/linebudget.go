package director

import "time"

// lineBudget bounds the log lines of one kind in a second.
type lineBudget struct {
	// began is the start of the present second, used the number of its lines.
	began time.Time
	used  int
	// omitted is the number of lines that were omitted since the last one.
	omitted int
}

// take reports whether one more line may be logged, and how many were omitted before it.
func (lb *lineBudget) take(limit int, now time.Time) (bool, int) {
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
