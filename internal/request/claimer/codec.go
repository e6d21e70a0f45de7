package claimer

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// First bytes of records and of parts of a snapshot, and their lengths.
const (
	kindClaim   = 1
	kindOutcome = 2
	kindPart    = 3

	partHeader   = 1 + 8
	idBytes      = 16
	rowBytes     = 16 + 8 + 8 + 1
	claimBytes   = 1 + rowBytes + idBytes
	outcomeBytes = 1 + 16 + idBytes + 1
)

func appendRow(buf []byte, rw row) []byte {
	buf = append(buf, rw.key[:]...)
	buf = binary.BigEndian.AppendUint64(buf, rw.request)
	buf = binary.BigEndian.AppendUint64(buf, uint64(rw.claimed))
	return append(buf, byte(rw.outcome))
}

func readRow(buf []byte) row {
	return row{
		key:     keyHash(buf[:16]),
		request: binary.BigEndian.Uint64(buf[16:]),
		claimed: int64(binary.BigEndian.Uint64(buf[24:])),
		outcome: outcome(buf[32]),
	}
}

func appendID(buf []byte, id attempt) []byte {
	buf = binary.BigEndian.AppendUint64(buf, uint64(id.epoch))
	return binary.BigEndian.AppendUint64(buf, id.serial)
}

func readID(buf []byte) attempt {
	return attempt{modeler.Epoch(binary.BigEndian.Uint64(buf)), binary.BigEndian.Uint64(buf[8:])}
}

func encodeClaim(rw row, id attempt) []byte {
	return appendID(appendRow([]byte{kindClaim}, rw), id)
}

func encodeOutcome(key keyHash, id attempt, oc outcome) []byte {
	return append(appendID(append([]byte{kindOutcome}, key[:]...), id), byte(oc))
}

// Snapshot returns the state in parts of at most maxBytes each, which is at least 64. The caller
// reads the position of the journal first: the state has the effect of every record up to it.
func (clm *Claimer) Snapshot(maxBytes int) [][]byte {
	clm.mu.Lock()
	active := make([]entry, 0, len(clm.entries))
	for _, ent := range clm.entries {
		active = append(active, entry{row: ent.row, id: ent.id})
	}
	var old [][]row
	for _, bk := range clm.old.buckets {
		old = append(old, bk)
	}
	clm.mu.Unlock()
	wr := partWriter{limit: maxBytes, clock: clm.now()}
	for _, ent := range active {
		wr.write(ent.row, ent.id)
	}
	for _, bk := range old {
		for _, rw := range bk {
			if !clm.expired(rw) {
				wr.write(rw, attempt{})
			}
		}
	}
	return wr.parts
}

// partWriter splits rows into parts. Each part begins with its kind and the clock of the keys.
type partWriter struct {
	limit int
	clock time.Time
	parts [][]byte
}

func (wr *partWriter) write(rw row, id attempt) {
	last := len(wr.parts) - 1
	if last < 0 || len(wr.parts[last])+rowBytes+idBytes > wr.limit {
		wr.parts = append(wr.parts, binary.BigEndian.AppendUint64([]byte{kindPart}, uint64(wr.clock.Unix())))
		last++
	}
	part := appendRow(wr.parts[last], rw)
	// Only the outcome of an open claim may still follow in the journal.
	if rw.outcome == open {
		part = appendID(part, id)
	}
	wr.parts[last] = part
}

// restorer rebuilds the keys from a snapshot and the records after it.
type restorer struct {
	keys map[keyHash]entry
	// clock is the time of the last claim or snapshot on the clock of the leader that wrote it, in
	// seconds since the Unix epoch. The latest time would be wrong: it may come from an earlier
	// leader whose wall clock was ahead.
	clock int64
}

