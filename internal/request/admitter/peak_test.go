package admitter_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/request/admitter"
	"github.com/currantrouter/currantrouter/internal/request/limiter"
	"github.com/currantrouter/currantrouter/internal/request/router"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	peakRunners  = 10
	peakSlots    = 8
	shortRun     = 20 * time.Millisecond
	longRun      = 200 * time.Millisecond
	quietTime    = 2 * time.Second
	rampTime     = 5 * time.Second
	peakTime     = 3 * time.Second
	peakDeadline = time.Second
	// meanRun is the mean run time when a tenth of the calls are long.
	meanRun = (9*shortRun + longRun) / 10
)

// hostParts holds each entry host's share of the calls.
var hostParts = []float64{0.45, 0.35, 0.20}

// simulation holds simulated runners and their measured use.
type simulation struct {
	mu sync.Mutex
	// slots has a semaphore for each runner, with one token per running call.
	slots []chan struct{}
	began time.Time
	// busy is the slot time used during the peak, over all runners.
	busy time.Duration
	// maxCalls is the maximum number of concurrent calls at a runner.
	maxCalls int
	// running counts the calls in progress by runner.
	running []int
}

// run executes a call on a runner. From the ramp on, a tenth of the runners are four times slower.
func (sim *simulation) run(runner int, work time.Duration) {
	sim.slots[runner] <- struct{}{}
	sim.mu.Lock()
	sim.running[runner]++
	sim.maxCalls = max(sim.maxCalls, sim.running[runner])
	sim.mu.Unlock()
	from := time.Now()
	if runner%10 == 0 && from.Sub(sim.began) > quietTime {
		work *= 4
	}
	time.Sleep(work)
	sim.mu.Lock()
	sim.running[runner]--
	top := sim.began.Add(quietTime + rampTime)
	if end := time.Now(); end.After(top) {
		if from.Before(top) {
			from = top
		}
		if last := top.Add(peakTime); end.After(last) {
			end = last
		}
		sim.busy += max(0, end.Sub(from))
	}
	sim.mu.Unlock()
	<-sim.slots[runner]
}

// policy sends one call, or reports that it was refused and not run.
type policy func(host int, long bool, work time.Duration) (refused bool)

// results holds the measurements of one policy. The durations are 99th percentiles.
type results struct {
	quietShort, peakShort time.Duration
	refusal               time.Duration
	// used is the fraction of the slot time that was used during the peak.
	used              float64
	answered, refused int
	// late counts calls that were answered after their deadline.
	late int
}

// simulateLoad sends calls at random times: at 20% of the capacity at first, rising to 150% over the
// ramp.
func simulateLoad(sim *simulation, send policy) results {
	rng := rand.New(rand.NewPCG(20261204, 1))
	var mu sync.Mutex
	var res results
	var quietLat, peakLat, refusals []time.Duration
	var wg sync.WaitGroup
	capacity := float64(peakRunners*peakSlots) / meanRun.Seconds()
	for time.Since(sim.began) < quietTime+rampTime+peakTime {
		load := 0.2 + 1.3*min(1, max(0, float64(time.Since(sim.began)-quietTime)/float64(rampTime)))
		time.Sleep(time.Duration(rng.ExpFloat64() / (capacity * load) * float64(time.Second)))
		pick, long := rng.Float64(), rng.IntN(10) == 0
		host := 0
		for pick > hostParts[host] && host < len(hostParts)-1 {
			pick -= hostParts[host]
			host++
		}
		work := time.Duration(float64(shortRun) * (0.5 + rng.Float64()))
		if long {
			work *= time.Duration(longRun / shortRun)
		}
		wg.Go(func() {
			from := time.Now()
			refused := send(host, long, work)
			took := time.Since(from)
			mu.Lock()
			defer mu.Unlock()
			inPeak := from.Sub(sim.began) > quietTime+rampTime/2
			switch {
			case refused:
				res.refused++
				refusals = append(refusals, took)
			case !long && from.Sub(sim.began) < quietTime:
				quietLat = append(quietLat, took)
			case !long && inPeak:
				peakLat = append(peakLat, took)
			}
			if !refused {
				res.answered++
			}
			if !refused && took > peakDeadline {
				res.late++
			}
		})
	}
	wg.Wait()
	res.quietShort, res.peakShort, res.refusal = p99(quietLat), p99(peakLat), p99(refusals)
	res.used = sim.busy.Seconds() / (peakTime.Seconds() * peakRunners * peakSlots)
	return res
}

func p99(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*99/100]
}

