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

// historyLength is the number of revisions that are kept beside the present one.
const historyLength = 100

// Bounds of the delay before a call to the store or a peer is repeated.
const (
	minDelay = 100 * time.Millisecond
	maxDelay = 2 * time.Second
)

// errMalformed means that the store's value has no header or can't be read.
var errMalformed = errors.New("stored configuration is malformed")

// deflatedHeader stands before a document that is stored in the DEFLATE format. The watch of one
// host in each data centre reads every change: 15,000 a day of 70 kB would be 12 kB/s.
const deflatedHeader = "Encoding = deflate\n"

// minDeflated is the size from which documents are deflated, in bytes. Smaller ones stay readable
// in the store.
const minDeflated = 4 << 10

var deflated = deflater.New(flate.BestCompression)

// stored is the value of a revision in the store: header lines and the document.
type stored struct {
	rev modeler.Revision
	// writer is unique for each call of Put. It tells whether a write whose answer was lost has
	// taken effect. Its words are a random token, the time and the operator's name; they share one
	// header line, because processes of earlier versions expect exactly two.
	writer string
	doc    []byte
}

func (sto stored) encode() []byte {
	var bf bytes.Buffer
	fmt.Fprintf(&bf, "Revision = %d\nWriter = %s\n", sto.rev, sto.writer)
	if len(sto.doc) < minDeflated {
		bf.Write(sto.doc)
		return bf.Bytes()
	}
	bf.WriteString(deflatedHeader)
	bf.Write(deflated.Compress(sto.doc))
	return bf.Bytes()
}

func newWriter(who string) string {
	now := time.Now().UTC().Format(time.RFC3339)
	return strings.Join(append([]string{rand.Text(), now}, strings.Fields(who)...), " ")
}

