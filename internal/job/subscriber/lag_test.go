package subscriber

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a lag that begins anew with each higher revision, or that a change hides which is not the newest.
func TestLag(t *testing.T) {
	var la lag
	start := time.Unix(1_000_000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	la.report(5, at(0))
	la.report(6, at(3))
	la.report(6, at(4))
	qt.Check(t, la.duration(at(5)), qt.Equals, 5*time.Second)
	qt.Check(t, la.advance(5, at(6)), qt.Equals, 6*time.Second)
	qt.Check(t, la.duration(at(7)), qt.Equals, 4*time.Second)
	qt.Check(t, la.advance(6, at(8)), qt.Equals, 5*time.Second)
	qt.Check(t, la.duration(at(9)), qt.Equals, time.Duration(0))
}
