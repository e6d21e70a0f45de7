// Package deflater compresses bytes in the DEFLATE format.
package deflater

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

// Compressor compresses bytes at one compression level. It is safe for concurrent use.
type Compressor struct {
	// writers pools *flate.Writer values, each of which allocates almost 1 MB.
	writers sync.Pool
}

// New returns a Compressor with a compression level of package flate. It panics if the level is invalid.
func New(level int) *Compressor {
	if _, err := flate.NewWriter(io.Discard, level); err != nil {
		panic(err)
	}
	return &Compressor{writers: sync.Pool{New: func() any {
		// The only possible error is an invalid level, which was checked above.
		fw, _ := flate.NewWriter(io.Discard, level)
		return fw
	}}}
}

// Compress returns the compressed bytes.
func (cp *Compressor) Compress(plain []byte) []byte {
	var bf bytes.Buffer
	fw := cp.writers.Get().(*flate.Writer)
	defer cp.writers.Put(fw)
	fw.Reset(&bf)
	// Writing to a buffer never fails.
	_, _ = fw.Write(plain)
	_ = fw.Close()
	return bf.Bytes()
}

// Decompress decompresses bytes. The result is truncated to maxBytes without an error. For corrupt or
// truncated input it returns the error of package flate.
func Decompress(compressed []byte, maxBytes int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxBytes))
}
