package tracker

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/process/deflater"
)

// Configuration documents are sent as deltas to the document that the receiver has. In a trial with
// 100 hosts, a document of 70 kB and 15,000 changes a day, sending whole documents took 25 kB/s per
// host, against a budget of 4 kB/s.

// maxDocumentBytes is the largest value that the store accepts. It bounds the size to which a
// response is decompressed.
const maxDocumentBytes = 1 << 20

// errCorruptDocument means that applying a delta did not yield the peer's document.
var errCorruptDocument = errors.New("configuration document from peer is corrupt")

var compressor = deflater.New(flate.DefaultCompression)

// encodeDelta encodes a document as a delta to base: the lengths of the common prefix and suffix
// and the compressed bytes between them. It does not set the revision.
func encodeDelta(base, doc []byte) *messenger.FetchResponse {
	shorter := min(len(base), len(doc))
	prefix := 0
	for prefix < shorter && base[prefix] == doc[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && base[len(base)-1-suffix] == doc[len(doc)-1-suffix] {
		suffix++
	}
	return &messenger.FetchResponse{
		Prefix: int64(prefix), Suffix: int64(suffix), Middle: compressor.Compress(doc[prefix : len(doc)-suffix]), Hash: xxhash.Sum64(doc),
	}
}

// applyDelta returns the document that a response encodes as a delta to base. Errors wrap
// errCorruptDocument.
func applyDelta(base []byte, rsp *messenger.FetchResponse) ([]byte, error) {
	prefix, suffix, size := rsp.GetPrefix(), rsp.GetSuffix(), int64(len(base))
	if prefix < 0 || suffix < 0 || prefix > size || suffix > size-prefix {
		return nil, errCorruptDocument
	}
	middle, err := deflater.Decompress(rsp.GetMiddle(), maxDocumentBytes+1)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCorruptDocument, err)
	}
	doc := bytes.Join([][]byte{base[:prefix], middle, base[size-suffix:]}, nil)
	if len(doc) > maxDocumentBytes || xxhash.Sum64(doc) != rsp.GetHash() {
		return nil, errCorruptDocument
	}
	return doc, nil
}
