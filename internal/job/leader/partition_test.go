package leader_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

const (
	// maxCutTime bounds the time for which hosts are cut off from each other.
	maxCutTime = 45 * time.Second
	// maxQuorumWithoutStore is how long a majority of hosts may confirm a leader while the store does not.
	maxQuorumWithoutStore = 30 * time.Second
	// settleTime is the time from the end of all faults after which long-running tasks must run again.
	settleTime = 15 * time.Second
)

// sides says for each host, the store and each worker on which side of a cut it is.
type sides struct {
	hosts   []bool
	store   bool
	workers map[modeler.WorkerID]bool
}

// separate cuts the two sides off from each other. Without sides it ends the cut.
func (cl *cluster) separate(sd *sides) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for ix, ho := range cl.hosts {
		ho.cutPeers, ho.cutWorkers = map[netip.AddrPort]bool{}, map[modeler.WorkerID]workerCut{}
		ho.cutOut[storeLink], ho.cutIn[storeLink] = false, false
		if sd == nil {
			continue
		}
		for other := range cl.hosts {
			ho.cutPeers[hostAddress(other)] = sd.hosts[ix] != sd.hosts[other]
		}
		for id, side := range sd.workers {
			ho.cutWorkers[id] = workerCut{requests: sd.hosts[ix] != side}
		}
		cut := sd.hosts[ix] != sd.store
		ho.cutOut[storeLink], ho.cutIn[storeLink] = cut, cut
	}
}

// setStoreAway makes the store unreachable for all hosts.
func (cl *cluster) setStoreAway(away bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, ho := range cl.hosts {
		ho.cutOut[storeLink], ho.cutIn[storeLink] = away, away
	}
}

// startTask starts hosts and workers, and theTask. It returns the index of the leader and the worker of the task.
func (cl *cluster) startTask(longRunning bool) (int, modeler.WorkerID) {
	for ix := range cl.infos {
		cl.startWorker(ix)
	}
	for ix := range cl.hosts {
		cl.startHost(ix)
	}
	time.Sleep(5 * time.Second)
	lead := cl.leaderIndex()
	jb := &modeler.Job{ID: theTask.Job, Queue: "urgent", Spec: "spec", Pool: testPool, Submitted: time.Now(), Steps: []modeler.Step{{
		Count: 1, LongRunning: longRunning, Needs: modeler.Resources{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Minute,
	}}}
	cl.mu.Lock()
	cl.jobs[jb.ID] = jb
	cl.mu.Unlock()
	qt.Assert(cl.t, cl.process(lead).intaker.Submit(cl.t.Context(), jb), qt.IsNil)
	time.Sleep(4 * time.Second)
	where := cl.workers.WorkerOf(theTask)
	qt.Assert(cl.t, where, qt.Not(qt.Equals), modeler.WorkerID(""))
	return lead, where
}

// theTask is the task of startTask.
var theTask = modeler.TaskID{Job: "job"}

// Guards against a task that runs twice as a deposed leader, whose majority of hosts is cut off from the store and from
// the new leader, goes on extending leases, and against one that the new leader never starts.
func TestQuorumWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, 2, 1)
		defer cl.stop()
		lead, where := cl.startTask(true)
		sd := &sides{hosts: make([]bool, len(cl.hosts)), store: true, workers: map[modeler.WorkerID]bool{}}
		sd.hosts[(lead+1)%len(cl.hosts)] = true
		for _, info := range cl.infos {
			sd.workers[info.ID] = info.ID != where
		}
		cl.separate(sd)
		for range 30 {
			time.Sleep(time.Second)
			qt.Check(t, cl.workers.WorkerOf(theTask), qt.Equals, where)
		}
		time.Sleep(maxQuorumWithoutStore + cl.limits.MaxLeaseTime() + 5*time.Second - 30*time.Second)
		now := cl.workers.WorkerOf(theTask)
		qt.Check(t, now != "" && now != where, qt.IsTrue, qt.Commentf("runs on %q", now))
		cl.separate(nil)
		time.Sleep(settleTime)
		qt.Check(t, cl.workers.WorkerOf(theTask), qt.Equals, now)
		qt.Check(t, cl.workers.Violations(), qt.HasLen, 0)
	})
}

// Guards against a task that runs twice as a deposed leader, whose majority of hosts is cut off from the store and from
// the worker of the task, starts it again while the new leader extends its lease.
func TestDeposedLeaderWithoutWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, 2, 1)
		defer cl.stop()
		lead, where := cl.startTask(false)
		sd := &sides{hosts: make([]bool, len(cl.hosts)), store: true, workers: map[modeler.WorkerID]bool{}}
		sd.hosts[(lead+1)%len(cl.hosts)] = true
		for _, info := range cl.infos {
			sd.workers[info.ID] = info.ID == where
		}
		cl.separate(sd)
		time.Sleep(40 * time.Second)
		cl.separate(nil)
		time.Sleep(settleTime)
		qt.Check(t, cl.workers.StartCount(theTask), qt.Equals, 1)
		qt.Check(t, cl.workers.Violations(), qt.HasLen, 0)
	})
}

