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

// ledger remembers what the journal promised for every record, and compares it with recoveries.
type ledger struct {
	mu sync.Mutex
	// clock orders the beginnings and ends of appends.
	clock   int
	entries map[string]*entry
	// longest is the longest recovered journal.
	longest  []string
	problems []string
	boots    int
}

type entry struct {
	began, ended int
	err          error
}

func newLedger() *ledger { return &ledger{entries: map[string]*entry{}} }

func (ld *ledger) problem(format string, args ...any) {
	ld.problems = append(ld.problems, fmt.Sprintf(format, args...))
}

func (ld *ledger) begin() (string, *entry) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.clock++
	en := &entry{began: ld.clock}
	id := fmt.Sprint("r", len(ld.entries))
	ld.entries[id] = en
	return id, en
}

func (ld *ledger) end(en *entry, err error) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.clock++
	en.ended, en.err = ld.clock, err
	ld.checkError(err)
}

// checkError demands that an error promises one thing only.
func (ld *ledger) checkError(err error) {
	promises := 0
	for _, promise := range []error{journaler.ErrDeposed, journaler.ErrUnavailable, journaler.ErrResultUnknown} {
		if errors.Is(err, promise) {
			promises++
		}
	}
	if err != nil && promises != 1 {
		ld.problem("the error %v makes %d promises", err, promises)
	}
}

// check compares a recovered journal with all appends that had ended before the recovery began.
func (ld *ledger) check(got []string, began int) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	at := map[string]int{}
	for ix, id := range got {
		if _, twice := at[id]; twice {
			ld.problem("%s recovered twice", id)
		}
		at[id] = ix
	}
	latest := 0
	for _, id := range got {
		latest = max(latest, ld.entries[id].began)
		if en := ld.entries[id]; en.ended != 0 && en.ended < latest {
			ld.problem("%s is recovered behind a record that was appended later", id)
		}
	}
	for id, en := range ld.entries {
		_, found := at[id]
		if en.ended == 0 || en.ended > began {
			continue
		}
		if !found && en.err == nil {
			ld.problem("%s was acknowledged and is lost", id)
		}
		if found && en.err != nil && !errors.Is(en.err, journaler.ErrResultUnknown) {
			ld.problem("%s is recovered after the error %v", id, en.err)
		}
	}
	ld.checkPrefix(got, "an earlier recovery")
}

// checkPrefix demands that of two views of the journal one is the beginning of the other.
func (ld *ledger) checkPrefix(got []string, what string) {
	shorter := min(len(got), len(ld.longest))
	if !slices.Equal(got[:shorter], ld.longest[:shorter]) {
		ld.problem("%v differs from %s %v", got, what, ld.longest)
	}
	if len(got) > len(ld.longest) {
		ld.longest = got
	}
}

// leader is one epoch with a state that is the list of the record names.
type leader struct {
	*journaler.Journal
	ledger *ledger
	gate   *gate
	epoch  modeler.Epoch
	mu     sync.Mutex
	state  []string
}

var options = journaler.Options{DataCentres: 3}

func open(ld *ledger, gt *gate) (*leader, error) {
	ld.mu.Lock()
	ld.boots++
	began := ld.clock
	name := fmt.Sprint("boot", ld.boots)
	ld.mu.Unlock()
	jn, rec, err := journaler.Open(context.Background(), gt, "dc", "host", modeler.BootID(name), options)
	if err != nil {
		ld.mu.Lock()
		defer ld.mu.Unlock()
		ld.checkError(err)
		return nil, err
	}
	ldr := &leader{Journal: jn, ledger: ld, gate: gt, epoch: rec.Epoch}
	for _, rec := range append(rec.Parts, rec.Records...) {
		ldr.state = append(ldr.state, string(rec.Data))
	}
	ld.check(slices.Clone(ldr.state), began)
	return ldr, nil
}

// mustOpen opens the journal against passing faults.
func mustOpen(ld *ledger, gt *gate) *leader {
	for range 30 {
		if ldr, err := open(ld, gt); err == nil {
			return ldr
		}
		time.Sleep(3 * time.Second)
	}
	ld.problem("the journal cannot be opened")
	return nil
}

