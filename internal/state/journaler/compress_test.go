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

func records(count int, data func(ix int) []byte) []*StoredRecord {
	recs := make([]*StoredRecord, count)
	for ix := range recs {
		recs[ix] = &StoredRecord{Kind: int32(KindTask), Data: data(ix)}
	}
	return recs
}

func assertRoundTrip(t *testing.T, recs []*StoredRecord) []*StoredRecord {
	t.Helper()
	compressed := compressRecords(recs)
	decompressed, err := DecompressRecords(compressed)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, decodeRecords(nil, decompressed), qt.DeepEquals, decodeRecords(nil, recs))
	return compressed
}

func dataSize(recs []*StoredRecord) int {
	sum := 0
	for _, rec := range recs {
		sum += len(rec.Data)
	}
	return sum
}

// Guards against a journal that compresses too little for a host on a slow link to read it in time,
// and against records that are lost or changed by compression.
func TestCompressRecords(t *testing.T) {
	endRecord := func(ix int) []byte {
		return fmt.Appendf(nil, `{"End":{"Task":"job-%d/0/1/%d","Run":%d,"Outcome":"done"}}`, 1_000_000+ix/20, ix%20, 1<<20+1)
	}
	t.Run("alike", func(t *testing.T) {
		recs := records(50, endRecord)
		qt.Check(t, 4*dataSize(assertRoundTrip(t, recs)) < dataSize(recs), qt.IsTrue)
	})
	t.Run("few", func(t *testing.T) { qt.Check(t, assertRoundTrip(t, records(2, endRecord)), qt.HasLen, 2) })
	t.Run("none", func(t *testing.T) { assertRoundTrip(t, nil) })
	t.Run("not alike", func(t *testing.T) {
		recs := records(3, func(int) []byte {
			data := make([]byte, 200)
			_, _ = rand.Read(data)
			return data
		})
		qt.Check(t, assertRoundTrip(t, recs), qt.HasLen, 3)
	})
	t.Run("whole part", func(t *testing.T) { assertRoundTrip(t, records(maxPartBytes/100, endRecord)) })
	t.Run("damaged", func(t *testing.T) {
		compressed := compressRecords(records(50, endRecord))
		compressed[0].Data = compressed[0].Data[:len(compressed[0].Data)/2]
		_, err := DecompressRecords(compressed)
		qt.Check(t, errors.Is(err, ErrDamaged), qt.IsTrue)
	})
}

// Guards against the longer timeout of Open being used for the calls after it, which would make a
// leader wait too long for an unresponsive store.
func TestOpenCallTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		callTimeout := func(retry func(context.Context, func(context.Context) error) error) time.Duration {
			var timeout time.Duration
			qt.Assert(t, retry(t.Context(), func(ctx context.Context) error {
				until, _ := ctx.Deadline()
				timeout = time.Until(until)
				return nil
			}), qt.IsNil)
			return timeout
		}
		op := Options{CallTimeout: time.Second, OpenCallTimeout: 4 * time.Second}.withDefaults()
		on := &opener{options: op}
		qt.Check(t, callTimeout(on.retry), qt.Equals, 4*time.Second)
		qt.Check(t, callTimeout(op.retry), qt.Equals, time.Second)
		qt.Check(t, Options{CallTimeout: time.Second}.withDefaults().OpenCallTimeout, qt.Equals, time.Second)
	})
}
