package distributor

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/currantrouter/currantrouter/internal/config/checker"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/process/deflater"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// Keys in the store.
const (
	keyCurrent    = "Configuration/Current"
	prefixHistory = "Configuration/History/"
)

// maxHistory is the number of earlier revisions that the store keeps.
const maxHistory = 100

// Bounds of the delay before a call to the store or a peer is retried.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// errMalformed means that a value in the store has no valid header or can't be decompressed.
var errMalformed = errors.New("stored configuration is malformed")

// deflatedHeader precedes a document that is stored in the DEFLATE format. Compression saves bandwidth:
// one host in each data centre reads every change, and 15,000 a day of 70 kB would be 12 kB/s.
const deflatedHeader = "Encoding = deflate\n"

// minDeflateBytes is the size from which documents are compressed. Smaller ones stay readable in the
// store.
const minDeflateBytes = 4 << 10

var documentCompressor = deflater.New(flate.BestCompression)

// storedRevision is the value of a revision in the store. It is encoded as header lines followed by
// the document.
type storedRevision struct {
	rev modeler.Revision
	// writerID is unique for each call of Put and shows whether a write whose answer was lost has taken
	// effect. Its words are a random token, the time and the operator's name. They share one header
	// line, because processes of earlier versions expect exactly two header lines.
	writerID string
	doc      []byte
}

func (sr storedRevision) encode() []byte {
	var bf bytes.Buffer
	fmt.Fprintf(&bf, "Revision = %d\nWriter = %s\n", sr.rev, sr.writerID)
	if len(sr.doc) < minDeflateBytes {
		bf.Write(sr.doc)
		return bf.Bytes()
	}
	bf.WriteString(deflatedHeader)
	bf.Write(documentCompressor.Compress(sr.doc))
	return bf.Bytes()
}

func newWriterID(who string) string {
	now := time.Now().UTC().Format(time.RFC3339)
	return strings.Join(append([]string{rand.Text(), now}, strings.Fields(who)...), " ")
}

// change returns the metadata of the revision. Values written by earlier versions have neither time nor
// operator.
func (sr storedRevision) change() Change {
	ch := Change{Revision: sr.rev}
	words := strings.Fields(sr.writerID)
	if len(words) < 2 {
		return ch
	}
	at, err := time.Parse(time.RFC3339, words[1])
	if err != nil {
		return ch
	}
	ch.At, ch.Who = at, strings.Join(words[2:], " ")
	return ch
}

func decode(value []byte) (storedRevision, error) {
	first, rest, _ := bytes.Cut(value, []byte("\n"))
	second, doc, ok := bytes.Cut(rest, []byte("\n"))
	text, hasRevision := strings.CutPrefix(string(first), "Revision = ")
	writer, hasWriter := strings.CutPrefix(string(second), "Writer = ")
	rev, err := strconv.ParseInt(text, 10, 64)
	if !ok || !hasRevision || !hasWriter || err != nil || rev <= 0 {
		return storedRevision{}, errMalformed
	}
	// A valid document can't begin like this header, because a section precedes its first key.
	if packed, ok := bytes.CutPrefix(doc, []byte(deflatedHeader)); ok {
		if doc, err = deflater.Decompress(packed, checker.MaxDocumentBytes+1); err != nil {
			return storedRevision{}, fmt.Errorf("%w: %w", errMalformed, err)
		}
	}
	return storedRevision{rev: modeler.Revision(rev), writerID: writer, doc: doc}, nil
}

func historyKey(rev modeler.Revision) string { return fmt.Sprintf("%s%019d", prefixHistory, rev) }

// readCurrent returns the current configuration in the store and the store's revision of its key. Both
// are zero when the store has none.
func (dst *Distributor) readCurrent(ctx context.Context) (storedRevision, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	ent, err := dst.opt.Store.Get(ctx, keyCurrent)
	if errors.Is(err, storer.ErrNotFound) {
		return storedRevision{}, 0, nil
	}
	if err != nil {
		return storedRevision{}, 0, err
	}
	sr, err := decode(ent.Value)
	return sr, ent.Revision, err
}

