package journaler_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
)

// history records the result of every append and checks recovered journals against it.
type history struct {
	mu sync.Mutex
	// clock is a logical clock that orders the starts and ends of appends.
	clock   int
	appends map[string]*appendCall
	// longestRecovered is the longest recovered journal.
	longestRecovered []string
	violations       []string
	boots            int
}

// appendCall is one call of append. Times are those of history.clock, zero if not reached.
type appendCall struct {
	began, ended int
	err          error
}

func newHistory() *history { return &history{appends: map[string]*appendCall{}} }

func (hs *history) addViolation(format string, args ...any) {
	hs.violations = append(hs.violations, fmt.Sprintf(format, args...))
}

func (hs *history) begin() (string, *appendCall) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.clock++
	ac := &appendCall{began: hs.clock}
	id := fmt.Sprint("r", len(hs.appends))
	hs.appends[id] = ac
	return id, ac
}

func (hs *history) end(ac *appendCall, err error) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.clock++
	ac.ended, ac.err = hs.clock, err
	hs.checkErrorKind(err)
}

// checkErrorKind checks that an error wraps exactly one of the documented errors.
func (hs *history) checkErrorKind(err error) {
	kinds := 0
	for _, kind := range []error{journaler.ErrDeposed, journaler.ErrUnavailable, journaler.ErrResultUnknown} {
		if errors.Is(err, kind) {
			kinds++
		}
	}
	if err != nil && kinds != 1 {
		hs.addViolation("error %v wraps %d of the documented errors, want 1", err, kinds)
	}
}

// check compares a recovered journal with all appends that had ended before the recovery started.
func (hs *history) check(got []string, began int) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	at := map[string]int{}
	for ix, id := range got {
		if _, twice := at[id]; twice {
			hs.addViolation("%s was recovered twice", id)
		}
		at[id] = ix
	}
	latest := 0
	for _, id := range got {
		latest = max(latest, hs.appends[id].began)
		if ac := hs.appends[id]; ac.ended != 0 && ac.ended < latest {
			hs.addViolation("%s is recovered after a record whose append started later", id)
		}
	}
	for id, ac := range hs.appends {
		_, found := at[id]
		if ac.ended == 0 || ac.ended > began {
			continue
		}
		if !found && ac.err == nil {
			hs.addViolation("%s was acknowledged but not recovered", id)
		}
		if found && ac.err != nil && !errors.Is(ac.err, journaler.ErrResultUnknown) {
			hs.addViolation("%s was recovered although its append returned %v", id, ac.err)
		}
	}
	hs.checkPrefix(got, "recovered journal")
}

// checkPrefix checks that the journal and the longest recovered one agree up to the shorter length.
func (hs *history) checkPrefix(got []string, source string) {
	shorter := min(len(got), len(hs.longestRecovered))
	if !slices.Equal(got[:shorter], hs.longestRecovered[:shorter]) {
		hs.addViolation("%[2]s %[1]v contradicts the longest recovered journal %[3]v", got, source, hs.longestRecovered)
	}
	if len(got) > len(hs.longestRecovered) {
		hs.longestRecovered = got
	}
}

// leader is the leader of one epoch. Its state is the list of applied record names.
type leader struct {
	*journaler.Journal
	history *history
	store   *stoppableStore
	epoch   modeler.Epoch
	mu      sync.Mutex
	state   []string
}

var options = journaler.Options{DataCentres: 3}

func open(hs *history, ss *stoppableStore) (*leader, error) {
	hs.mu.Lock()
	hs.boots++
	began := hs.clock
	name := fmt.Sprint("boot", hs.boots)
	hs.mu.Unlock()
	jn, rec, err := journaler.Open(context.Background(), ss, "dc", "host", modeler.BootID(name), options)
	if err != nil {
		hs.mu.Lock()
		defer hs.mu.Unlock()
		hs.checkErrorKind(err)
		return nil, err
	}
	ldr := &leader{Journal: jn, history: hs, store: ss, epoch: rec.Epoch}
	for _, rec := range append(rec.SnapshotRecords, rec.Records...) {
		ldr.state = append(ldr.state, string(rec.Data))
	}
	hs.check(slices.Clone(ldr.state), began)
	return ldr, nil
}

// mustOpen retries until the journal is open, since faults may be transient.
func mustOpen(hs *history, ss *stoppableStore) *leader {
	for range 30 {
		if ldr, err := open(hs, ss); err == nil {
			return ldr
		}
		time.Sleep(3 * time.Second)
	}
	hs.addViolation("opening the journal failed in all attempts")
	return nil
}

// append appends one record and applies it to the state.
func (ldr *leader) append() error {
	id, ac := ldr.history.begin()
	err := ldr.AppendAndApply(context.Background(), func(int64) {
		ldr.mu.Lock()
		defer ldr.mu.Unlock()
		ldr.state = append(ldr.state, id)
	}, journaler.Record{Kind: journaler.KindTask, Data: []byte(id)})
	ldr.history.end(ac, err)
	return err
}

