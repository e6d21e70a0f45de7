// Package estimator estimates the usage, run times and interference of job kinds from measurements.
package estimator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

const (
	// minUsageSamples is the number of usage samples below which the declared size is reserved.
	minUsageSamples = 20
	// minRunTimeSamples is the number of finished attempts below which a kind is Long, so that an
	// unknown kind cannot use the capacity reserved for short tasks.
	minRunTimeSamples = 5
	// maxGenerationSamples is the number of samples after which a new generation begins. Quantiles
	// cover the current and the previous generation, so that old measurements expire.
	maxGenerationSamples = 1000
	// maxKinds bounds the memory. Kinds beyond it share otherKind.
	maxKinds = 1024
	// otherKind is the kind that all kinds beyond maxKinds share.
	otherKind Kind = 0

	bytesPerMiB = 1 << 20
	// maxHistogramValue bounds the values of a histogram: 1 PiB, a million cores, or 12 days.
	maxHistogramValue = 1 << 30
)

// DefaultShortRunTime is the default for the largest p95 run time of a Short kind.
const DefaultShortRunTime = time.Minute

// Kind identifies a job kind in one Estimator. Numbers are not stable across restarts.
type Kind int32

// Class is a class of run time.
type Class string

// The classes of run time.
const (
	Short Class = "Short"
	Long  Class = "Long"
)

// Estimator holds the measurements of job kinds. It is not safe for concurrent use.
type Estimator struct {
	shortRunTime time.Duration
	// kindsByName maps names to indexes of stats, except those that share otherKind.
	kindsByName map[string]Kind
	// stats is indexed by Kind.
	stats []*kindStats
	pairs map[pairKey]*pair
}

// kindStats holds the measurements of one kind.
type kindStats struct {
	name       string
	millicores windowedHistogram
	memory     windowedHistogram // in MiB
	runTime    windowedHistogram // in milliseconds
	// asVictim is the mean slowdown, above 1 at full load, that one co-runner causes to the kind.
	asVictim mean
	// asAggressor is the mean slowdown, above 1 at full load, that the kind causes to a co-runner.
	asAggressor mean
}

// New returns an estimator without measurements. A kind is Short when its p95 run time is at most
// shortRunTime; zero means DefaultShortRunTime.
func New(shortRunTime time.Duration) *Estimator {
	if shortRunTime <= 0 {
		shortRunTime = DefaultShortRunTime
	}
	es := &Estimator{
		shortRunTime: shortRunTime,
		kindsByName:  make(map[string]Kind),
		pairs:        make(map[pairKey]*pair),
	}
	es.stats = append(es.stats, &kindStats{})
	return es
}

// Kind returns the number of the kind of that name, a new one for a new name. Once maxKinds kinds
// exist, all further names share otherKind.
func (es *Estimator) Kind(name string) Kind {
	if kd, ok := es.kindsByName[name]; ok {
		return kd
	}
	if len(es.stats) >= maxKinds {
		return otherKind
	}
	kd := Kind(len(es.stats))
	es.kindsByName[name] = kd
	es.stats = append(es.stats, &kindStats{name: name})
	return kd
}

// ObserveUsage records the peak usage that was measured of one attempt.
func (es *Estimator) ObserveUsage(kd Kind, peak supervisor.Resources) {
	ks := es.stats[kd]
	ks.millicores.add(peak.Millicores)
	ks.memory.add((peak.MemoryBytes + bytesPerMiB - 1) / bytesPerMiB)
}

// ObserveRunTime records the run time of an attempt that finished its task.
func (es *Estimator) ObserveRunTime(kd Kind, run time.Duration) {
	es.stats[kd].runTime.add(run.Milliseconds())
}

// Reservation returns the reservation of a task of the kind: the larger of the p95 usage and half of
// the declared size, or the declared size with fewer than minUsageSamples samples. Accelerators are
// always as declared.
func (es *Estimator) Reservation(kd Kind, declared supervisor.Resources) supervisor.Resources {
	ks := es.stats[kd]
	if ks.memory.count() < minUsageSamples || kd == otherKind {
		return declared
	}
	return supervisor.Resources{
		Millicores:   max(ks.millicores.quantile(95), (declared.Millicores+1)/2),
		MemoryBytes:  max(ks.memory.quantile(95)*bytesPerMiB, (declared.MemoryBytes+1)/2),
		Accelerators: declared.Accelerators,
	}
}

// RunTime returns the p50 and p95 run time of finished attempts, zero without samples.
func (es *Estimator) RunTime(kd Kind) (p50, p95 time.Duration) {
	rt := &es.stats[kd].runTime
	return time.Duration(rt.quantile(50)) * time.Millisecond, time.Duration(rt.quantile(95)) * time.Millisecond
}

// Class returns the class of run time. A kind with fewer than minRunTimeSamples samples is Long.
func (es *Estimator) Class(kd Kind) Class {
	ks := es.stats[kd]
	if kd == otherKind || ks.runTime.count() < minRunTimeSamples {
		return Long
	}
	if _, p95 := es.RunTime(kd); p95 <= es.shortRunTime {
		return Short
	}
	return Long
}

// windowedHistogram holds the samples of one measure in two generations of at most
// maxGenerationSamples each.
type windowedHistogram struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	// One significant digit bounds the error to 10% and a histogram to about 2 KB.
	return hdrhistogram.New(1, maxHistogramValue, 1)
}

func (wh *windowedHistogram) add(value int64) {
	if wh.current == nil {
		wh.current = newHistogram()
	}
	if wh.current.TotalCount() >= maxGenerationSamples {
		wh.previous, wh.current = wh.current, newHistogram()
	}
	// The value is clamped to the range of the histogram, so RecordValue cannot fail.
	_ = wh.current.RecordValue(min(max(value, 1), maxHistogramValue))
}

func (wh *windowedHistogram) count() int64 {
	if wh.current == nil {
		return 0
	}
	if wh.previous == nil {
		return wh.current.TotalCount()
	}
	return wh.current.TotalCount() + wh.previous.TotalCount()
}

// quantile returns the value at a percentile from 0 to 100, zero without samples. With two
// generations it is the mean of both, weighted by their samples.
func (wh *windowedHistogram) quantile(percent float64) int64 {
	if wh.current == nil {
		return 0
	}
	now := wh.current.ValueAtQuantile(percent)
	if wh.previous == nil {
		return now
	}
	nc, np := wh.current.TotalCount(), wh.previous.TotalCount()
	return (now*nc + wh.previous.ValueAtQuantile(percent)*np) / (nc + np)
}
