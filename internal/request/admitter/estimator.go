package admitter

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantrouter/currantrouter/internal/request/router"
)

const (
	// maxRoutes bounds the routes with their own statistics per service. Calls of further routes share
	// those of otherRoute.
	maxRoutes = 512
	// maxRouteSegments is the number of leading path segments that distinguish routes.
	maxRouteSegments = 3
	// minSamples is the minimum number of calls before a route is classified by its run time. Until then
	// it is Short.
	minSamples = 3
	// longFactor is the multiple of the service's short run time above which a route becomes Long.
	longFactor = 5
	// shortFactor is the multiple of the service's short run time below which a route becomes Short
	// again.
	shortFactor = 3
	// meanWeight is the weight of the newest call in the moving mean run time.
	meanWeight = 0.05
	// quantileStep is the relative step by which each call moves the estimate of the short run time.
	quantileStep = 0.02
	// shortQuantile is the quantile of all run times to which the short run time converges.
	shortQuantile = 0.25
	// otherRoute stands for all routes beyond maxRoutes.
	otherRoute = "*"
)

// routeStats holds statistics of the calls of one route.
type routeStats struct {
	mu      sync.Mutex
	samples int
	// mean is the moving mean run time in nanoseconds; zero means unknown.
	mean atomic.Int64
	long atomic.Bool
}

// runTimeEstimator estimates the run times of one service's calls, by route and by class.
type runTimeEstimator struct {
	// routes maps the name of a route to *routeStats. It has at most maxRoutes+1 entries, or a few more
	// after concurrent inserts.
	routes     sync.Map
	routeCount atomic.Int64

	mu sync.Mutex
	// shortRunTime is an estimate of the shortQuantile of all run times, in nanoseconds; zero means
	// unknown. It represents short calls as long as at least a quarter of the calls are short.
	shortRunTime float64
	// classMeans holds the moving mean run times by class, in nanoseconds; zero means unknown.
	classMeans [2]atomic.Int64
}

// RouteOf returns the name of a call's route: the method and the first path segments. Segments with a
// digit are replaced by "*" because most of them are identifiers.
func RouteOf(method, path string) string {
	sgs := strings.SplitN(strings.Trim(path, "/"), "/", maxRouteSegments+1)
	sgs = sgs[:min(len(sgs), maxRouteSegments)]
	for ix, sg := range sgs {
		if strings.ContainsAny(sg, "0123456789") {
			sgs[ix] = "*"
		}
	}
	return method + " " + strings.Join(sgs, "/")
}

func (est *runTimeEstimator) route(name string) *routeStats {
	if got, ok := est.routes.Load(name); ok {
		return got.(*routeStats)
	}
	if est.routeCount.Load() >= maxRoutes {
		name = otherRoute
	}
	got, loaded := est.routes.LoadOrStore(name, &routeStats{})
	if !loaded {
		est.routeCount.Add(1)
	}
	return got.(*routeStats)
}

func (rs *routeStats) class() router.Class {
	if rs.long.Load() {
		return router.Long
	}
	return router.Short
}

// observe updates the estimates with the run time of a call that has ended.
func (est *runTimeEstimator) observe(rs *routeStats, cl router.Class, elapsed time.Duration) {
	short := est.updateShortRunTime(float64(elapsed))
	updateMean(&est.classMeans[cl], elapsed)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.samples++
	mean := updateMean(&rs.mean, elapsed)
	switch {
	case rs.samples < minSamples:
	case float64(mean) > longFactor*short:
		rs.long.Store(true)
	case float64(mean) < shortFactor*short:
		rs.long.Store(false)
	}
}

// updateShortRunTime moves the short run time towards its quantile and returns it.
func (est *runTimeEstimator) updateShortRunTime(elapsed float64) float64 {
	est.mu.Lock()
	defer est.mu.Unlock()
	switch {
	case est.shortRunTime == 0:
		est.shortRunTime = elapsed
	case elapsed < est.shortRunTime:
		est.shortRunTime *= 1 - quantileStep*(1-shortQuantile)
	default:
		est.shortRunTime *= 1 + quantileStep*shortQuantile
	}
	return est.shortRunTime
}

// updateMean moves a mean run time towards elapsed and returns it.
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
func (est *runTimeEstimator) mean(cl router.Class) time.Duration {
	return time.Duration(est.classMeans[cl].Load())
}
