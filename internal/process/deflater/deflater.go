// Package deflater packs bytes in the DEFLATE format.
package deflater

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

// Packer packs bytes at one level. It is safe for concurrent use.
type Packer struct {
	// writers keeps writers for the next use, each of which holds almost 1 MB.
	writers sync.Pool
}

// New returns a packer of a level of package flate. It panics on any other.
func New(level int) *Packer {
	if _, err := flate.NewWriter(io.Discard, level); err != nil {
		panic(err)
	}
	return &Packer{writers: sync.Pool{New: func() any {
		// Only a wrong level is an error.
		fw, _ := flate.NewWriter(io.Discard, level)
		return fw
	}}}
}

// Pack returns the packed form of the bytes.
func (pk *Packer) Pack(plain []byte) []byte {
	var bf bytes.Buffer
	fw := pk.writers.Get().(*flate.Writer)
	defer pk.writers.Put(fw)
	fw.Reset(&bf)
	// Writing to a buffer never fails.
	_, _ = fw.Write(plain)
	_ = fw.Close()
	return bf.Bytes()
}

// Unpack returns the bytes of a packed form, but not more than most. The error is that of package flate
// for bytes that are damaged or cut short.
func Unpack(packed []byte, most int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), most))
}
