package journaler

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func records(count int, data func(no int) []byte) []*StoredRecord {
	recs := make([]*StoredRecord, count)
	for no := range recs {
		recs[no] = &StoredRecord{Kind: int32(KindTask), Data: data(no)}
	}
	return recs
}

func assertUnpacks(t *testing.T, recs []*StoredRecord) []*StoredRecord {
	t.Helper()
	packed := pack(recs)
	again, err := unpack(packed)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, decodeRecords(nil, again), qt.DeepEquals, decodeRecords(nil, recs))
	return packed
}

func size(recs []*StoredRecord) int {
	sum := 0
	for _, rec := range recs {
		sum += len(rec.Data)
	}
	return sum
}

// Guards against a journal that a host on a slow link cannot read in time, and against records that
// are lost or changed on the way.
func TestPack(t *testing.T) {
	end := func(no int) []byte {
		return fmt.Appendf(nil, `{"End":{"Task":"job-%d/0/1/%d","Run":%d,"Outcome":"done"}}`, 1_000_000+no/20, no%20, 1<<20+1)
	}
	t.Run("alike", func(t *testing.T) {
		recs := records(50, end)
		qt.Check(t, 4*size(assertUnpacks(t, recs)) < size(recs), qt.IsTrue)
	})
	t.Run("few", func(t *testing.T) { qt.Check(t, assertUnpacks(t, records(2, end)), qt.HasLen, 2) })
	t.Run("none", func(t *testing.T) { assertUnpacks(t, nil) })
	t.Run("not alike", func(t *testing.T) {
		recs := records(3, func(int) []byte {
			data := make([]byte, 200)
			_, _ = rand.Read(data)
			return data
		})
		qt.Check(t, assertUnpacks(t, recs), qt.HasLen, 3)
	})
	t.Run("whole part", func(t *testing.T) { assertUnpacks(t, records(maxPartBytes/100, end)) })
	t.Run("damaged", func(t *testing.T) {
		packed := pack(records(50, end))
		packed[0].Data = packed[0].Data[:len(packed[0].Data)/2]
		_, err := unpack(packed)
		qt.Check(t, errors.Is(err, ErrDamaged), qt.IsTrue)
	})
}

// Guards against a leader that waits long for calls that have gone silent, because it needed long to
// read the journal.
func TestOpenCallLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limitOf := func(retry func(context.Context, func(context.Context) error) error) time.Duration {
			var limit time.Duration
			qt.Assert(t, retry(t.Context(), func(ctx context.Context) error {
				until, _ := ctx.Deadline()
				limit = time.Until(until)
				return nil
			}), qt.IsNil)
			return limit
		}
		op := Options{CallLimit: time.Second, OpenCallLimit: 4 * time.Second}.withDefaults()
		on := &opener{options: op}
		qt.Check(t, limitOf(on.retry), qt.Equals, 4*time.Second)
		qt.Check(t, limitOf(op.retry), qt.Equals, time.Second)
		qt.Check(t, Options{CallLimit: time.Second}.withDefaults().OpenCallLimit, qt.Equals, time.Second)
	})
}
