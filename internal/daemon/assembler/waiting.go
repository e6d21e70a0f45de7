package assembler

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
)

// minListInterval is the least time between two lists of waiting tasks, each of which looks at all of them.
const minListInterval = time.Second

// waitingLister tells operators which tasks wait, and which do although there is room for them. It makes one list at a
// time.
type waitingLister struct {
	director func() *director.Director
	leader   func() elector.Leader

	mu sync.Mutex
	// lastAt is when the last list was made.
	lastAt time.Time
}

func (wl *waitingLister) ServeHTTP(wr http.ResponseWriter, _ *http.Request) {
	wg, err := wl.list()
	answerOperator(wr, wg, err)
}

var errListBusy = &explanationError{http.StatusServiceUnavailable, "Busy", fmt.Sprintf("one list of waiting tasks at a time, and one in %s", minListInterval)}

// list returns the list. Errors: *explanationError.
func (wl *waitingLister) list() (*director.Waiting, error) {
	dr := wl.director()
	if dr == nil {
		return nil, notLeader(wl.leader())
	}
	if !wl.mu.TryLock() {
		return nil, errListBusy
	}
	defer wl.mu.Unlock()
	if time.Since(wl.lastAt) < minListInterval {
		return nil, errListBusy
	}
	wl.lastAt = time.Now()
	wg, err := dr.Waiting()
	if errors.Is(err, director.ErrNotLoaded) {
		return nil, notLoaded(err)
	}
	return wg, err
}
