package director_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/director"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// runRandomFaults submits random jobs while leaders change, workers are cut off or crash, and
// requests are lost, in an order that depends on the seed. All jobs must have ended at the end.
func runRandomFaults(t *testing.T, seed uint64, policy director.ShortagePolicy) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	fl := newFleet(t, 6)
	fl.shortagePolicy = policy
	tm := fl.startTerm(0)
	defer func() { tm.end() }()
	for round := range 40 {
		if round < 30 {
			jb := randomJob(rnd, fl, modeler.JobID(fmt.Sprint("j", round)))
			tm.submit(jb)
		}
		switch rnd.IntN(9) {
		case 0:
			tm.end()
			tm = fl.startTerm(12 * time.Second)
		case 1:
			id := fl.infos[rnd.IntN(len(fl.infos))].ID
			fl.workers.SetUnreachable(id, true)
			time.AfterFunc(time.Duration(rnd.IntN(9000))*time.Millisecond, func() { fl.workers.SetUnreachable(id, false) })
		case 2:
			ix := rnd.IntN(len(fl.infos))
			fl.workers.Crash(fl.infos[ix].ID)
			fl.infos[ix] = fl.workers.Add(workerInfo(ix))
			tm.UpdateWorker(fl.infos[ix])
		case 3:
			kinds := []emulator.Fault{emulator.AnswerLost, emulator.RequestLost, emulator.Late, emulator.Unavailable}
			operations := []string{"Start", "Stop", "Renew", ""}
			fl.faults.Set(emulator.Switch{
				Fault: kinds[rnd.IntN(len(kinds))], Part: emulator.PartWorkers, Operation: operations[rnd.IntN(len(operations))],
				Count: 1 + rnd.IntN(8), Delay: time.Duration(2000+rnd.IntN(6000)) * time.Millisecond,
			})
		case 4:
			fl.faults.Set(emulator.Switch{Fault: emulator.Unavailable, Part: emulator.PartStore, Operation: "Put", Target: "Journal/", Count: 1 + rnd.IntN(10)})
		case 5:
			id := modeler.JobID(fmt.Sprint("j", rnd.IntN(round+1)))
			if st, ok := tm.JobState(id); ok && !st.Final() {
				fl.cancelled = append(fl.cancelled, id)
				tm.CancelJob(id)
			}
		}
		sleep(time.Duration(100+rnd.IntN(900)) * time.Millisecond)
		fl.assertNoViolations()
	}
	fl.faults.Clear()
	sleep(60 * time.Second)
	fl.assertNoViolations()
	for _, jb := range fl.jobs {
		st, ok := tm.JobState(jb.ID)
		qt.Check(t, ok, qt.IsTrue, qt.Commentf("job %s", jb.ID))
		qt.Check(t, st.Final(), qt.IsTrue, qt.Commentf("job %s is %s", jb.ID, st))
	}
}

func randomJob(rnd *rand.Rand, fl *fleet, id modeler.JobID) *modeler.Job {
	queues := []modeler.QueueName{"urgent", "batch"}
	jb := simpleJob(id, queues[rnd.IntN(2)], 1+rnd.IntN(5), cores(int64(500+rnd.IntN(3000))))
	jb.Steps[0].Checkpoints = rnd.IntN(2) == 0
	if rnd.IntN(2) == 0 {
		jb.Steps = append(jb.Steps, modeler.Step{Count: 1 + rnd.IntN(3), Needs: cores(800), After: []int{0}})
	}
	for no, sp := range jb.Steps {
		for ix := range sp.Count {
			fl.setBehaviour(modeler.TaskID{Job: id, Step: no, Index: ix}, emulator.TaskBehaviour{
				RunTime: time.Duration(200+rnd.IntN(2500)) * time.Millisecond,
				Fails:   rnd.IntN(60) == 0,
			})
		}
	}
	return jb
}