// Put validates a document and writes it to the store as the successor of the expected revision,
// which is zero for the first one. Errors: ErrConflict, ErrResultUnknown, checker.ErrInvalid and
// storer.ErrUnavailable, which means that nothing was written.
func (dst *Distributor) Put(ctx context.Context, document []byte, expected modeler.Revision) (modeler.Revision, error) {
	return dst.PutAs(ctx, document, expected, "")
}

// PutAs is like Put but stores the operator's name with the revision.
func (dst *Distributor) PutAs(ctx context.Context, document []byte, expected modeler.Revision, who string) (modeler.Revision, error) {
	next, err := checker.Parse(document, expected+1)
	if err != nil {
		return 0, err
	}
	old, storeRev, err := dst.readCurrent(ctx)
	if err != nil {
		return 0, fmt.Errorf("%w: read before the change: %w", storer.ErrUnavailable, err)
	}
	// A store that was restored from an old copy may have a lower revision than the one in force. The
	// successor must be above both, or no host would accept it.
	if base := max(old.rev, dst.revision()); base != expected {
		return 0, fmt.Errorf("%w: present revision is %d, expected %d", ErrConflict, base, expected)
	}
	if err := dst.validateTransition(old, next); err != nil {
		return 0, err
	}
	if err := dst.archive(ctx, old); err != nil {
		return 0, fmt.Errorf("%w: history: %w", storer.ErrUnavailable, err)
	}
	cur := storedRevision{rev: expected + 1, writerID: newWriterID(who), doc: document}
	if err := dst.write(ctx, cur, storeRev); err != nil {
		return 0, err
	}
	// If this fails, the next change removes the entries.
	_ = dst.trim(ctx, cur.rev)
	// The watch or a peer may have delivered the same or a later revision in the meantime.
	if err := dst.offer(offeredDocument{doc: document, rev: cur.rev, source: "operator"}); err != nil && !errors.Is(err, ErrLowerRevision) {
		return cur.rev, err
	}
	return cur.rev, nil
}

// validateTransition returns checker.ErrInvalid when a configuration must not replace the current one.
func (dst *Distributor) validateTransition(old storedRevision, next *modeler.Configuration) error {
	cur := dst.Current()
	if cur == nil || cur.Revision < old.rev {
		parsed, err := checker.Parse(old.doc, old.rev)
		if err != nil {
			// There is none, or it is invalid and therefore not in force on any host.
			return nil
		}
		cur = parsed
	}
	return checker.ValidateTransition(cur, next)
}

// archive copies the revision that is about to be replaced to the history. Because this happens before
// the write, every recent revision is under the key Current or in the history even if the writer fails
// between the two writes.
func (dst *Distributor) archive(ctx context.Context, old storedRevision) error {
	if old.rev == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	_, err := dst.opt.Store.Put(ctx, historyKey(old.rev), old.encode(), 0)
	// An existing entry has the same value, so that the write can be repeated after a lost answer.
	if errors.Is(err, storer.ErrResultUnknown) {
		_, err = dst.opt.Store.Put(ctx, historyKey(old.rev), old.encode(), 0)
	}
	if errors.Is(err, storer.ErrConflict) {
		return nil
	}
	return err
}

// write replaces the current value if the store's revision of its key is storeRev. A write whose
// answer was lost may still take effect later, even if the store has the old value: the same write is
// repeated until it succeeds or conflicts.
func (dst *Distributor) write(ctx context.Context, cur storedRevision, storeRev int64) error {
	value := cur.encode()
	lost := false
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := dst.putOnce(ctx, value, storeRev)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, storer.ErrConflict) && !lost:
			return ErrConflict
		case errors.Is(err, storer.ErrConflict):
			if won, err := dst.tookEffect(ctx, cur); err == nil {
				if won {
					return nil
				}
				return ErrConflict
			}
		case errors.Is(err, storer.ErrTooLarge):
			return err
		case errors.Is(err, storer.ErrUnavailable) && !lost:
			return err
		case !errors.Is(err, storer.ErrUnavailable):
			lost = true
		}
		if !sleepJittered(ctx, delay) {
			return fmt.Errorf("%w: %w", ErrResultUnknown, ctx.Err())
		}
	}
}

