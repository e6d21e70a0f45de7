// Package estimator learns the sizes, run times and interference of job kinds from measurements.
package estimator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

const (
	// minSizeSamples is the number of samples of a kind below which the declared size is used.
	minSizeSamples = 20
	// minRunSamples is the number of finished attempts before a kind can be Short. Until then it
	// counts as Long, so an unknown kind cannot take the room kept for short work.
	minRunSamples = 5
	// generationSamples bounds how long old measurements count: quantiles cover the current and
	// the previous generation.
	generationSamples = 1000
	// maxKinds bounds the memory. Kinds beyond it share the estimate of otherKind.
	maxKinds = 1024
	// otherKind is the kind that all kinds beyond maxKinds share.
	otherKind Kind = 0

	bytesPerMiB = 1 << 20
	// maxValue bounds a histogram: about 16 million MiB, millicores or milliseconds times 64.
	maxValue = 1 << 30
)

// DefaultShortRunTime is the greatest p95 of run time of a Short kind.
const DefaultShortRunTime = time.Minute

// Kind is the number of a job kind in one Estimator. Numbers are not stable across restarts.
type Kind int32

// Class is a learned class of run time.
type Class string

// The classes of run time.
const (
	Short Class = "Short"
	Long  Class = "Long"
)

// Estimator holds what was learned. It is not safe for concurrent use.
type Estimator struct {
	shortRunTime time.Duration
	// numbers maps names to indexes of kinds. Kind 0 is otherKind.
	numbers map[string]Kind
	kinds   []*profile
	pairs   map[pairKey]*pair
}

// profile is what is known of one kind.
type profile struct {
	name       string
	millicores series
	memory     series // in MiB
	runTime    series // in milliseconds
	// victim is the mean slowdown per co-runner that the kind suffers, aggressor the mean that it
	// causes, both above 1 at full load.
	victim    mean
	aggressor mean
}

// New returns an empty estimator. A kind is Short when its p95 of run time is at most shortRunTime;
// zero means DefaultShortRunTime.
func New(shortRunTime time.Duration) *Estimator {
	if shortRunTime <= 0 {
		shortRunTime = DefaultShortRunTime
	}
	es := &Estimator{
		shortRunTime: shortRunTime,
		numbers:      make(map[string]Kind),
		pairs:        make(map[pairKey]*pair),
	}
	es.kinds = append(es.kinds, &profile{})
	return es
}

// Kind returns the number of a kind and assigns one to a new name.
func (es *Estimator) Kind(name string) Kind {
	if kd, ok := es.numbers[name]; ok {
		return kd
	}
	if len(es.kinds) >= maxKinds {
		return otherKind
	}
	kd := Kind(len(es.kinds))
	es.numbers[name] = kd
	es.kinds = append(es.kinds, &profile{name: name})
	return kd
}

// ObserveUse adds the greatest use that was measured of one attempt.
func (es *Estimator) ObserveUse(kd Kind, use supervisor.Resources) {
	pf := es.kinds[kd]
	pf.millicores.add(use.Millicores)
	pf.memory.add((use.MemoryBytes + bytesPerMiB - 1) / bytesPerMiB)
}

// ObserveRunTime adds the run time of an attempt that finished its task.
func (es *Estimator) ObserveRunTime(kd Kind, run time.Duration) {
	es.kinds[kd].runTime.add(run.Milliseconds())
}

// Reservation returns the amount to set aside for a task of the kind: the larger of the p95 of use
// and half of the declared size, or the declared size while there are fewer than 20 samples.
// Accelerators are always as declared.
func (es *Estimator) Reservation(kd Kind, declared supervisor.Resources) supervisor.Resources {
	pf := es.kinds[kd]
	if pf.memory.total() < minSizeSamples || kd == otherKind {
		return declared
	}
	return supervisor.Resources{
		Millicores:   max(pf.millicores.quantile(95), (declared.Millicores+1)/2),
		MemoryBytes:  max(pf.memory.quantile(95)*bytesPerMiB, (declared.MemoryBytes+1)/2),
		Accelerators: declared.Accelerators,
	}
}

// RunTime returns the p50 and p95 of the run time of finished attempts, zero without samples.
func (es *Estimator) RunTime(kd Kind) (p50, p95 time.Duration) {
	rt := &es.kinds[kd].runTime
	return time.Duration(rt.quantile(50)) * time.Millisecond, time.Duration(rt.quantile(95)) * time.Millisecond
}

// Class returns the learned class of run time. A kind with few samples is Long.
func (es *Estimator) Class(kd Kind) Class {
	pf := es.kinds[kd]
	if kd == otherKind || pf.runTime.total() < minRunSamples {
		return Long
	}
	if _, p95 := es.RunTime(kd); p95 <= es.shortRunTime {
		return Short
	}
	return Long
}

// series is a bounded sample of one measure over two generations.
type series struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	// One significant digit is an error of at most a tenth and about 2 KB a histogram.
	return hdrhistogram.New(1, maxValue, 1)
}

func (sr *series) add(value int64) {
	if sr.current == nil {
		sr.current = newHistogram()
	}
	if sr.current.TotalCount() >= generationSamples {
		sr.previous, sr.current = sr.current, newHistogram()
	}
	// The value is clamped to the range of the histogram, so recording cannot fail.
	_ = sr.current.RecordValue(min(max(value, 1), maxValue))
}

func (sr *series) total() int64 {
	if sr.current == nil {
		return 0
	}
	if sr.previous == nil {
		return sr.current.TotalCount()
	}
	return sr.current.TotalCount() + sr.previous.TotalCount()
}

// quantile returns the value at a percentile. Between two generations it is the mean of both,
// weighted by their samples.
func (sr *series) quantile(percent float64) int64 {
	if sr.current == nil {
		return 0
	}
	now := sr.current.ValueAtQuantile(percent)
	if sr.previous == nil {
		return now
	}
	nc, np := sr.current.TotalCount(), sr.previous.TotalCount()
	return (now*nc + sr.previous.ValueAtQuantile(percent)*np) / (nc + np)
}
