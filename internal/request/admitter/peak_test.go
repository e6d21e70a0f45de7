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
	quiet        = 2 * time.Second
	ramp         = 5 * time.Second
	peak         = 3 * time.Second
	peakDeadline = time.Second
	// meanRun is the mean run time with a tenth of long calls.
	meanRun = (9*shortRun + longRun) / 10
)

// hostParts are the parts of the calls that the balancer gives to each entry host.
var hostParts = []float64{0.45, 0.35, 0.20}

// stand is the runners with their measured use.
type stand struct {
	mu sync.Mutex
	// slots holds a place for each call that a runner works on.
	slots []chan struct{}
	began time.Time
	// busy is the slot time used since the load reached capacity, in all runners.
	busy time.Duration
	most int
	now  []int
}

// run works on a call. A tenth of the runners is four times slower from the ramp on.
func (st *stand) run(runner int, work time.Duration) {
	st.slots[runner] <- struct{}{}
	st.mu.Lock()
	st.now[runner]++
	st.most = max(st.most, st.now[runner])
	st.mu.Unlock()
	from := time.Now()
	if runner%10 == 0 && from.Sub(st.began) > quiet {
		work *= 4
	}
	time.Sleep(work)
	st.mu.Lock()
	st.now[runner]--
	top := st.began.Add(quiet + ramp)
	if end := time.Now(); end.After(top) {
		if from.Before(top) {
			from = top
		}
		if last := top.Add(peak); end.After(last) {
			end = last
		}
		st.busy += max(0, end.Sub(from))
	}
	st.mu.Unlock()
	<-st.slots[runner]
}

// policy sends one call; refused calls did not run.
type policy func(host int, long bool, work time.Duration) (refused bool)

// figures are the results of one policy.
type figures struct {
	quietShort, peakShort time.Duration
	refusal               time.Duration
	used                  float64
	answered, refused     int
	late                  int
}

// arrive makes calls come at random, at 20% of the capacity, then within the ramp at 150%.
func arrive(st *stand, send policy) figures {
	rng := rand.New(rand.NewPCG(20261204, 1))
	var mu sync.Mutex
	var fg figures
	var quietLat, peakLat, refusals []time.Duration
	var wg sync.WaitGroup
	capacity := float64(peakRunners*peakSlots) / meanRun.Seconds()
	for time.Since(st.began) < quiet+ramp+peak {
		load := 0.2 + 1.3*min(1, max(0, float64(time.Since(st.began)-quiet)/float64(ramp)))
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
			inPeak := from.Sub(st.began) > quiet+ramp/2
			switch {
			case refused:
				fg.refused++
				refusals = append(refusals, took)
			case !long && from.Sub(st.began) < quiet:
				quietLat = append(quietLat, took)
			case !long && inPeak:
				peakLat = append(peakLat, took)
			}
			if !refused {
				fg.answered++
			}
			if !refused && took > peakDeadline {
				fg.late++
			}
		})
	}
	wg.Wait()
	fg.quietShort, fg.peakShort, fg.refusal = p99(quietLat), p99(peakLat), p99(refusals)
	fg.used = st.busy.Seconds() / (peak.Seconds() * peakRunners * peakSlots)
	return fg
}

func p99(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*99/100]
}

