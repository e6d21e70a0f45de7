package journaler

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// lastOperation numbers the writes of this process. A boot ID and an operation number together
// identify one write.
var lastOperation atomic.Int64

// keys builds the store keys of a data centre's journal. Numbers have a fixed width, so that keys
// sort in numeric order.
type keys struct{ dc modeler.DataCentreName }

func (ks keys) segmentPrefix() string    { return fmt.Sprintf("Journal/%s/", ks.dc) }
func (ks keys) segment(pos int64) string { return fmt.Sprintf("%s%019d", ks.segmentPrefix(), pos) }
func (ks keys) snapshotPrefix() string   { return fmt.Sprintf("Snapshot/%s/", ks.dc) }
func (ks keys) current() string          { return ks.snapshotPrefix() + "Current" }
func (ks keys) partPrefix(pt snapshotPointer) string {
	return ks.snapshotPrefix() + pt.directory() + "/"
}

func (ks keys) part(pt snapshotPointer, ix int) string {
	return fmt.Sprintf("%s%06d", ks.partPrefix(pt), ix)
}

// snapshotPosition parses the position from the key of a snapshot part. It returns false for other
// keys.
func (ks keys) snapshotPosition(key string) (int64, bool) {
	dir, _, ok := strings.Cut(strings.TrimPrefix(key, ks.snapshotPrefix()), "/")
	if !ok {
		return 0, false
	}
	numbers := strings.Split(dir, "-")
	if len(numbers) < 2 {
		return 0, false
	}
	pos, err := strconv.ParseInt(numbers[1], 10, 64)
	return pos, err == nil
}

// snapshotPointer identifies the current snapshot. It is the decoded value of the key Current. The
// zero value means that there is no snapshot.
type snapshotPointer struct {
	epoch     modeler.Epoch
	position  int64
	parts     int
	host      modeler.HostName
	boot      modeler.BootID
	operation int64
	// revision is the revision of the key Current in the store.
	revision int64
}

// directory returns a key element that is unique for each attempt to write a snapshot, so that the
// parts of two attempts are never mixed.
func (pt snapshotPointer) directory() string {
	return fmt.Sprintf("%d-%d-%s-%d", pt.epoch, pt.position, pt.boot, pt.operation)
}

func (pt snapshotPointer) sameWrite(other snapshotPointer) bool {
	return pt.boot == other.boot && pt.operation == other.operation
}

func (pt snapshotPointer) encode() ([]byte, error) {
	return proto.Marshal(&StoredPointer{
		Epoch: int64(pt.epoch), Position: pt.position, Parts: int32(pt.parts),
		Boot: string(pt.boot), Operation: pt.operation, Host: string(pt.host),
	})
}

const (
	// maxEpoch bounds epochs that are read. It leaves room for later ones and for run numbers that
	// are multiples of epochs.
	maxEpoch = 1 << 40
	// maxPosition bounds positions that are read. It leaves room for later ones.
	maxPosition = 1 << 60
	// maxParts bounds the parts of a snapshot, each of which has up to maxPartBytes.
	maxParts = 10_000
)

// decodePointer decodes the pointer to the current snapshot. Errors: ErrDamaged.
func decodePointer(en storer.Entry) (snapshotPointer, error) {
	var sp StoredPointer
	if err := proto.Unmarshal(en.Value, &sp); err != nil {
		return snapshotPointer{}, fmt.Errorf("decoding snapshot pointer %s: %w: %w", en.Key, ErrDamaged, err)
	}
	if sp.Epoch < 0 || sp.Epoch > maxEpoch || sp.Position < 0 || sp.Position > maxPosition || sp.Parts < 0 || sp.Parts > maxParts {
		return snapshotPointer{}, fmt.Errorf("snapshot pointer %s: %w: epoch %d, position %d, %d parts", en.Key, ErrDamaged, sp.Epoch, sp.Position, sp.Parts)
	}
	return snapshotPointer{
		epoch: modeler.Epoch(sp.Epoch), position: sp.Position, parts: int(sp.Parts),
		host: modeler.HostName(sp.Host), boot: modeler.BootID(sp.Boot), operation: sp.Operation, revision: en.Revision,
	}, nil
}

// decodeSegment decodes the segment at a position. Errors: ErrDamaged.
func decodeSegment(en storer.Entry, pos int64) (*StoredSegment, error) {
	sg := new(StoredSegment)
	if err := proto.Unmarshal(en.Value, sg); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", en.Key, ErrDamaged, err)
	}
	if sg.Position != pos {
		return nil, fmt.Errorf("%s: %w: holds position %d", en.Key, ErrDamaged, sg.Position)
	}
	if sg.Epoch <= 0 || sg.Epoch > maxEpoch {
		return nil, fmt.Errorf("%s: %w: epoch %d", en.Key, ErrDamaged, sg.Epoch)
	}
	recs, err := DecompressRecords(sg.Records)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", en.Key, err)
	}
	sg.Records = recs
	return sg, nil
}

// isWriteOf reports whether the process with the boot ID wrote the segment in the given operation.
func (sg *StoredSegment) isWriteOf(boot modeler.BootID, operation int64) bool {
	return sg.Boot == string(boot) && sg.Operation == operation
}

// encodeRecords also returns an upper bound of the encoded size in bytes.
func encodeRecords(recs []Record) ([]*StoredRecord, int) {
	out := make([]*StoredRecord, 0, len(recs))
	size := 0
	for _, rec := range recs {
		out = append(out, &StoredRecord{Kind: int32(rec.Kind), Data: rec.Data})
		size += maxRecordSize(rec)
	}
	return out, size
}

// maxRecordSize returns an upper bound of the encoded size of a record in bytes.
func maxRecordSize(rec Record) int {
	const overhead = 24
	return len(rec.Data) + overhead
}

func decodeRecords(out []Record, recs []*StoredRecord) []Record {
	for _, rec := range recs {
		out = append(out, Record{Kind: Kind(rec.Kind), Data: rec.Data})
	}
	return out
}