// Open restores the keys from the parts of a snapshot and the records after it. Claims without an
// outcome become Unknown and never run again. Error: ErrCorrupt.
func Open(opt Options, parts, records [][]byte) (*Claimer, error) {
	if opt.MaxKeys == 0 {
		opt.MaxKeys = DefaultMaxKeys
	}
	if opt.MaxAnswerBytes == 0 {
		opt.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	rst := restorer{keys: map[keyHash]entry{}}
	for idx, part := range parts {
		if err := rst.readPart(part); err != nil {
			return nil, fmt.Errorf("part %d of the snapshot: %w", idx, err)
		}
	}
	for idx, rec := range records {
		if err := rst.readRecord(rec); err != nil {
			return nil, fmt.Errorf("record %d: %w", idx, err)
		}
	}
	clm := &Claimer{opt: opt, base: time.Now(), opened: time.Now(), entries: map[keyHash]*entry{}}
	if last := time.Unix(rst.clock, 0); rst.clock > 0 && last.Before(clm.base) {
		clm.base = last
	}
	clm.old.add(rst.rows(clm.base.Unix()))
	opt.Meter.Set(meter.KeysHeld, int64(clm.count()))
	logger.Log(opt.Log, logger.KeysRestored, "Keys", clm.count(), "Epoch", opt.Epoch)
	return clm, nil
}

// rows returns all keys as ended. A claim later than the present comes from a clock that was
// ahead; it is kept as if it were made now.
func (rst *restorer) rows(now int64) []row {
	rows := make([]row, 0, len(rst.keys))
	for _, ent := range rst.keys {
		if ent.outcome == open {
			ent.outcome = unknown
		}
		ent.claimed = min(ent.claimed, now)
		rows = append(rows, ent.row)
	}
	return rows
}

func (rst *restorer) readPart(part []byte) error {
	if len(part) < partHeader || part[0] != kindPart {
		return ErrCorrupt
	}
	rst.clock = int64(binary.BigEndian.Uint64(part[1:]))
	for rest := part[partHeader:]; len(rest) > 0; {
		if len(rest) < rowBytes {
			return ErrCorrupt
		}
		ent := entry{row: readRow(rest)}
		rest = rest[rowBytes:]
		if ent.outcome >= notRun || ent.outcome == open && len(rest) < idBytes {
			return ErrCorrupt
		}
		if ent.outcome == open {
			ent.id = readID(rest)
			rest = rest[idBytes:]
		}
		if old, ok := rst.keys[ent.key]; !ok || old.claimed < ent.claimed {
			rst.keys[ent.key] = ent
		}
	}
	return nil
}

func (rst *restorer) readRecord(rec []byte) error {
	switch {
	case len(rec) == claimBytes && rec[0] == kindClaim:
		rst.claim(entry{row: readRow(rec[1:]), id: readID(rec[1+rowBytes:])})
	case len(rec) == outcomeBytes && rec[0] == kindOutcome && outcome(rec[outcomeBytes-1]) <= notRun:
		rst.end(keyHash(rec[1:17]), readID(rec[17:]), outcome(rec[outcomeBytes-1]))
	default:
		return ErrCorrupt
	}
	return nil
}

// claim applies a claim. A snapshot may include records that follow its position, and an append
// whose answer was lost may arrive after later ones: the claim with the highest attempt counts,
// and a claim never reopens a key that has ended, unless the key had expired.
func (rst *restorer) claim(ent entry) {
	rst.clock = ent.claimed
	old, ok := rst.keys[ent.key]
	expired := ent.claimed-old.claimed >= int64(KeyAge/time.Second)
	if ok && old.outcome != open && !expired {
		return
	}
	if ok && old.outcome == open && ent.id.less(old.id) {
		return
	}
	rst.keys[ent.key] = ent
}

// end applies an outcome to the claim with the same attempt only. The outcome NotRun of an earlier
// attempt must not free a key whose later attempt may have run.
func (rst *restorer) end(key keyHash, id attempt, oc outcome) {
	ent, ok := rst.keys[key]
	if !ok || ent.outcome != open || ent.id != id {
		return
	}
	if oc == notRun {
		delete(rst.keys, key)
		return
	}
	ent.outcome = oc
	rst.keys[key] = ent
}