// append appends one record of the state.
func (ldr *leader) append() error {
	id, en := ldr.ledger.begin()
	err := ldr.AppendThen(context.Background(), func(int64) {
		ldr.mu.Lock()
		defer ldr.mu.Unlock()
		ldr.state = append(ldr.state, id)
	}, journaler.Record{Kind: journaler.KindTask, Data: []byte(id)})
	ldr.ledger.end(en, err)
	return err
}

// applied returns the number of records in the state.
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
	err := ldr.Between(context.Background(), func(pos int64) {
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

// end closes the journal and compares the state with what others recovered.
func (ldr *leader) end() {
	if ldr == nil {
		return
	}
	ldr.Close()
	ldr.ledger.mu.Lock()
	defer ldr.ledger.mu.Unlock()
	ldr.ledger.checkPrefix(slices.Clone(ldr.state), "the journal, as the state of a leader,")
}

// finish recovers the journal once more without faults and returns what went wrong.
func (ld *ledger) finish(st *emulator.Store) error {
	st.Faults().Clear()
	time.Sleep(time.Minute)
	mustOpen(ld, newGate(st)).end()
	if len(ld.problems) > 0 {
		return fmt.Errorf("%d problems, first: %s", len(ld.problems), ld.problems[0])
	}
	return nil
}

// gate is a store as seen by one process, which can be paused or killed at a call.
type gate struct {
	// owner is the leader of the process, if it has one.
	owner *leader
	store journaler.Store
	mu    sync.Mutex
	calls int
	// stopAt is the number of the call, from 1, at which the process stops, before or after it
	// took effect. Zero means never.
	stopAt int
	after  bool
	// reached is set once the process has stopped. released is closed and replaced when it resumes
	// or dies.
	reached  bool
	released chan struct{}
	dead     bool
}

func newGate(st journaler.Store) *gate {
	return &gate{store: st, released: make(chan struct{})}
}

func (gt *gate) stopNext(calls int, after bool) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if gt.stopAt == 0 && !gt.dead {
		gt.stopAt, gt.after = gt.calls+calls, after
	}
}

func (gt *gate) release(dead bool) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.stopAt, gt.dead = 0, gt.dead || dead
	close(gt.released)
	gt.released = make(chan struct{})
}

// pass executes a call unless the process is dead, and waits while it is paused.
func (gt *gate) pass(call func()) error {
	gt.mu.Lock()
	gt.calls++
	number := gt.calls
	gt.mu.Unlock()
	if gt.wait(number, false) {
		return storer.ErrUnavailable
	}
	call()
	if gt.wait(number, true) {
		return storer.ErrResultUnknown
	}
	return nil
}

func (gt *gate) wait(number int, after bool) bool {
	gt.mu.Lock()
	stops := gt.stopAt != 0 && (number > gt.stopAt || number == gt.stopAt && gt.after == after)
	released := gt.released
	gt.reached = gt.reached || stops
	gt.mu.Unlock()
	if stops {
		<-released
	}
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return gt.dead
}

func (gt *gate) Get(ctx context.Context, key string) (en storer.Entry, err error) {
	if perr := gt.pass(func() { en, err = gt.store.Get(ctx, key) }); perr != nil {
		return en, storer.ErrUnavailable
	}
	return en, err
}

func (gt *gate) Put(ctx context.Context, key string, value []byte, expected int64) (rev int64, err error) {
	if perr := gt.pass(func() { rev, err = gt.store.Put(ctx, key, value, expected) }); perr != nil {
		return 0, perr
	}
	return rev, err
}

func (gt *gate) Delete(ctx context.Context, key string, expected int64) (err error) {
	if perr := gt.pass(func() { err = gt.store.Delete(ctx, key, expected) }); perr != nil {
		return perr
	}
	return err
}

func (gt *gate) List(ctx context.Context, prefix, after string, limit int) (ens []storer.Entry, err error) {
	if perr := gt.pass(func() { ens, err = gt.store.List(ctx, prefix, after, limit) }); perr != nil {
		return nil, storer.ErrUnavailable
	}
	return ens, err
}