// change describes the revision. A value of an earlier version has neither time nor operator.
func (sto stored) change() Change {
	ch := Change{Revision: sto.rev}
	words := strings.Fields(sto.writer)
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

func decode(value []byte) (stored, error) {
	first, rest, _ := bytes.Cut(value, []byte("\n"))
	second, doc, ok := bytes.Cut(rest, []byte("\n"))
	text, hasRevision := strings.CutPrefix(string(first), "Revision = ")
	writer, hasWriter := strings.CutPrefix(string(second), "Writer = ")
	rev, err := strconv.ParseInt(text, 10, 64)
	if !ok || !hasRevision || !hasWriter || err != nil || rev <= 0 {
		return stored{}, errMalformed
	}
	// A document has a section before its first key, so that it can't begin like the header.
	if packed, ok := bytes.CutPrefix(doc, []byte(deflatedHeader)); ok {
		if doc, err = deflater.Decompress(packed, checker.MaxDocumentBytes+1); err != nil {
			return stored{}, fmt.Errorf("%w: %w", errMalformed, err)
		}
	}
	return stored{rev: modeler.Revision(rev), writer: writer, doc: doc}, nil
}

func historyKey(rev modeler.Revision) string { return fmt.Sprintf("%s%019d", prefixHistory, rev) }

// read returns the configuration in the store and the store's revision of the key. Both are zero
// when the store has none.
func (dst *Distributor) read(ctx context.Context) (stored, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	ent, err := dst.opt.Store.Get(ctx, keyCurrent)
	if errors.Is(err, storer.ErrNotFound) {
		return stored{}, 0, nil
	}
	if err != nil {
		return stored{}, 0, err
	}
	sto, err := decode(ent.Value)
	return sto, ent.Revision, err
}

// Put validates a document and writes it as the successor of the expected revision, which is zero
// for the first one. Errors: ErrConflict, ErrResultUnknown, checker.ErrInvalid and
// storer.ErrUnavailable, which means that nothing was written.
func (dst *Distributor) Put(ctx context.Context, document []byte, expected modeler.Revision) (modeler.Revision, error) {
	return dst.PutAs(ctx, document, expected, "")
}

// PutAs is Put with the name of the operator, which is kept with the revision.
func (dst *Distributor) PutAs(ctx context.Context, document []byte, expected modeler.Revision, who string) (modeler.Revision, error) {
	next, err := checker.Parse(document, expected+1)
	if err != nil {
		return 0, err
	}
	old, at, err := dst.read(ctx)
	if err != nil {
		return 0, fmt.Errorf("%w: read before the change: %w", storer.ErrUnavailable, err)
	}
	// A store that was restored from an old copy has a lower revision than the one in force. The
	// successor has to be above both, or no host would accept it.
	if base := max(old.rev, dst.revision()); base != expected {
		return 0, fmt.Errorf("%w: present revision is %d, expected %d", ErrConflict, base, expected)
	}
	if err := dst.mayFollow(old, next); err != nil {
		return 0, err
	}
	if err := dst.archive(ctx, old); err != nil {
		return 0, fmt.Errorf("%w: history: %w", storer.ErrUnavailable, err)
	}
	cur := stored{rev: expected + 1, writer: newWriter(who), doc: document}
	if err := dst.write(ctx, cur, at); err != nil {
		return 0, err
	}
	// The write is done; a failure to trim leaves entries for the next change to remove.
	_ = dst.trim(ctx, cur.rev)
	// The watch or a peer may have brought the same or a later revision in the meantime.
	if err := dst.offer(offered{doc: document, rev: cur.rev, source: "operator"}); err != nil && !errors.Is(err, ErrLowerRevision) {
		return cur.rev, err
	}
	return cur.rev, nil
}

// mayFollow returns checker.ErrInvalid when a configuration must not follow the present one.
func (dst *Distributor) mayFollow(old stored, next *modeler.Configuration) error {
	cur := dst.Current()
	if cur == nil || cur.Revision < old.rev {
		parsed, err := checker.Parse(old.doc, old.rev)
		if err != nil {
			// There is none, or it cannot be read and so is in force nowhere.
			return nil
		}
		cur = parsed
	}
	return checker.Transition(cur, next)
}

// archive copies the revision that is about to be replaced to the history. Every revision that
// was in force is therefore in Current or in the history, whenever a writer fails.
func (dst *Distributor) archive(ctx context.Context, old stored) error {
	if old.rev == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	_, err := dst.opt.Store.Put(ctx, historyKey(old.rev), old.encode(), 0)
	// A lost answer is resolved by the write that follows: only its success needs the entry, and
	// an entry that exists has the same value.
	if errors.Is(err, storer.ErrResultUnknown) {
		_, err = dst.opt.Store.Put(ctx, historyKey(old.rev), old.encode(), 0)
	}
	if errors.Is(err, storer.ErrConflict) {
		return nil
	}
	return err
}

// write replaces the value at a store revision. A write whose answer was lost may still take
// effect later, so that reading the old value proves nothing: the same write is repeated until it
// succeeds or conflicts.
func (dst *Distributor) write(ctx context.Context, cur stored, at int64) error {
	value := cur.encode()
	lost := false
	for delay := minDelay; ; delay = min(2*delay, maxDelay) {
		err := dst.putOnce(ctx, value, at)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, storer.ErrConflict) && !lost:
			return ErrConflict
		case errors.Is(err, storer.ErrConflict):
			if won, err := dst.wasWritten(ctx, cur); err == nil {
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
		if !pause(ctx, delay) {
			return fmt.Errorf("%w: %w", ErrResultUnknown, ctx.Err())
		}
	}
}

func (dst *Distributor) putOnce(ctx context.Context, value []byte, at int64) error {
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	_, err := dst.opt.Store.Put(ctx, keyCurrent, value, at)
	return err
}

// wasWritten says whether a write took effect, even if a later one has replaced it since.
func (dst *Distributor) wasWritten(ctx context.Context, cur stored) (bool, error) {
	now, _, err := dst.read(ctx)
	if err != nil {
		return false, err
	}
	if now.rev <= cur.rev {
		return now.writer == cur.writer, nil
	}
	doc, err := dst.past(ctx, cur.rev)
	if errors.Is(err, storer.ErrNotFound) {
		return false, nil
	}
	return doc.writer == cur.writer, err
}

// trim removes entries of the history that are too old.
func (dst *Distributor) trim(ctx context.Context, rev modeler.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	ents, err := dst.opt.Store.List(ctx, prefixHistory, "", historyLength)
	if err != nil {
		return err
	}
	oldest := historyKey(max(rev-historyLength, 0))
	for _, ent := range ents {
		if ent.Key >= oldest {
			return nil
		}
		err := dst.opt.Store.Delete(ctx, ent.Key, ent.Revision)
		// A conflict means that another writer has removed the entry.
		if err != nil && !errors.Is(err, storer.ErrConflict) {
			return err
		}
	}
	return nil
}

// History lists the earlier revisions that the store keeps, the oldest first. Errors:
// storer.ErrUnavailable.
func (dst *Distributor) History(ctx context.Context) ([]modeler.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	ents, err := dst.opt.Store.List(ctx, prefixHistory, "", 2*historyLength)
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

// Change tells when a revision was written and by whom.
type Change struct {
	Revision modeler.Revision
	// At is zero and Who is empty for a revision that was written without them.
	At  time.Time
	Who string
}

// Changes lists the revisions that the store keeps, the present one included, the oldest first.
// Errors: storer.ErrUnavailable.
func (dst *Distributor) Changes(ctx context.Context) ([]Change, error) {
	cur, _, err := dst.read(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	var chs []Change
	for after := ""; ; {
		// A list may return fewer entries than asked for; only an empty one is the end.
		ents, err := dst.opt.Store.List(ctx, prefixHistory, after, 2*historyLength)
		if err != nil {
			return nil, err
		}
		if len(ents) == 0 {
			break
		}
		for _, ent := range ents {
			after = ent.Key
			// A malformed entry has no time and operator to show.
			if sto, err := decode(ent.Value); err == nil && sto.rev != cur.rev {
				chs = append(chs, sto.change())
			}
		}
	}
	if cur.rev > 0 {
		chs = append(chs, cur.change())
	}
	return chs, nil
}

// Past returns the document of an earlier revision. Errors: storer.ErrNotFound,
// storer.ErrUnavailable.
func (dst *Distributor) Past(ctx context.Context, rev modeler.Revision) ([]byte, error) {
	sto, err := dst.past(ctx, rev)
	return sto.doc, err
}

func (dst *Distributor) past(ctx context.Context, rev modeler.Revision) (stored, error) {
	ctx, cancel := context.WithTimeout(ctx, dst.opt.Timeout)
	defer cancel()
	ent, err := dst.opt.Store.Get(ctx, historyKey(rev))
	if err != nil {
		return stored{}, err
	}
	return decode(ent.Value)
}

// pause waits for a random time from half the delay to the delay. It returns false when the
// context ends first.
func pause(ctx context.Context, delay time.Duration) bool {
	return pauser.Pause(ctx, delay/2+mrand.N(delay/2+1))
}
