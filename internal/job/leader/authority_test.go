package leader

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/elector"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// authorityCase is a host that leads without a quorum.
type authorityCase struct {
	t      *testing.T
	faults *emulator.Faults
	leader *Leader
	// suspended is how long the machine was suspended. The test's clock does not count that time.
	suspended atomic.Int64
	journal   *journaler.Journal
	authority *authority
}

func withAuthority(t *testing.T, test func(ac *authorityCase)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ac := &authorityCase{t: t, faults: new(emulator.Faults)}
		self := elector.Member{Host: "host", Boot: "boot", Address: netip.MustParseAddrPort("10.0.0.1:80")}
		ac.leader = New(Options{Self: self, Limits: director.Limits{Lease: 6 * time.Second}, SuspendedTime: func() time.Duration { return time.Duration(ac.suspended.Load()) }})
		el := elector.New(elector.Options{
			Self: self, StoreAge: func() time.Duration { return 0 }, ConfigurationRevision: func() int64 { return 0 }, Log: logr.Discard(), Meter: meter.New(nil),
		})
		for ix := range 3 {
			el.HandleGreeting(&messenger.Greeting{Host: fmt.Sprint("other-", ix), Boot: "b", Address: "10.0.0.9:80"})
		}
		time.Sleep(time.Minute)
		ac.leader.SetElector(el)
		test(ac)
		ac.journal.Close()
	})
}

// open begins an epoch.
func (ac *authorityCase) open(st *emulator.Store) {
	ac.t.Helper()
	suspended := ac.leader.op.SuspendedTime()
	jn, _, err := journaler.Open(ac.t.Context(), st, "jobs", "host", "boot", journaler.Options{})
	qt.Assert(ac.t, err, qt.IsNil)
	ac.journal, ac.authority = jn, newAuthority(ac.leader, jn, suspended, modeler.Electorate{})
}

// append appends to the journal and, as journalCheckLoop does, takes notice of it.
func (ac *authorityCase) append() {
	ac.t.Helper()
	qt.Check(ac.t, ac.journal.Append(context.Background(), journaler.Record{Kind: journaler.KindTask}), qt.IsNil)
	ac.authority.confirm()
}

// Guards against requests to workers later than a successor expects, which a task that runs twice can follow from.
func TestAuthority(t *testing.T) {
	t.Run("counts from the begin of the epoch's write", func(t *testing.T) {
		withAuthority(t, func(ac *authorityCase) {
			// The epoch record is durable when the journal is read again, which takes long.
			ac.faults.Set(emulator.Switch{Fault: emulator.Slow, Part: emulator.PartStore, Operation: "Get", Skip: 2, Count: 1, Delay: 3 * time.Second})
			ac.open(emulator.NewStore(ac.faults))
			qt.Assert(t, time.Since(ac.journal.LastConfirmed()) >= 3*time.Second, qt.IsTrue)
			qt.Check(t, ac.authority.valid(), qt.IsTrue)
			time.Sleep(authorityTimeout - 3*time.Second)
			qt.Check(t, ac.authority.valid(), qt.IsFalse)
		})
	})
	t.Run("extends leases for a shorter time", func(t *testing.T) {
		withAuthority(t, func(ac *authorityCase) {
			ac.open(emulator.NewStore(ac.faults))
			time.Sleep(extensionTimeout - time.Millisecond)
			qt.Check(t, ac.authority.mayExtend(), qt.IsTrue)
			time.Sleep(time.Millisecond)
			qt.Check(t, ac.authority.mayExtend(), qt.IsFalse)
			time.Sleep(authorityTimeout - extensionTimeout - time.Millisecond)
			qt.Check(t, ac.authority.valid(), qt.IsTrue)
			time.Sleep(time.Millisecond)
			qt.Check(t, ac.authority.valid(), qt.IsFalse)
		})
	})
	t.Run("sends requests for no longer than a lease", func(t *testing.T) {
		withAuthority(t, func(ac *authorityCase) {
			ac.leader.op.Limits.Lease = 2 * time.Second
			ac.open(emulator.NewStore(ac.faults))
			time.Sleep(2*time.Second - time.Millisecond)
			qt.Check(t, ac.authority.valid(), qt.IsTrue)
			time.Sleep(time.Millisecond)
			qt.Check(t, ac.authority.valid(), qt.IsFalse)
		})
	})
	t.Run("suspended while it begins an epoch", func(t *testing.T) {
		withAuthority(t, func(ac *authorityCase) {
			ac.faults.Set(emulator.Switch{Fault: emulator.Slow, Part: emulator.PartStore, Operation: "Get", Skip: 2, Count: 1, Delay: time.Second})
			time.AfterFunc(500*time.Millisecond, func() { ac.suspended.Add(int64(10 * time.Second)) })
			ac.open(emulator.NewStore(ac.faults))
			qt.Check(t, ac.authority.valid(), qt.IsFalse)
		})
	})
	t.Run("suspended during an append", func(t *testing.T) {
		withAuthority(t, func(ac *authorityCase) {
			ac.open(emulator.NewStore(ac.faults))
			time.Sleep(journalCheckInterval)
			ac.append()
			qt.Check(t, ac.authority.valid(), qt.IsTrue)
			ac.faults.Set(emulator.Switch{Fault: emulator.Slow, Part: emulator.PartStore, Operation: "Put", Count: 1, Delay: time.Second})
			time.AfterFunc(500*time.Millisecond, func() { ac.suspended.Add(int64(10 * time.Second)) })
			ac.append()
			qt.Check(t, ac.authority.valid(), qt.IsFalse)
			time.Sleep(journalCheckInterval)
			ac.append()
			qt.Check(t, ac.authority.valid(), qt.IsTrue)
		})
	})
}
