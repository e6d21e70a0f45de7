// Package deflater compresses bytes in the DEFLATE format.
package deflater

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

// Compressor compresses bytes at one level. It is safe for concurrent use.
type Compressor struct {
	// writers keeps writers for the next use, each of which holds almost 1 MB.
	writers sync.Pool
}

// New returns a compressor of a level of package flate. It panics on any other.
func New(level int) *Compressor {
	if _, err := flate.NewWriter(io.Discard, level); err != nil {
		panic(err)
	}
	return &Compressor{writers: sync.Pool{New: func() any {
		// Only a wrong level is an error.
		fw, _ := flate.NewWriter(io.Discard, level)
		return fw
	}}}
}

// Compress returns the compressed form of the bytes.
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

// Decompress returns the bytes of a compressed form, but not more than most. The error is that of package flate
// for bytes that are damaged or cut short.
func Decompress(packed []byte, most int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), most))
}
