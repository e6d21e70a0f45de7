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

// operations numbers the writes of this process, so that a boot and a number identify one write.
var operations atomic.Int64

// keys builds the keys of a data centre's journal. Numbers have a fixed width, so that the order
// of keys is the order of numbers.
type keys struct{ dc modeler.DataCentreName }

func (ks keys) segments() string               { return fmt.Sprintf("Journal/%s/", ks.dc) }
func (ks keys) segment(pos int64) string       { return fmt.Sprintf("%s%019d", ks.segments(), pos) }
func (ks keys) snapshots() string              { return fmt.Sprintf("Snapshot/%s/", ks.dc) }
func (ks keys) current() string                { return ks.snapshots() + "Current" }
func (ks keys) parts(pt pointer) string        { return ks.snapshots() + pt.directory() + "/" }
func (ks keys) part(pt pointer, ix int) string { return fmt.Sprintf("%s%06d", ks.parts(pt), ix) }

// snapshotPosition returns the position in the key of a snapshot part, and false for other keys.
func (ks keys) snapshotPosition(key string) (int64, bool) {
	dir, _, ok := strings.Cut(strings.TrimPrefix(key, ks.snapshots()), "/")
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

// pointer is the decoded content of the key Current. The zero value means that there is none.
type pointer struct {
	epoch     modeler.Epoch
	position  int64
	parts     int
	host      modeler.HostName
	boot      modeler.BootID
	operation int64
	// revision is that of the key in the store.
	revision int64
}

// directory is unique for each attempt to write a snapshot, so that the parts of two attempts
// cannot mix.
func (pt pointer) directory() string {
	return fmt.Sprintf("%d-%d-%s-%d", pt.epoch, pt.position, pt.boot, pt.operation)
}

func (pt pointer) same(other pointer) bool {
	return pt.boot == other.boot && pt.operation == other.operation
}

func (pt pointer) encode() ([]byte, error) {
	return proto.Marshal(&StoredPointer{
		Epoch: int64(pt.epoch), Position: pt.position, Parts: int32(pt.parts),
		Boot: string(pt.boot), Operation: pt.operation, Host: string(pt.host),
	})
}

func decodePointer(en storer.Entry) (pointer, error) {
	var sp StoredPointer
	if err := proto.Unmarshal(en.Value, &sp); err != nil {
		return pointer{}, fmt.Errorf("%s: %w: %w", en.Key, ErrDamaged, err)
	}
	return pointer{
		epoch: modeler.Epoch(sp.Epoch), position: sp.Position, parts: int(sp.Parts),
		host: modeler.HostName(sp.Host), boot: modeler.BootID(sp.Boot), operation: sp.Operation, revision: en.Revision,
	}, nil
}

func decodeSegment(en storer.Entry, pos int64) (*StoredSegment, error) {
	sg := new(StoredSegment)
	if err := proto.Unmarshal(en.Value, sg); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", en.Key, ErrDamaged, err)
	}
	if sg.Position != pos {
		return nil, fmt.Errorf("%s: %w: holds position %d", en.Key, ErrDamaged, sg.Position)
	}
	recs, err := unpack(sg.Records)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", en.Key, err)
	}
	sg.Records = recs
	return sg, nil
}

// wrote states whether the segment is the write of this boot with the operation number.
func (sg *StoredSegment) wrote(boot modeler.BootID, operation int64) bool {
	return sg.Boot == string(boot) && sg.Operation == operation
}

func encodeRecords(recs []Record) ([]*StoredRecord, int) {
	out := make([]*StoredRecord, 0, len(recs))
	size := 0
	for _, rec := range recs {
		out = append(out, &StoredRecord{Kind: int32(rec.Kind), Data: rec.Data})
		size += recordSize(rec)
	}
	return out, size
}

// recordSize bounds the encoded size of a record from above.
func recordSize(rec Record) int {
	const overhead = 24
	return len(rec.Data) + overhead
}

func decodeRecords(out []Record, recs []*StoredRecord) []Record {
	for _, rec := range recs {
		out = append(out, Record{Kind: Kind(rec.Kind), Data: rec.Data})
	}
	return out
}