// applied returns the number of applied records.
func (ldr *leader) applied() int {
	ldr.mu.Lock()
	defer ldr.mu.Unlock()
	return len(ldr.state)
}

func (ldr *leader) appendConcurrently(count int) {
	var wg sync.WaitGroup
	for range count {
		wg.Go(func() { _ = ldr.append() })
	}
	wg.Wait()
}

func (ldr *leader) snapshot() error {
	var parts []journaler.Record
	var upTo int64
	err := ldr.Barrier(context.Background(), func(pos int64) {
		upTo = pos
		for _, id := range ldr.state {
			parts = append(parts, journaler.Record{Kind: journaler.KindTask, Data: []byte(id)})
		}
	})
	if err != nil {
		return err
	}
	return ldr.Snapshot(context.Background(), parts, upTo)
}

// end closes the journal and checks that the state agrees with the recovered journals.
func (ldr *leader) end() {
	if ldr == nil {
		return
	}
	ldr.Close()
	ldr.history.mu.Lock()
	defer ldr.history.mu.Unlock()
	ldr.history.checkPrefix(slices.Clone(ldr.state), "state of a leader")
}

// finish recovers the journal once more without faults. It returns an error if there were violations.
func (hs *history) finish(st *emulator.Store) error {
	st.Faults().Clear()
	time.Sleep(time.Minute)
	mustOpen(hs, newStoppableStore(st)).end()
	if len(hs.violations) > 0 {
		return fmt.Errorf("%d violations, first: %s", len(hs.violations), hs.violations[0])
	}
	return nil
}

// stoppableStore is the store as used by one process, which can be paused or killed at a call.
type stoppableStore struct {
	// owner is the leader of the process, if it has one.
	owner *leader
	store journaler.Store
	mu    sync.Mutex
	calls int
	// stopAt is the number of the call, counted from 1, at which the process stops. Zero means never.
	// after determines whether it stops before or after the call takes effect.
	stopAt int
	after  bool
	// stopped is set once the process has stopped. resumed is closed and replaced when it resumes or
	// is killed.
	stopped bool
	resumed chan struct{}
	dead    bool
}

func newStoppableStore(st journaler.Store) *stoppableStore {
	return &stoppableStore{store: st, resumed: make(chan struct{})}
}

// stopAtCall stops the process at a call that is counted from 1 for the next one.
func (ss *stoppableStore) stopAtCall(calls int, after bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.stopAt == 0 && !ss.dead {
		ss.stopAt, ss.after = ss.calls+calls, after
	}
}

// release resumes the process, or kills it if dead.
func (ss *stoppableStore) release(dead bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.stopAt, ss.dead = 0, ss.dead || dead
	close(ss.resumed)
	ss.resumed = make(chan struct{})
}

// do executes a call unless the process is dead, and blocks while it is paused.
func (ss *stoppableStore) do(call func()) error {
	ss.mu.Lock()
	ss.calls++
	number := ss.calls
	ss.mu.Unlock()
	if ss.wait(number, false) {
		return storer.ErrUnavailable
	}
	call()
	if ss.wait(number, true) {
		return storer.ErrResultUnknown
	}
	return nil
}

func (ss *stoppableStore) wait(number int, after bool) bool {
	ss.mu.Lock()
	stops := ss.stopAt != 0 && (number > ss.stopAt || number == ss.stopAt && ss.after == after)
	resumed := ss.resumed
	ss.stopped = ss.stopped || stops
	ss.mu.Unlock()
	if stops {
		<-resumed
	}
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.dead
}

func (ss *stoppableStore) Get(ctx context.Context, key string) (en storer.Entry, err error) {
	if perr := ss.do(func() { en, err = ss.store.Get(ctx, key) }); perr != nil {
		return en, storer.ErrUnavailable
	}
	return en, err
}

func (ss *stoppableStore) Put(ctx context.Context, key string, value []byte, expected int64) (rev int64, err error) {
	if perr := ss.do(func() { rev, err = ss.store.Put(ctx, key, value, expected) }); perr != nil {
		return 0, perr
	}
	return rev, err
}

func (ss *stoppableStore) Delete(ctx context.Context, key string, expected int64) (err error) {
	if perr := ss.do(func() { err = ss.store.Delete(ctx, key, expected) }); perr != nil {
		return perr
	}
	return err
}

func (ss *stoppableStore) List(ctx context.Context, prefix, after string, limit int) (ens []storer.Entry, err error) {
	if perr := ss.do(func() { ens, err = ss.store.List(ctx, prefix, after, limit) }); perr != nil {
		return nil, storer.ErrUnavailable
	}
	return ens, err
}
