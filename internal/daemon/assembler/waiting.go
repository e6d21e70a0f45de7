package assembler

import (
	"errors"
	"fmt"
	"net/http"
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

	gate gate
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
	if !wl.gate.enter(minListInterval) {
		return nil, errListBusy
	}
	defer wl.gate.leave()
	wg, err := dr.Waiting()
	if errors.Is(err, director.ErrNotLoaded) {
		return nil, notLoaded(err)
	}
	return wg, err
}
