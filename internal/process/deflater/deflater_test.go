package deflater

import (
	"bytes"
	"compress/flate"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against bytes that change on the way, and against a short message that fills the memory.
func TestPacker(t *testing.T) {
	plain := bytes.Repeat([]byte("the same words "), 1000)
	for _, level := range []int{flate.BestSpeed, flate.DefaultCompression, flate.BestCompression} {
		packed := New(level).Compress(plain)
		qt.Check(t, len(packed) < len(plain)/10, qt.IsTrue)
		got, err := Decompress(packed, int64(len(plain)))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, bytes.Equal(got, plain), qt.IsTrue)
		got, err = Decompress(packed, 100)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.HasLen, 100)
		_, err = Decompress(packed[:len(packed)/2], int64(len(plain)))
		qt.Check(t, err, qt.IsNotNil)
	}
}