func newStand(queues bool) *stand {
	st := &stand{began: time.Now(), now: make([]int, peakRunners)}
	for range peakRunners {
		width := peakSlots
		if !queues {
			// The limiter alone keeps the limit; a violation must show.
			width = 1000
		}
		st.slots = append(st.slots, make(chan struct{}, width))
	}
	return st
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

// near is a peer half a millisecond away.
type near struct {
	messenger.Peer
	lims []*limiter.Limiter
	ix   int
}

func (nr near) Borrow(ctx context.Context, rq *messenger.BorrowRequest) (*messenger.BorrowResponse, error) {
	time.Sleep(500 * time.Microsecond)
	defer time.Sleep(500 * time.Microsecond)
	return nr.lims[nr.ix].Borrow(ctx, rq)
}

func (nr near) Return(ctx context.Context, rq *messenger.ReturnRequest) (*messenger.ReturnResponse, error) {
	time.Sleep(500 * time.Microsecond)
	return nr.lims[nr.ix].Return(ctx, rq)
}

// hosts are entry hosts with limiter, router and admitter.
type hosts struct {
	lims []*limiter.Limiter
	rts  []*router.Router
	ads  []*admitter.Admitter
	srcs []admitter.Source
	// freed is called for each host when a slot is free.
	freed []func()
}

func newHosts(ctx context.Context, wg *sync.WaitGroup, loans bool) *hosts {
	cfg := peakConfiguration()
	hs := &hosts{lims: make([]*limiter.Limiter, len(hostParts)), freed: make([]func(), len(hostParts))}
	for ix := range hostParts {
		lim := limiter.New(limiter.Options{
			Host: cfg.Hosts[ix].Name, Boot: modeler.BootID(cfg.Hosts[ix].Name), DataCentre: "stad", History: []*modeler.Configuration{},
			Log: logr.Discard(), Meter: meter.New(nil), Freed: func(modeler.RunnerName, modeler.ServiceName) { hs.freed[ix]() },
			Peers: func() []limiter.Peer {
				var prs []limiter.Peer
				for other, hst := range cfg.Hosts {
					if other != ix && loans {
						prs = append(prs, limiter.Peer{Host: hst.Name, Usable: true, Client: near{lims: hs.lims, ix: other}})
					}
				}
				return prs
			},
		})
		rt := router.New(router.Options{DataCentre: "stad", Account: admitter.Accounts(lim), Log: logr.Discard(), Meter: meter.New(nil)})
		src := admitter.NewSource(rt, lim)
		ad := admitter.New(src)
		hs.freed[ix] = func() { ad.Freed("tidebook") }
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

// whole is the project's own way: loans, learned classes, admission.
func whole(st *stand, hs *hosts, tb testing.TB) policy {
	return func(host int, long bool, work time.Duration) bool {
		route := "GET check"
		if long {
			route = "GET programme"
		}
		tk, err := hs.ads[host].Admit(context.Background(), admitter.Call{
			Service: "tidebook", Route: route, Caller: fmt.Sprint(work % 20), Deadline: time.Now().Add(peakDeadline),
		})
		var rf *admitter.Refusal
		if errors.As(err, &rf) {
			return true
		}
		qt.Check(tb, err, qt.IsNil)
		from := time.Now()
		st.run(runnerOf(tk.Target), work)
		took := time.Since(from)
		tk.Done(took)
		hs.rts[host].Observe(tk.Target, tk.Class, took, false)
		tk.Slot.Release()
		return false
	}
}

// roundRobin sends calls to the runners in turn, where they queue.
func roundRobin(st *stand) policy {
	var mu sync.Mutex
	next := 0
	return func(_ int, _ bool, work time.Duration) bool {
		mu.Lock()
		next = (next + 1) % peakRunners
		runner := next
		mu.Unlock()
		st.run(runner, work)
		return false
	}
}

// queued takes the slots of a source in order of arrival, without classes and refusals; calls whose
// deadline has passed are given up.
func queued(st *stand, hs *hosts, take func(host int) (admitter.Grant, bool)) policy {
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
		hs.lims[host].Want("tidebook", len(queues[host]))
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
		st.run(runnerOf(gr.Target), work)
		hs.rts[host].Observe(gr.Target, router.Short, time.Since(from), false)
		gr.Slot.Release()
		return false
	}
}

// leastInFlight takes the runner on which this host has most free slots.
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

// TestPeakLoad guards the service at the peak of a load swing, and compares it with simpler
// policies on the same calls. Time is virtual, so the figures do not depend on the machine.
func TestPeakLoad(t *testing.T) {
	all := map[string]figures{}
	for _, name := range []string{"whole", "round robin", "least in flight, no loans", "no admission"} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			hs := newHosts(ctx, &wg, name != "least in flight, no loans")
			st := newStand(name == "round robin")
			var send policy
			switch name {
			case "whole":
				send = whole(st, hs, t)
			case "round robin":
				send = roundRobin(st)
			case "least in flight, no loans":
				send = queued(st, hs, leastInFlight(hs))
			case "no admission":
				send = queued(st, hs, func(host int) (admitter.Grant, bool) { return hs.srcs[host].Take("tidebook", router.Short, false) })
			}
			all[name] = arrive(st, send)
			qt.Check(t, st.most <= peakSlots, qt.IsTrue, qt.Commentf("%s: %d calls at once", name, st.most))
			cancel()
			wg.Wait()
		})
		fg := all[name]
		t.Logf("%-26s p99 short quiet %v, peak %v; refusal p99 %v; used %.1f%%; answered %d, refused %d, late %d", name,
			fg.quietShort.Round(time.Microsecond), fg.peakShort.Round(time.Microsecond), fg.refusal.Round(time.Microsecond),
			100*fg.used, fg.answered, fg.refused, fg.late)
	}
	own := all["whole"]
	qt.Check(t, own.peakShort <= 2*own.quietShort, qt.IsTrue)
	qt.Check(t, own.used >= 0.95, qt.IsTrue)
	qt.Check(t, own.refusal <= 50*time.Millisecond, qt.IsTrue)
	qt.Check(t, 3*own.peakShort <= all["round robin"].peakShort, qt.IsTrue)
}