func newSimulation(queues bool) *simulation {
	sim := &simulation{began: time.Now(), running: make([]int, peakRunners)}
	for range peakRunners {
		width := peakSlots
		if !queues {
			// Only the limiter may bound the calls, so that a violation is visible in maxCalls.
			width = 1000
		}
		sim.slots = append(sim.slots, make(chan struct{}, width))
	}
	return sim
}

func peakConfiguration() *modeler.Configuration {
	cfg := &modeler.Configuration{
		Revision: 1, Services: []modeler.Service{{Name: "tidebook", CallLimit: 30 * time.Second, Deadline: peakDeadline, QueueLimit: 5000}},
		Limits: modeler.DefaultLimits,
	}
	for ix := range hostParts {
		cfg.Hosts = append(cfg.Hosts, modeler.Host{Name: modeler.HostName(fmt.Sprint("entry", ix)), DataCentre: "stad"})
	}
	for ix := range peakRunners {
		cfg.Runners = append(cfg.Runners, modeler.Runner{
			Name: modeler.RunnerName(fmt.Sprint(ix)), DataCentre: "stad", Service: "tidebook", Slots: peakSlots, Connections: 64,
			Endpoint: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(ix+1)),
		})
	}
	return cfg
}

// delayedPeer is a peer with a one-way latency of half a millisecond.
type delayedPeer struct {
	messenger.Peer
	lims []*limiter.Limiter
	ix   int
}

func (dp delayedPeer) Borrow(ctx context.Context, rq *messenger.BorrowRequest) (*messenger.BorrowResponse, error) {
	time.Sleep(500 * time.Microsecond)
	defer time.Sleep(500 * time.Microsecond)
	return dp.lims[dp.ix].Borrow(ctx, rq)
}

func (dp delayedPeer) Return(ctx context.Context, rq *messenger.ReturnRequest) (*messenger.ReturnResponse, error) {
	time.Sleep(500 * time.Microsecond)
	return dp.lims[dp.ix].Return(ctx, rq)
}

// hosts holds the limiters, routers and admitters of the entry hosts.
type hosts struct {
	lims []*limiter.Limiter
	rts  []*router.Router
	ads  []*admitter.Admitter
	srcs []admitter.Source
	// freed has a function per host that is called when a slot becomes free.
	freed []func()
}

func newHosts(ctx context.Context, wg *sync.WaitGroup, loans bool) *hosts {
	cfg := peakConfiguration()
	hs := &hosts{lims: make([]*limiter.Limiter, len(hostParts)), freed: make([]func(), len(hostParts))}
	for ix := range hostParts {
		lim := limiter.New(limiter.Options{
			Host: cfg.Hosts[ix].Name, Boot: modeler.BootID(cfg.Hosts[ix].Name), DataCentre: "stad", History: []*modeler.Configuration{},
			Log: logr.Discard(), Meter: meter.New(nil), OnSlotFreed: func(modeler.RunnerName, modeler.ServiceName) { hs.freed[ix]() },
			Peers: func() []limiter.Peer {
				var prs []limiter.Peer
				for other, hst := range cfg.Hosts {
					if other != ix && loans {
						prs = append(prs, limiter.Peer{Host: hst.Name, Usable: true, Client: delayedPeer{lims: hs.lims, ix: other}})
					}
				}
				return prs
			},
		})
		rt := router.New(router.Options{DataCentre: "stad", Account: admitter.Accounts(lim), Log: logr.Discard(), Meter: meter.New(nil)})
		src := admitter.NewSource(rt, lim)
		ad := admitter.New(src)
		hs.freed[ix] = func() { ad.NotifySlotFreed("tidebook") }
		hs.lims[ix] = lim
		hs.rts, hs.srcs, hs.ads = append(hs.rts, rt), append(hs.srcs, src), append(hs.ads, ad)
		lim.Apply(cfg)
		rt.Apply(cfg)
		ad.Apply(cfg)
		wg.Go(func() { lim.Run(ctx) })
		wg.Go(func() { rt.Run(ctx) })
	}
	return hs
}

func runnerOf(tg *router.Target) int { return int(tg.Endpoint.Port()) - 1 }

// fullPolicy uses the project's own scheme: loans, estimated classes and admission control.
func fullPolicy(sim *simulation, hs *hosts, tb testing.TB) policy {
	return func(host int, long bool, work time.Duration) bool {
		route := "GET check"
		if long {
			route = "GET programme"
		}
		adm, err := hs.ads[host].Admit(context.Background(), admitter.Call{
			Service: "tidebook", Route: route, Caller: fmt.Sprint(work % 20), Deadline: time.Now().Add(peakDeadline),
		})
		var rf *admitter.Refusal
		if errors.As(err, &rf) {
			return true
		}
		qt.Check(tb, err, qt.IsNil)
		from := time.Now()
		sim.run(runnerOf(adm.Target), work)
		took := time.Since(from)
		adm.Done(took)
		hs.rts[host].Observe(adm.Target, adm.Class, took, false)
		adm.Slot.Release()
		return false
	}
}

