package journaler

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// Guards against a segment that ends the process, or one at another position than that of its key.
func FuzzDecodeSegment(f *testing.F) {
	f.Fuzz(func(t *testing.T, position int64, value []byte) {
		sg, err := decodeSegment(storer.Entry{Value: value}, position)
		if err != nil {
			qt.Assert(t, errors.Is(err, ErrDamaged), qt.IsTrue)
			return
		}
		qt.Assert(t, sg.Position, qt.Equals, position)
		qt.Assert(t, sg.Epoch > 0 && sg.Epoch <= maxEpoch, qt.IsTrue)
		again, err := proto.Marshal(&StoredSegment{Position: sg.Position, Epoch: sg.Epoch, Records: compressRecords(sg.Records)})
		qt.Assert(t, err, qt.IsNil)
		second, err := decodeSegment(storer.Entry{Value: again}, position)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(second.Records), qt.Equals, len(sg.Records))
	})
}

// Guards against a pointer that ends the process, or one with values out of bounds.
func FuzzDecodePointer(f *testing.F) {
	f.Fuzz(func(t *testing.T, value []byte) {
		pt, err := decodePointer(storer.Entry{Value: value})
		if err != nil {
			qt.Assert(t, errors.Is(err, ErrDamaged), qt.IsTrue)
			return
		}
		qt.Assert(t, pt.parts >= 0 && pt.parts <= maxParts && pt.position >= 0 && pt.position <= maxPosition, qt.IsTrue)
		encoded, err := pt.encode()
		qt.Assert(t, err, qt.IsNil)
		again, err := decodePointer(storer.Entry{Value: encoded})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.Equals, pt)
	})
}
