package claimer

import (
	"bytes"
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// outcome is the state of a key in records and in memory. The numbers are part of the journal's format.
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

// row is a key with its request and outcome. It takes 40 bytes.
type row struct {
	key     keyHash
	request uint64
	// claimed is the time of the claim in seconds since the Unix epoch.
	claimed int64
	// outcome is never notRun, because the key of a call that was not run is deleted.
	outcome outcome
}

// bucketSeconds is the time span of a bucket. Buckets are deleted as a whole.
const bucketSeconds = 3600

// endedKeys holds the keys of ended calls in sorted slices, one for each hour of claims. A map would
// take twice the memory.
type endedKeys struct {
	// buckets maps an hour since the Unix epoch to its keys, sorted by key. The slices are immutable, so
	// that a snapshot may read them without a lock.
	buckets map[int64][]row
}

func (ek *endedKeys) len() int {
	num := 0
	for _, bk := range ek.buckets {
		num += len(bk)
	}
	return num
}

// find returns the latest claim of a key.
func (ek *endedKeys) find(key keyHash) (row, bool) {
	var best row
	found := false
	for _, bk := range ek.buckets {
		idx, ok := slices.BinarySearchFunc(bk, key, func(rw row, ky keyHash) int {
			return bytes.Compare(rw.key[:], ky[:])
		})
		if ok && (!found || bk[idx].claimed > best.claimed) {
			best, found = bk[idx], true
		}
	}
	return best, found
}

func (ek *endedKeys) add(rows []row) {
	added := map[int64][]row{}
	for _, rw := range rows {
		hour := rw.claimed / bucketSeconds
		added[hour] = append(added[hour], rw)
	}
	if ek.buckets == nil {
		ek.buckets = map[int64][]row{}
	}
	for hour, bk := range added {
		merged := slices.Concat(ek.buckets[hour], bk)
		slices.SortFunc(merged, func(a, b row) int { return bytes.Compare(a.key[:], b.key[:]) })
		ek.buckets[hour] = merged
	}
}

// trim deletes the buckets whose claims are all older than the given time.
func (ek *endedKeys) trim(oldest time.Time) {
	for hour := range ek.buckets {
		if (hour+1)*bucketSeconds <= oldest.Unix() {
			delete(ek.buckets, hour)
		}
	}
}
