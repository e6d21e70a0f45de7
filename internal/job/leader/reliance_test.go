package leader

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/evacuator"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// Guards against starts by an outdated view although the store has answered this host or another one since, or although this
// host is cut off from both, and against starts that stop although neither is so.
func TestRelianceOnOutdatedView(t *testing.T) {
	const later = evacuator.AnswerGrace + 2*time.Second
	greet := func(ac *authorityCase, storeAge time.Duration) {
		ac.leader.elector.HandleGreeting(&messenger.Greeting{Host: "other-0", Boot: "b", Address: "10.0.0.9:80", StoreAge: storeAge.Milliseconds()})
	}
	for name, tc := range map[string]struct {
		happen func(ac *authorityCase)
		want   bool
	}{
		"store away": {func(ac *authorityCase) {
			time.Sleep(evacuator.AnswerGrace)
			ac.append()
			time.Sleep(later - evacuator.AnswerGrace)
			greet(ac, later-evacuator.AnswerGrace)
		}, true},
		"store answers this host": {func(ac *authorityCase) {
			time.Sleep(later)
			ac.append()
		}, false},
		"store answers another host": {func(ac *authorityCase) {
			time.Sleep(evacuator.AnswerGrace)
			ac.append()
			time.Sleep(later - evacuator.AnswerGrace)
			greet(ac, 0)
		}, false},
		"store has answered another host": {func(ac *authorityCase) {
			time.Sleep(evacuator.AnswerGrace)
			ac.append()
			time.Sleep(later - evacuator.AnswerGrace)
			greet(ac, later-evacuator.AnswerGrace-time.Millisecond)
		}, false},
		"cut off from store and hosts": {func(*authorityCase) { time.Sleep(later) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			withAuthority(t, func(ac *authorityCase) {
				ac.open(emulator.NewStore(ac.faults))
				ac.append()
				ew := ac.leader.newEvacuationWatch(&term{leader: ac.leader, journal: ac.journal, authority: ac.authority})
				qt.Assert(t, ew == nil, qt.IsTrue)
				ac.leader.op.EvacuationLimit = 5 * time.Second
				ew = ac.leader.newEvacuationWatch(&term{leader: ac.leader, journal: ac.journal, authority: ac.authority})
				readAt := time.Now()
				tc.happen(ac)
				qt.Check(t, ew.mayRely(readAt), qt.Equals, tc.want)
			})
		})
	}
}
