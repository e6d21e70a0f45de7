package leader_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/job/keeper"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/state/journaler"
)

const (
	// maxSlowDelay bounds the time that a slow host adds to each message that it sends or receives. The
	// answer of a slow host to another one takes up to four times as long.
	maxSlowDelay = 75 * time.Millisecond
	// maxWithoutLeader is the longest time without a leader after the loss of one: a slow host notices it,
	// polls the others, waits for those ranked above it and begins an epoch.
	maxWithoutLeader = 5 * time.Second
)

// epochBegin is an epoch record in the journal.
type epochBegin struct {
	epoch modeler.Epoch
	by    *process
	at    time.Time
	// previousRuns is set if the process that began the epoch before was neither stopped nor killed.
	previousRuns bool
}

// placement is a worker on which a leader recorded that it places a task.
type placement struct {
	worker modeler.WorkerID
	at     time.Time
}

// noteWrite records the placements that an entry of the journal has, and the begin of an epoch if it is an epoch record.
func (cl *cluster) noteWrite(pr *process, key string, value []byte) {
	if !strings.HasPrefix(key, "Journal/") {
		return
	}
	var sg journaler.StoredSegment
	if err := proto.Unmarshal(value, &sg); err != nil {
		return
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	recs, err := journaler.DecompressRecords(sg.Records)
	qt.Check(cl.t, err, qt.IsNil)
	for _, sr := range recs {
		ft, err := keeper.ParseFact(journaler.Record{Kind: journaler.Kind(sr.Kind), Data: sr.Data})
		if err != nil || ft.Placed == nil {
			continue
		}
		id, err := modeler.ParseTaskID(ft.Placed.Task)
		qt.Check(cl.t, err, qt.IsNil)
		cl.placements[id] = placement{worker: ft.Placed.Worker, at: time.Now()}
	}
	if !sg.BeginsEpoch {
		return
	}
	eb := epochBegin{epoch: modeler.Epoch(sg.Epoch), by: pr, at: time.Now()}
	if len(cl.epochs) > 0 {
		last := cl.epochs[len(cl.epochs)-1].by
		eb.previousRuns = !last.dead && !last.stopping
	}
	cl.epochs = append(cl.epochs, eb)
}

// lastLeader returns the process that began the last epoch.
func (cl *cluster) lastLeader() *process {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.epochs) == 0 {
		return nil
	}
	return cl.epochs[len(cl.epochs)-1].by
}

// lossKind is how the hosts of a takeoverRun stop.
type lossKind string

const (
	// leadersStop and leadersKilled end the leader each time.
	leadersStop   lossKind = "leaders get SIGTERM"
	leadersKilled lossKind = "leaders are killed"
	// allKilled kills all hosts at once, which start again at different times.
	allKilled lossKind = "all hosts are killed"
	// rollingRestart stops all hosts in order.
	rollingRestart lossKind = "rolling restart"
	// answersLost stops the leader each time, while a host gets no answers of the store and another one none
	// of its peers.
	answersLost lossKind = "answers are lost"
)

// takeoverRun is a run of a cluster in which hosts end one after the other.
type takeoverRun struct {
	*cluster
	kind lossKind
	rnd  *rand.Rand
	// losses counts the hosts that were ended while the last epoch was theirs, absences has the time
	// without a leader after each.
	losses   int
	absences []time.Duration
}