// roundRobin sends calls to the runners in turn; the runners queue them.
func roundRobin(sim *simulation) policy {
	var mu sync.Mutex
	next := 0
	return func(_ int, _ bool, work time.Duration) bool {
		mu.Lock()
		next = (next + 1) % peakRunners
		runner := next
		mu.Unlock()
		sim.run(runner, work)
		return false
	}
}

// fifoPolicy queues calls at their entry host in order of arrival, without classes or refusals. A call
// is refused only when its deadline passes in the queue.
func fifoPolicy(sim *simulation, hs *hosts, take func(host int) (admitter.Grant, bool)) policy {
	type waiting struct{ got chan admitter.Grant }
	var mu sync.Mutex
	queues := make([][]*waiting, len(hostParts))
	serve := func(host int) {
		mu.Lock()
		defer mu.Unlock()
		for len(queues[host]) > 0 {
			gr, ok := take(host)
			if !ok {
				break
			}
			queues[host][0].got <- gr
			queues[host] = queues[host][1:]
		}
		hs.lims[host].SetWaiting("tidebook", len(queues[host]))
	}
	for ix := range hs.freed {
		hs.freed[ix] = func() { serve(ix) }
	}
	return func(host int, _ bool, work time.Duration) bool {
		wt := &waiting{make(chan admitter.Grant, 1)}
		mu.Lock()
		queues[host] = append(queues[host], wt)
		mu.Unlock()
		serve(host)
		tm := time.NewTimer(peakDeadline)
		defer tm.Stop()
		var gr admitter.Grant
		select {
		case gr = <-wt.got:
		case <-tm.C:
			mu.Lock()
			queues[host] = slices.DeleteFunc(queues[host], func(other *waiting) bool { return other == wt })
			mu.Unlock()
			select {
			case gr = <-wt.got:
			default:
				return true
			}
		}
		from := time.Now()
		sim.run(runnerOf(gr.Target), work)
		hs.rts[host].Observe(gr.Target, router.Short, time.Since(from), false)
		gr.Slot.Release()
		return false
	}
}

// leastInFlight picks the runner on which the host has the most free slots.
func leastInFlight(hs *hosts) func(int) (admitter.Grant, bool) {
	return func(host int) (admitter.Grant, bool) {
		var best *router.Target
		for _, tg := range hs.rts[host].Targets("tidebook") {
			if best == nil || tg.Account().Free() > best.Account().Free() {
				best = tg
			}
		}
		sl, ok := best.Account().(*limiter.Account).Acquire()
		return admitter.Grant{Target: best, Slot: sl}, ok
	}
}

// TestPeakLoad guards against high latency, idle slots and slow refusals when the load exceeds the
// capacity, and compares admission control with simpler policies under the same calls. Time is virtual,
// so the results do not depend on the machine.
func TestPeakLoad(t *testing.T) {
	all := map[string]results{}
	for _, name := range []string{"whole", "round robin", "least in flight, no loans", "no admission"} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			hs := newHosts(ctx, &wg, name != "least in flight, no loans")
			sim := newSimulation(name == "round robin")
			var send policy
			switch name {
			case "whole":
				send = fullPolicy(sim, hs, t)
			case "round robin":
				send = roundRobin(sim)
			case "least in flight, no loans":
				send = fifoPolicy(sim, hs, leastInFlight(hs))
			case "no admission":
				send = fifoPolicy(sim, hs, func(host int) (admitter.Grant, bool) { return hs.srcs[host].Take("tidebook", router.Short, false) })
			}
			all[name] = simulateLoad(sim, send)
			qt.Check(t, sim.maxCalls <= peakSlots, qt.IsTrue, qt.Commentf("%s: %d calls at once", name, sim.maxCalls))
			cancel()
			wg.Wait()
		})
		res := all[name]
		t.Logf("%-26s p99 short quiet %v, peak %v; refusal p99 %v; used %.1f%%; answered %d, refused %d, late %d", name,
			res.quietShort.Round(time.Microsecond), res.peakShort.Round(time.Microsecond), res.refusal.Round(time.Microsecond),
			100*res.used, res.answered, res.refused, res.late)
	}
	own := all["whole"]
	qt.Check(t, own.peakShort <= 2*own.quietShort, qt.IsTrue)
	qt.Check(t, own.used >= 0.95, qt.IsTrue)
	qt.Check(t, own.refusal <= 50*time.Millisecond, qt.IsTrue)
	qt.Check(t, 3*own.peakShort <= all["round robin"].peakShort, qt.IsTrue)
}
