package claimer

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Kinds of records and of snapshot parts, which are their first bytes.
const (
	kindClaim   = 1
	kindOutcome = 2
	kindPart    = 3
)

// Lengths in bytes.
const (
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

func appendID(buf []byte, id claimID) []byte {
	buf = binary.BigEndian.AppendUint64(buf, uint64(id.epoch))
	return binary.BigEndian.AppendUint64(buf, id.serial)
}

func readID(buf []byte) claimID {
	return claimID{modeler.Epoch(binary.BigEndian.Uint64(buf)), binary.BigEndian.Uint64(buf[8:])}
}

func encodeClaim(rw row, id claimID) []byte {
	return appendID(appendRow([]byte{kindClaim}, rw), id)
}

func encodeOutcome(key keyHash, id claimID, oc outcome) []byte {
	return append(appendID(append([]byte{kindOutcome}, key[:]...), id), byte(oc))
}

// Snapshot returns the state in parts of at most maxBytes each; maxBytes must be at least 64. The caller
// must read the position of the journal first: the state then includes all records up to it.
func (clm *Claimer) Snapshot(maxBytes int) [][]byte {
	clm.mu.Lock()
	active := make([]entry, 0, len(clm.entries))
	for _, ent := range clm.entries {
		active = append(active, entry{row: ent.row, id: ent.id})
	}
	var old [][]row
	for _, bk := range clm.ended.buckets {
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
				wr.write(rw, claimID{})
			}
		}
	}
	return wr.parts
}

// partWriter splits rows into parts. Each part begins with its kind and the time of the keys' clock.
type partWriter struct {
	limit int
	clock time.Time
	parts [][]byte
}

func (wr *partWriter) write(rw row, id claimID) {
	last := len(wr.parts) - 1
	if last < 0 || len(wr.parts[last])+rowBytes+idBytes > wr.limit {
		wr.parts = append(wr.parts, binary.BigEndian.AppendUint64([]byte{kindPart}, uint64(wr.clock.Unix())))
		last++
	}
	part := appendRow(wr.parts[last], rw)
	// Only an open claim needs its ID, because its outcome may still follow in the journal.
	if rw.outcome == open {
		part = appendID(part, id)
	}
	wr.parts[last] = part
}

// restorer rebuilds the keys from a snapshot and the records that follow it.
type restorer struct {
	keys map[keyHash]entry
	// clock is the time of the last claim or snapshot part on the clock of the leader that wrote it, in
	// seconds since the Unix epoch. It is not the maximum of all times, which may come from an earlier
	// leader whose wall clock was ahead.
	clock int64
}

// Open restores the keys from the parts of a snapshot and the records that follow it. Claims without an
// outcome become Unknown and their calls never run again. It fails with ErrCorrupt.
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
	clm := &Claimer{opt: opt, clockBase: time.Now(), clockStart: time.Now(), entries: map[keyHash]*entry{}}
	if last := time.Unix(rst.clock, 0); rst.clock > 0 && last.Before(clm.clockBase) {
		clm.clockBase = last
	}
	clm.ended.add(rst.rows(clm.clockBase.Unix()))
	opt.Meter.Set(meter.KeysHeld, int64(clm.count()))
	logger.Log(opt.Log, logger.KeysRestored, "Keys", clm.count(), "Epoch", opt.Epoch)
	return clm, nil
}

// rows returns all keys as ended, claims without an outcome as unknown. A claim in the future comes from
// a clock that was ahead; its time is set to now.
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
		rst.applyClaim(entry{row: readRow(rec[1:]), id: readID(rec[1+rowBytes:])})
	case len(rec) == outcomeBytes && rec[0] == kindOutcome && outcome(rec[outcomeBytes-1]) <= notRun:
		rst.applyOutcome(keyHash(rec[1:17]), readID(rec[17:]), outcome(rec[outcomeBytes-1]))
	default:
		return ErrCorrupt
	}
	return nil
}

// applyClaim applies the record of a claim. A snapshot may already include records that follow its
// position, and an append whose answer was lost may arrive after later ones. Therefore the claim with the
// highest claimID wins, and a claim does not reopen an ended key unless that key had expired.
func (rst *restorer) applyClaim(ent entry) {
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

// applyOutcome applies the record of an outcome, but only to the claim with the same claimID. The outcome
// NotRun of an earlier claim must not delete a key whose later call may have run.
func (rst *restorer) applyOutcome(key keyHash, id claimID, oc outcome) {
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