// leads reports whether a process that is neither stopped nor killed leads the last epoch.
func (cl *cluster) leads() bool {
	pr := cl.lastLeader()
	if pr == nil {
		return false
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return !pr.dead && !pr.stopping && pr.leader.Director() != nil
}

// end stops or kills a host and starts it again later.
func (tr *takeoverRun) end(ix int) {
	pr := tr.process(ix)
	if pr == nil {
		return
	}
	if pr == tr.lastLeader() {
		tr.losses++
	}
	restart := tr.between(200*time.Millisecond, 2*time.Second)
	killed := tr.kind == leadersKilled || tr.kind == allKilled
	if killed {
		tr.killHost(ix)
	}
	tr.goroutines.Go(func() {
		tr.drainHost(ix)
		time.Sleep(restart)
		tr.startHost(ix)
	})
}

// endNext ends the host whose turn it is, or all.
func (tr *takeoverRun) endNext(count int) {
	switch tr.kind {
	case rollingRestart:
		tr.end(count % len(tr.hosts))
	case allKilled:
		for ix := range tr.hosts {
			tr.end(ix)
		}
	case answersLost:
		tr.loseAnswers()
		tr.end(tr.lastLeader().ho.ix)
	default:
		tr.end(tr.lastLeader().ho.ix)
	}
}

// awaitLeader waits for a time, and then until a host leads. It notes how long none did.
func (tr *takeoverRun) awaitLeader(atLeast time.Duration) {
	const step = 5 * time.Millisecond
	began, absent := time.Now(), time.Duration(0)
	for led := false; time.Since(began) < atLeast || !led && absent < 2*maxWithoutLeader; {
		time.Sleep(step)
		if led = tr.leads(); !led {
			absent += step
		}
	}
	if absent > 0 {
		tr.absences = append(tr.absences, absent)
	}
}

// run ends hosts in series and returns the epochs that began from the first loss on.
func (tr *takeoverRun) run(ends int) []epochBegin {
	for ix, ho := range tr.hosts {
		ho.maxDelay = time.Duration(tr.rnd.Int64N(int64(maxSlowDelay)))
		tr.startHost(ix)
	}
	for ix := range tr.infos {
		tr.startWorker(ix)
	}
	time.Sleep(8 * time.Second)
	qt.Assert(tr.t, tr.leads(), qt.IsTrue)
	tr.cluster.mu.Lock()
	before := len(tr.epochs)
	tr.cluster.mu.Unlock()
	for count := range ends {
		tr.endNext(count)
		tr.awaitLeader(time.Second + time.Duration(tr.rnd.Int64N(int64(3*time.Second))))
	}
	time.Sleep(6 * time.Second)
	tr.cluster.mu.Lock()
	defer tr.cluster.mu.Unlock()
	return slices.Clone(tr.epochs[before:])
}

// loseAnswers cuts a host from the answers of its peers, and another one from those of the store, for a time.
func (tr *takeoverRun) loseAnswers() {
	for _, lk := range []link{peerLink, storeLink} {
		target := tr.rnd.IntN(len(tr.hosts))
		tr.setCutIn(target, lk, true)
		tr.goroutines.Go(func() {
			time.Sleep(700 * time.Millisecond)
			tr.setCutIn(target, lk, false)
		})
	}
}

func (cl *cluster) setCutIn(ix int, lk link, cut bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.hosts[ix].cutIn[lk] = cut
}

// Guards against leaders that are deposed while they run, and against a long time without a leader, where
// hosts that answer slowly are stopped or killed in series. LEADER_SEEDS sets the number of seeds and
// LEADER_FIRST the first one.
func TestOneEpochPerTakeover(t *testing.T) {
	first, seeds := seedRange(t)
	for _, kind := range []lossKind{leadersStop, leadersKilled, allKilled, rollingRestart, answersLost} {
		t.Run(string(kind), func(t *testing.T) {
			sum := takeoverSum{}
			for seed := first; seed < first+seeds; seed++ {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { sum.test(t, kind, seed) })
				})
			}
			t.Log(sum.String())
		})
	}
}

// takeoverSum has the figures of several runs.
type takeoverSum struct {
	losses, epochs, worst, deposed int
	absences                       []time.Duration
}

func (ts *takeoverSum) test(t *testing.T, kind lossKind, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	tr := &takeoverRun{cluster: newCluster(t, 7+rnd.IntN(34), 3, seed), kind: kind, rnd: rnd}
	defer tr.stop()
	begun := tr.run(8)
	ts.losses += tr.losses
	ts.epochs += len(begun)
	inRow := 1
	for ix, eb := range begun {
		if !eb.previousRuns {
			inRow = 1
			continue
		}
		inRow++
		ts.deposed++
		comment := qt.Commentf("seed %d, %d hosts: epoch %d began %s after the one before", seed, len(tr.hosts), eb.epoch, eb.sinceLast(begun, ix))
		qt.Check(t, eb.previousRuns, qt.IsFalse, comment)
		ts.worst = max(ts.worst, inRow)
	}
	ts.worst = max(ts.worst, 1)
	ts.absences = append(ts.absences, tr.absences...)
	for _, absent := range tr.absences {
		qt.Check(t, absent <= maxWithoutLeader, qt.IsTrue, qt.Commentf("seed %d: no leader for %s", seed, absent))
	}
	if t.Failed() && logEnabled() {
		fmt.Println(tr.log.buf.String())
	}
}

func (eb *epochBegin) sinceLast(all []epochBegin, ix int) time.Duration {
	if ix == 0 {
		return 0
	}
	return eb.at.Sub(all[ix-1].at)
}

func (ts *takeoverSum) String() string {
	slices.Sort(ts.absences)
	var total time.Duration
	for _, absent := range ts.absences {
		total += absent
	}
	if len(ts.absences) == 0 || ts.losses == 0 {
		return "no losses"
	}
	return fmt.Sprintf("%d losses, %.2f epochs each, worst %d in a row, %d leaders deposed; without a leader %v on average, median %v, worst %v",
		ts.losses, float64(ts.epochs)/float64(ts.losses), ts.worst, ts.deposed,
		total/time.Duration(len(ts.absences)), ts.absences[len(ts.absences)/2], ts.absences[len(ts.absences)-1])
}

// Guards against a longer wait for a leader that was killed and whose host answers again at once than for one
// whose host does not.
func TestKilledLeaderRestarts(t *testing.T) {
	for _, restart := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond} {
		t.Run(fmt.Sprint("after ", restart), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := &takeoverRun{cluster: newCluster(t, 7, 1, 1)}
				defer tr.stop()
				for ix := range tr.hosts {
					tr.startHost(ix)
				}
				time.Sleep(5 * time.Second)
				killed := tr.lastLeader().ho.ix
				tr.killHost(killed)
				tr.goroutines.Go(func() {
					time.Sleep(restart)
					tr.startHost(killed)
				})
				tr.awaitLeader(2 * time.Second)
				qt.Check(t, tr.absences[0] < time.Second, qt.IsTrue, qt.Commentf("no leader for %s", tr.absences[0]))
			})
		})
	}
}
