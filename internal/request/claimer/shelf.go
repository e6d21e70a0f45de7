package claimer

import (
	"bytes"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// outcome is the state of a key in records and memory. The numbers are part of the format of the
// journal.
type outcome uint8

const (
	open     outcome = 0
	answered outcome = 1
	unknown  outcome = 2
	notRun   outcome = 3
)

func outcomeOf(oc modeler.Outcome) outcome {
	switch oc {
	case modeler.Answered:
		return answered
	case modeler.NotRun:
		return notRun
	}
	return unknown
}

func (oc outcome) model() modeler.Outcome {
	if oc == answered {
		return modeler.Answered
	}
	return modeler.Unknown
}

// row is a key without its answer. It takes 40 bytes.
type row struct {
	key     keyHash
	request uint64
	// claimed is the time of the claim in seconds since the Unix epoch.
	claimed int64
	// outcome is never notRun: such a key is free.
	outcome outcome
}

// bucketSeconds is the width of a bucket. Buckets are dropped as a whole.
const bucketSeconds = 3600

// shelf holds ended keys in sorted slices, one for each hour of their claims. A map would take
// twice the memory.
type shelf struct {
	// buckets maps an hour to its keys. A slice is replaced and never changed, so that a snapshot
	// may read it without a lock.
	buckets map[int64][]row
}

func (sh *shelf) len() int {
	num := 0
	for _, bk := range sh.buckets {
		num += len(bk)
	}
	return num
}

// find returns the latest claim of a key.
func (sh *shelf) find(key keyHash) (row, bool) {
	var best row
	found := false
	for _, bk := range sh.buckets {
		idx, ok := slices.BinarySearchFunc(bk, key, func(rw row, ky keyHash) int {
			return bytes.Compare(rw.key[:], ky[:])
		})
		if ok && (!found || bk[idx].claimed > best.claimed) {
			best, found = bk[idx], true
		}
	}
	return best, found
}

func (sh *shelf) add(rows []row) {
	fresh := map[int64][]row{}
	for _, rw := range rows {
		hour := rw.claimed / bucketSeconds
		fresh[hour] = append(fresh[hour], rw)
	}
	if sh.buckets == nil {
		sh.buckets = map[int64][]row{}
	}
	for hour, bk := range fresh {
		merged := slices.Concat(sh.buckets[hour], bk)
		slices.SortFunc(merged, func(a, b row) int { return bytes.Compare(a.key[:], b.key[:]) })
		sh.buckets[hour] = merged
	}
}

// trim drops buckets whose claims are all older than a time.
func (sh *shelf) trim(oldest time.Time) {
	for hour := range sh.buckets {
		if (hour+1)*bucketSeconds <= oldest.Unix() {
			delete(sh.buckets, hour)
		}
	}
}
