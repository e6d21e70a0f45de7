package journaler

import (
	"compress/flate"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/process/deflater"
)

const (
	// kindPacked marks a record that holds others, deflated. Records of one installation resemble each
	// other, and a host on a slow link has to read them all before it can lead.
	kindPacked = -1
	// packedMin is the size of records, in bytes, from which packing saves anything.
	packedMin = 256
	// unpackedMax bounds the bytes that one record may unpack to. It exceeds what one part or segment
	// holds.
	unpackedMax = 4 << 20
)

var deflated = deflater.New(flate.BestSpeed)

// pack returns a record that holds all others when that is shorter, else the records themselves.
func pack(recs []*StoredRecord) []*StoredRecord {
	plain, err := proto.Marshal(&StoredPart{Records: recs})
	if err != nil || len(plain) < packedMin {
		return recs
	}
	packed := deflated.Compress(plain)
	if len(packed) >= len(plain) {
		return recs
	}
	return []*StoredRecord{{Kind: kindPacked, Data: packed}}
}

// unpack is the inverse of pack. Errors: ErrDamaged.
func unpack(recs []*StoredRecord) ([]*StoredRecord, error) {
	if len(recs) != 1 || recs[0].Kind != kindPacked {
		return recs, nil
	}
	plain, err := deflater.Decompress(recs[0].Data, unpackedMax)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	var sp StoredPart
	if err := proto.Unmarshal(plain, &sp); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return sp.Records, nil
}
