package director

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/job/placer"
)

// chooseAmongAll returns what chooseWorker would if each choice looked at all workers.
func (rd *round) chooseAmongAll(tk *task, dm placer.Demand) (int, bool) {
	if dm.LongRunning {
		rd.applyReserve(tk, &dm)
	}
	rd.countSameStep(tk.step)
	rd.applyForecast(&dm)
	ix := placer.Choose(&dm, rd.cands, rd.allIndices())
	if _, ok := rd.allowReturn(tk, &dm, rd.cands); ok && ix < 0 {
		ix = placer.Choose(&dm, rd.cands, rd.allIndices())
	}
	mayReturn := dm.LongRunning && len(dm.Avoid) > 0 && rd.now.Sub(tk.lastActive) > maxAvoidTime
	if ix < 0 && dm.LongRunning && (len(rd.held) > 0 || mayReturn) {
		rd.freeHeld(tk)
		defer rd.holdAgain()
		if mayReturn {
			dm.Avoid = nil
		}
		rd.applyForecast(&dm)
		ix = placer.Choose(&dm, rd.cands, rd.allIndices())
	}
	fits := slices.ContainsFunc(rd.cands, func(cd placer.Candidate) bool { return placer.Feasible(&dm, &cd) })
	return ix, ix < 0 && len(dm.Avoid) > 0 && fits
}

// Guards against a worker that is passed over, beside held and avoided ones, as a choice examines only a part of the workers.
func TestChoicesUnderShortage(t *testing.T) {
	for _, policy := range []ShortagePolicy{DeadlinePolicy, ValuePolicy} {
		for seed := range uint64(60) {
			t.Run(fmt.Sprint(policy, " seed ", seed), func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(seed, 5))
				dr := newMixedBacklog(40)
				dr.op.Limits.ShortagePolicy = policy
				for _, wk := range dr.orderedWorkers() {
					wk.free = modeler.Resources{MilliCores: rnd.Int64N(7000) - 1000, MemoryMB: rnd.Int64N(400)}
					wk.ending = modeler.Resources{MilliCores: 9000, MemoryMB: 1000}
				}
				rd := dr.newRound(time.Now())
				rd.startsLeft, rd.maxMisses, rd.maxHeld = 10_000, 10_000, 6
				for ix := range rd.cands {
					rd.cands[ix].LongLease = rnd.IntN(4) == 0
				}
				rd.excludeOtherPools("pool")
				for range 3 {
					for _, rs := range rd.steps {
						rd.assertSameAsAll(t, rs.step, rnd)
					}
				}
			})
		}
	}
}

// assertSameAsAll chooses for some tasks of a step and places them, or holds a worker.
func (rd *round) assertSameAsAll(t *testing.T, sp *step, rnd *rand.Rand) {
	t.Helper()
	for range min(1+rnd.IntN(5), len(sp.waiting)) {
		tk := sp.waiting[0]
		for range rnd.IntN(4) {
			tk.avoidWorker(rd.workers[rnd.IntN(len(rd.workers))].info.ID)
		}
		if rnd.IntN(2) == 0 {
			tk.lastActive = rd.now
		}
		rd.placingAged = sp.spec.LongRunning && rnd.IntN(2) == 0
		dm := rd.dr.demand(tk)
		given, first := dm, rnd.IntN(2) == 0
		var wantIx int
		var wantFits bool
		if first {
			wantIx, wantFits = rd.chooseAmongAll(tk, given)
		}
		ix, fits := rd.chooseWorker(tk, &dm)
		if !first {
			wantIx, wantFits = rd.chooseAmongAll(tk, given)
		}
		qt.Assert(t, ix, qt.Equals, wantIx)
		qt.Assert(t, fits, qt.Equals, wantFits)
		switch {
		case ix >= 0:
			rd.placeTask(tk, ix)
		case sp.spec.LongRunning:
			rd.holdForAged(sp, &dm)
		default:
			rd.holdWorker(tk, &placer.Demand{Needs: modeler.Resources{MilliCores: 9000, MemoryMB: 100}})
		}
	}
}
