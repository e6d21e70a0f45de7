package deflater

import (
	"bytes"
	"compress/flate"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a lossy round trip, and against a small input that decompresses to more than the limit.
func TestCompressor(t *testing.T) {
	plain := bytes.Repeat([]byte("the same words "), 1000)
	for _, level := range []int{flate.BestSpeed, flate.DefaultCompression, flate.BestCompression} {
		compressed := New(level).Compress(plain)
		qt.Check(t, len(compressed) < len(plain)/10, qt.IsTrue)
		got, err := Decompress(compressed, int64(len(plain)))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, bytes.Equal(got, plain), qt.IsTrue)
		got, err = Decompress(compressed, 100)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.HasLen, 100)
		_, err = Decompress(compressed[:len(compressed)/2], int64(len(plain)))
		qt.Check(t, err, qt.IsNotNil)
	}
}
