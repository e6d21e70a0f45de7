package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a task that waits beside an empty worker for one that stays full, and against a job that fails as its last
// attempt goes back to a faulty worker while another one is about to have capacity.
func TestReturn(t *testing.T) {
	for name, tc := range map[string]struct {
		ret  Return
		want bool
	}{
		"others never have capacity":               {Return{FreeAfter: NeverFree}, true},
		"others have it after a minute":            {Return{FreeAfter: time.Minute}, true},
		"others have it soon":                      {Return{FreeAfter: time.Second}, false},
		"others are late":                          {Return{Waited: MaxReturnWait, FreeAfter: time.Second}, true},
		"others would be late":                     {Return{Waited: MaxReturnWait - time.Second, FreeAfter: 1100 * time.Millisecond}, true},
		"last attempt, others after a minute":      {Return{Waited: time.Hour, FreeAfter: time.Minute, LastAttempt: true}, false},
		"last attempt, others never":               {Return{FreeAfter: NeverFree, LastAttempt: true}, false},
		"last attempt, others never, waited":       {Return{Waited: MaxReturnWait, FreeAfter: NeverFree, LastAttempt: true}, true},
		"last attempt, the worker has recovered":   {Return{FreeAfter: time.Minute, LastAttempt: true, Recovered: true}, true},
		"last attempt, others soon, has recovered": {Return{FreeAfter: time.Second, LastAttempt: true, Recovered: true}, false},
	} {
		t.Run(name, func(t *testing.T) { qt.Check(t, tc.ret.Allowed(), qt.Equals, tc.want) })
	}
}
