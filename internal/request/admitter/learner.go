package admitter

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantrouter/currantrouter/internal/request/router"
)

const (
	// routeLimit bounds the routes that are learned for each service; calls of further routes share
	// one entry.
	routeLimit = 512
	// routeDepth is the number of path segments that tell routes apart.
	routeDepth = 3
	// minSamples is the number of calls before a route may be Long.
	minSamples = 3
	// longFactor and shortFactor against the service's short run time make a route Long, and Short
	// again.
	longFactor  = 5
	shortFactor = 3
	// meanWeight is the part of the newest call in the mean run time of a route.
	meanWeight = 0.05
	// quantileStep moves the estimate of the short run time by this part for each call. The
	// estimate settles where shortQuantile of the calls are faster.
	quantileStep  = 0.02
	shortQuantile = 0.25
	// otherRoute is the route of calls beyond routeLimit.
	otherRoute = "*"
)

// route holds what was learned of the calls of one route.
type route struct {
	mu      sync.Mutex
	samples int
	// mean is the moving mean run time; zero means unknown.
	mean atomic.Int64
	long atomic.Bool
}

// learner estimates run times of one service.
type learner struct {
	// routes maps the name of a route to *route; it has at most routeLimit+1 entries.
	routes sync.Map
	count  atomic.Int64

	mu sync.Mutex
	// short is the run time that shortQuantile of the calls stay below, in nanoseconds; zero means
	// unknown. It stands for the length of short calls as long as a quarter of the calls are short.
	short float64
	// means are the mean run times by class in nanoseconds.
	means [2]atomic.Int64
}

// RouteOf names the route of a call: the method and the first path segments, with segments that
// hold a digit replaced, since those are mostly identifiers.
func RouteOf(method, path string) string {
	sgs := strings.SplitN(strings.Trim(path, "/"), "/", routeDepth+1)
	sgs = sgs[:min(len(sgs), routeDepth)]
	for ix, sg := range sgs {
		if strings.ContainsAny(sg, "0123456789") {
			sgs[ix] = "*"
		}
	}
	return method + " " + strings.Join(sgs, "/")
}

func (ln *learner) route(name string) *route {
	if got, ok := ln.routes.Load(name); ok {
		return got.(*route)
	}
	if ln.count.Load() >= routeLimit {
		name = otherRoute
	}
	got, loaded := ln.routes.LoadOrStore(name, &route{})
	if !loaded {
		ln.count.Add(1)
	}
	return got.(*route)
}

func (rt *route) class() router.Class {
	if rt.long.Load() {
		return router.Long
	}
	return router.Short
}

// observe learns from the end of a call.
func (ln *learner) observe(rt *route, cl router.Class, elapsed time.Duration) {
	short := ln.moveShort(float64(elapsed))
	updateMean(&ln.means[cl], elapsed)
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.samples++
	mean := updateMean(&rt.mean, elapsed)
	switch {
	case rt.samples < minSamples:
	case float64(mean) > longFactor*short:
		rt.long.Store(true)
	case float64(mean) < shortFactor*short:
		rt.long.Store(false)
	}
}

func (ln *learner) moveShort(elapsed float64) float64 {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	switch {
	case ln.short == 0:
		ln.short = elapsed
	case elapsed < ln.short:
		ln.short *= 1 - quantileStep*(1-shortQuantile)
	default:
		ln.short *= 1 + quantileStep*shortQuantile
	}
	return ln.short
}

func updateMean(mean *atomic.Int64, elapsed time.Duration) int64 {
	for {
		old := mean.Load()
		next := int64(elapsed)
		if old != 0 {
			next = old + int64(meanWeight*float64(int64(elapsed)-old))
		}
		if mean.CompareAndSwap(old, next) {
			return next
		}
	}
}

// mean returns the mean run time of a class; zero means unknown.
func (ln *learner) mean(cl router.Class) time.Duration { return time.Duration(ln.means[cl].Load()) }