func (dst *Distributor) putOnce(ctx context.Context, value []byte, storeRev int64) error {
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	_, err := dst.opt.Store.Put(ctx, keyCurrent, value, storeRev)
	return err
}

// tookEffect reports whether a write took effect, even if a later write has replaced its value.
func (dst *Distributor) tookEffect(ctx context.Context, cur storedRevision) (bool, error) {
	now, _, err := dst.readCurrent(ctx)
	if err != nil {
		return false, err
	}
	if now.rev <= cur.rev {
		return now.writerID == cur.writerID, nil
	}
	doc, err := dst.readHistory(ctx, cur.rev)
	if errors.Is(err, storer.ErrNotFound) {
		return false, nil
	}
	return doc.writerID == cur.writerID, err
}

// trim deletes entries of the history beyond maxHistory. The current revision is rev.
func (dst *Distributor) trim(ctx context.Context, rev modeler.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	ents, err := dst.opt.Store.List(ctx, prefixHistory, "", maxHistory)
	if err != nil {
		return err
	}
	oldest := historyKey(max(rev-maxHistory, 0))
	for _, ent := range ents {
		if ent.Key >= oldest {
			return nil
		}
		err := dst.opt.Store.Delete(ctx, ent.Key, ent.Revision)
		// A conflict means that another writer has deleted the entry.
		if err != nil && !errors.Is(err, storer.ErrConflict) {
			return err
		}
	}
	return nil
}

// History returns the earlier revisions that the store keeps, oldest first. Error:
// storer.ErrUnavailable.
func (dst *Distributor) History(ctx context.Context) ([]modeler.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	ents, err := dst.opt.Store.List(ctx, prefixHistory, "", 2*maxHistory)
	if err != nil {
		return nil, err
	}
	var revs []modeler.Revision
	for _, ent := range ents {
		if rev, err := strconv.ParseInt(strings.TrimPrefix(ent.Key, prefixHistory), 10, 64); err == nil {
			revs = append(revs, modeler.Revision(rev))
		}
	}
	return revs, nil
}

// Change describes when and by whom a revision was written.
type Change struct {
	Revision modeler.Revision
	// At is zero and Who, the name of the operator, is empty if the revision was stored without them.
	At  time.Time
	Who string
}

// Changes describes the revisions that the store keeps, including the current one, oldest first.
// Error: storer.ErrUnavailable.
func (dst *Distributor) Changes(ctx context.Context) ([]Change, error) {
	cur, _, err := dst.readCurrent(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	var chs []Change
	for after := ""; ; {
		// A list may have fewer entries than the limit; only an empty list is the end.
		ents, err := dst.opt.Store.List(ctx, prefixHistory, after, 2*maxHistory)
		if err != nil {
			return nil, err
		}
		if len(ents) == 0 {
			break
		}
		for _, ent := range ents {
			after = ent.Key
			// Malformed entries are skipped.
			if sr, err := decode(ent.Value); err == nil && sr.rev != cur.rev {
				chs = append(chs, sr.change())
			}
		}
	}
	if cur.rev > 0 {
		chs = append(chs, cur.change())
	}
	return chs, nil
}

// HistoricDocument returns the document of an earlier revision from the store. Errors:
// storer.ErrNotFound and storer.ErrUnavailable.
func (dst *Distributor) HistoricDocument(ctx context.Context, rev modeler.Revision) ([]byte, error) {
	sr, err := dst.readHistory(ctx, rev)
	return sr.doc, err
}

func (dst *Distributor) readHistory(ctx context.Context, rev modeler.Revision) (storedRevision, error) {
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	ent, err := dst.opt.Store.Get(ctx, historyKey(rev))
	if err != nil {
		return storedRevision{}, err
	}
	return decode(ent.Value)
}

// sleepJittered waits for a random time from half the delay to the delay. It returns false when the
// context is cancelled first.
func sleepJittered(ctx context.Context, delay time.Duration) bool {
	return pauser.Sleep(ctx, delay/2+mrand.N(delay/2+1))
}
