package valuer

import "slices"

const (
	// keptJobs is the number of the last jobs of a queue by which sizes are judged.
	keptJobs = 96
	// minJudged is the number of jobs from which sizes are judged.
	minJudged = 24
	// largestShare and largeShare are the shares of the jobs that are the largest ones, and that come next.
	largestShare, largeShare = 0.1, 0.2
	// minServedRatio is the ratio of the share of large jobs served to that of all jobs below which they are
	// favoured. Callers are promised 0.5. A higher ratio costs more small jobs than it serves large ones.
	minServedRatio = 0.65
	// favour is the factor on the work of a favoured job. The largest tenth needs some five times the work of a
	// typical job.
	favour = 0.1
)

// Sizes judges, for one queue, whether large jobs are served as often as others. The zero value favours none.
type Sizes struct {
	works  []float64
	served []bool
	next   int
	// largest and large are the least work of the largest jobs and of those that come next, and favourLargest
	// and favourLarge whether they are favoured.
	largest, large             float64
	favourLargest, favourLarge bool
}

// Observe records the work of a job, and whether it was served: it ended while of use to its caller.
func (sz *Sizes) Observe(work float64, served bool) {
	if len(sz.works) < keptJobs {
		sz.works, sz.served = append(sz.works, work), append(sz.served, served)
	} else {
		sz.works[sz.next], sz.served[sz.next] = work, served
		sz.next = (sz.next + 1) % keptJobs
	}
	if len(sz.works) < minJudged {
		return
	}
	sorted := slices.Sorted(slices.Values(sz.works))
	count := float64(len(sorted))
	sz.largest, sz.large = sorted[int((1-largestShare)*count)], sorted[int((1-largestShare-largeShare)*count)]
	all := sz.servedShare(0, -1)
	sz.favourLargest = sz.servedShare(sz.largest, -1) < minServedRatio*all
	sz.favourLarge = sz.servedShare(sz.large, sz.largest) < minServedRatio*all
}

// servedShare returns the share of the jobs served with at least some work and less than a limit, if that is
// not negative.
func (sz *Sizes) servedShare(least, limit float64) float64 {
	count, served := 0, 0
	for ix, work := range sz.works {
		if work < least || limit >= 0 && work >= limit {
			continue
		}
		count++
		if sz.served[ix] {
			served++
		}
	}
	if count == 0 {
		return 1
	}
	return float64(served) / float64(count)
}

// Favoured reports whether a job of some work is to go before others of its queue.
func (sz *Sizes) Favoured(work float64) bool {
	if sz == nil || len(sz.works) < minJudged {
		return false
	}
	return work >= sz.largest && sz.favourLargest || work >= sz.large && work < sz.largest && sz.favourLarge
}