// Guards against leases that lapse while the leader is confirmed by the store alone, by a majority of hosts alone, or for
// some seconds by neither.
func TestLeasesOutlastOutages(t *testing.T) {
	for _, tc := range []struct {
		name         string
		store, peers bool
		outage       time.Duration
		// delay is added to the time of each message, of which heartbeats to other hosts and their replies take four.
		delay time.Duration
	}{
		{"store away for 9 s", true, false, 9 * time.Second, 0},
		{"store away for 28 s", true, false, 28 * time.Second, 0},
		{"store away for 28 s, slow hosts", true, false, 28 * time.Second, 100 * time.Millisecond},
		{"no other host for 28 s", false, true, 28 * time.Second, 0},
		{"no other host for 28 s, slow hosts", false, true, 28 * time.Second, 100 * time.Millisecond},
		{"neither for 4.5 s", true, true, 4500 * time.Millisecond, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3, 2, 1)
				defer cl.stop()
				for _, ho := range cl.hosts {
					ho.delay = tc.delay
				}
				_, where := cl.startTask(true)
				starts := cl.workers.StartCount(theTask)
				for _, away := range []bool{true, false} {
					cl.setStoreAway(tc.store && away)
					cl.mu.Lock()
					for _, ho := range cl.hosts {
						ho.cutOut[peerLink] = tc.peers && away
					}
					cl.mu.Unlock()
					time.Sleep(tc.outage)
				}
				qt.Check(t, cl.workers.WorkerOf(theTask), qt.Equals, where)
				qt.Check(t, cl.workers.StartCount(theTask), qt.Equals, starts)
			})
		})
	}
}

// partitionRun is a run of a cluster that is cut into two sides in series.
type partitionRun struct {
	*termScenario
	rnd *rand.Rand
}

// flip returns true at random.
func (pr *partitionRun) flip() bool { return pr.rnd.IntN(2) == 0 }

// randomSides puts hosts, store and workers on a side each.
func (pr *partitionRun) randomSides() *sides {
	sd := &sides{hosts: make([]bool, len(pr.hosts)), store: pr.flip(), workers: map[modeler.WorkerID]bool{}}
	for ix := range sd.hosts {
		sd.hosts[ix] = pr.flip()
	}
	for _, info := range pr.infos {
		sd.workers[info.ID] = pr.flip()
	}
	return sd
}

// cutOnce cuts the cluster into two sides for a time in which a host or worker may restart.
func (pr *partitionRun) cutOnce() {
	pr.separate(pr.randomSides())
	end := time.Now().Add(500*time.Millisecond + time.Duration(pr.rnd.Int64N(int64(maxCutTime))))
	for time.Now().Before(end) {
		time.Sleep(time.Duration(pr.rnd.Int64N(int64(10 * time.Second))))
		switch ix, wx := pr.rnd.IntN(len(pr.hosts)), pr.rnd.IntN(len(pr.infos)); pr.rnd.IntN(6) {
		case 0:
			pr.killHost(ix)
			time.Sleep(time.Duration(pr.rnd.Int64N(int64(2 * time.Second))))
			pr.startHost(ix)
		case 1:
			pr.workers.Crash(pr.infos[wx].ID)
			time.Sleep(time.Duration(pr.rnd.Int64N(int64(2 * time.Second))))
			pr.startWorker(wx)
		case 2:
			pr.separate(pr.randomSides())
		}
	}
	pr.separate(nil)
	time.Sleep(time.Duration(pr.rnd.Int64N(int64(settleTime))))
}

// Guards against tasks that run twice as two leaders on the sides of a cut extend leases, and against tasks that do not
// run again after it. LEADER_SEEDS, LEADER_FIRST and LEADER_LOG apply as in TestCancellations.
func TestRandomPartitions(t *testing.T) { testRandomPartitions(t) }

// Guards against the same where requests to workers go by relays, which are on either side of a cut.
func TestRandomPartitionsWithRelays(t *testing.T) { testRandomPartitions(t) }

func testRandomPartitions(t *testing.T) {
	first, seeds := seedRangeOr(t, defaultTermSeeds)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(seed, 4))
				pr := &partitionRun{termScenario: newTermScenario(t, rnd, seed), rnd: rnd}
				defer pr.stop()
				pr.submitTasks(rnd)
				for range 1 + rnd.IntN(3) {
					pr.cutOnce()
				}
				time.Sleep(settleTime)
				for _, wt := range pr.tasks {
					if wt.spec.LongRunning {
						qt.Check(t, pr.workers.WorkerOf(wt.id), qt.Not(qt.Equals), modeler.WorkerID(""), qt.Commentf("seed %d: %s does not run", seed, wt.id))
					}
				}
				qt.Check(t, pr.workers.Violations(), qt.HasLen, 0, qt.Commentf("seed %d", seed))
				if t.Failed() && logEnabled() {
					fmt.Println(pr.log.buf.String())
				}
			})
		})
	}
}

// Guards against a task that runs twice as a leader that is cut off from most hosts removes their records: the few that
// are left then count as a majority. After 150 s the store changes sides.
func TestRecordsOfHostsBehindACut(t *testing.T) {
	for _, withStore := range []bool{true, false} {
		for offset := range 6 {
			t.Run(fmt.Sprintf("leader with store %t, offset %d", withStore, offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cl := newCluster(t, 5, 2, uint64(offset)+1)
					defer cl.stop()
					lead, _ := cl.startTask(true)
					sd := &sides{hosts: make([]bool, len(cl.hosts)), store: withStore, workers: map[modeler.WorkerID]bool{}}
					sd.hosts[lead] = true
					for _, info := range cl.infos {
						sd.workers[info.ID] = withStore
					}
					cl.separate(sd)
					time.Sleep(150*time.Second + time.Duration(offset)*170*time.Millisecond)
					where := cl.workers.WorkerOf(theTask)
					sd.store = !withStore
					for _, info := range cl.infos {
						sd.workers[info.ID] = (info.ID == where) == withStore
					}
					cl.separate(sd)
					time.Sleep(36 * time.Second)
					qt.Check(t, cl.workers.Violations(), qt.HasLen, 0)
				})
			})
		}
	}
}
