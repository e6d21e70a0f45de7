package journaler

import (
	"compress/flate"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/process/deflater"
)

const (
	// kindCompressed marks a record whose data is a deflated StoredPart. Records of one deployment
	// resemble each other and compress well, and a host on a slow link must read them all before
	// it can lead.
	kindCompressed = -1
	// minCompressBytes is the encoded size from which compression saves space.
	minCompressBytes = 256
	// maxDecompressedBytes bounds the decompressed size of one record. It exceeds the size limits
	// of parts and segments.
	maxDecompressedBytes = 4 << 20
)

var compressor = deflater.New(flate.BestSpeed)

// compressRecords returns one record that contains all others in compressed form, or the records
// unchanged if that is not shorter.
func compressRecords(recs []*StoredRecord) []*StoredRecord {
	plain, err := proto.Marshal(&StoredPart{Records: recs})
	if err != nil || len(plain) < minCompressBytes {
		return recs
	}
	compressed := compressor.Compress(plain)
	if len(compressed) >= len(plain) {
		return recs
	}
	return []*StoredRecord{{Kind: kindCompressed, Data: compressed}}
}

// DecompressRecords returns the records of a segment or part, which compressRecords may have compressed. Errors: ErrDamaged.
func DecompressRecords(recs []*StoredRecord) ([]*StoredRecord, error) {
	if len(recs) != 1 || recs[0].Kind != kindCompressed {
		return recs, nil
	}
	plain, err := deflater.Decompress(recs[0].Data, maxDecompressedBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	var sp StoredPart
	if err := proto.Unmarshal(plain, &sp); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return sp.Records, nil
}
