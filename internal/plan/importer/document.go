package importer

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// Store is the part of the key-value service that the importer uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
}

const (
	// partBytes keeps a part below storer.MaxValueBytes.
	partBytes = 900_000
	// inlineBytes is the largest plan that is kept in its head. Leaders and pages of hours read
	// the head every few seconds, so it must stay small.
	inlineBytes = 64 << 10
	// maxPlanBytes bounds the memory for a plan that is read from the store.
	maxPlanBytes = 256 << 20
	// readAttempts bounds the reads of a plan that is replaced while it is read.
	readAttempts = 3
)

// head is the document Plan/DAY. A plan of more than one part has its parts under
// Plan/DAY/DIGEST/NUMBER, which are written first and never changed, so that the head alone decides
// which plan is in force. 200,000 jobs do not fit into one value of the store.
type head struct {
	Day      string
	Exported time.Time
	// Operation is unique to one import, so that reading it back proves the write.
	Operation string
	// Digest is the SHA-256 of the compressed plan.
	Digest string
	// TimeZone, Services and Pauses are those of the plan. The pages of hours need no more.
	TimeZone string
	Services []Service
	Pauses   []Pause
	// Parts counts the documents beside the head. It is zero when Data has the plan.
	Parts int
	// Data is the compressed plan, if it fits.
	Data []byte `json:",omitempty"`
}

func headKey(day string) string { return "Plan/" + day }

func (hd *head) partKey(number int) string {
	return fmt.Sprintf("Plan/%s/%s/%04d", hd.Day, hd.Digest, number)
}

// encode returns the head for a plan and its parts.
func encode(pl *Plan) (*head, [][]byte, error) {
	var bf bytes.Buffer
	zw := gzip.NewWriter(&bf)
	if err := json.NewEncoder(zw).Encode(pl); err != nil {
		return nil, nil, err
	}
	if err := zw.Close(); err != nil {
		return nil, nil, err
	}
	sum := sha256.Sum256(bf.Bytes())
	hd := &head{
		Day: pl.Day, Exported: pl.Exported, Operation: rand.Text(), Digest: hex.EncodeToString(sum[:]),
		TimeZone: pl.TimeZone, Services: pl.Services, Pauses: pl.Pauses,
	}
	if bf.Len() <= inlineBytes {
		hd.Data = bf.Bytes()
		return hd, nil, nil
	}
	var parts [][]byte
	for bf.Len() > 0 {
		parts = append(parts, bytes.Clone(bf.Next(partBytes)))
	}
	hd.Parts = len(parts)
	return hd, parts, nil
}

// decode returns the plan of a compressed document. It returns ErrDocument when the document is
// not the one that the head describes.
func (hd *head) decode(data []byte) (*Plan, error) {
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != hd.Digest {
		return nil, fmt.Errorf("%w: digest of the plan of %s differs", ErrDocument, hd.Day)
	}
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDocument, err)
	}
	var pl Plan
	if err := json.NewDecoder(io.LimitReader(zr, maxPlanBytes)).Decode(&pl); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDocument, err)
	}
	return &pl, nil
}

// stored is a plan as the store has it. Without one, plan is nil and revision zero.
type stored struct {
	plan     *Plan
	head     *head
	revision int64
}

// loadHead reads the head of the plan in force for a day.
func loadHead(ctx context.Context, st Store, day string) (stored, error) {
	ent, err := st.Get(ctx, headKey(day))
	if errors.Is(err, storer.ErrNotFound) {
		return stored{}, nil
	}
	if err != nil {
		return stored{}, err
	}
	var hd head
	if err := json.Unmarshal(ent.Value, &hd); err != nil || hd.Day != day {
		return stored{}, fmt.Errorf("%w: %s is not a plan", ErrDocument, ent.Key)
	}
	return stored{head: &hd, revision: ent.Revision}, nil
}

// load reads the plan in force for a day. The plan that is known already is not read again.
func load(ctx context.Context, st Store, day string, known stored) (stored, error) {
	var err error
	for range readAttempts {
		var sd stored
		sd, err = loadOnce(ctx, st, day, known)
		// A missing part means that the plan was replaced since its head was read.
		if !errors.Is(err, storer.ErrNotFound) {
			return sd, err
		}
	}
	return stored{}, fmt.Errorf("%w: parts of the plan of %s: %w", ErrDocument, day, err)
}

func loadOnce(ctx context.Context, st Store, day string, known stored) (stored, error) {
	sd, err := loadHead(ctx, st, day)
	if err != nil || sd.head == nil {
		return sd, err
	}
	if known.plan != nil && known.revision == sd.revision {
		return known, nil
	}
	data := sd.head.Data
	for num := range sd.head.Parts {
		part, err := st.Get(ctx, sd.head.partKey(num))
		if err != nil {
			return stored{}, err
		}
		data = append(data, part.Value...)
	}
	sd.plan, err = sd.head.decode(data)
	return sd, err
}

// save makes a plan the one in force, if the plan that it replaces is still in force.
func save(ctx context.Context, st Store, pl *Plan, replaces stored) (int64, error) {
	hd, parts, err := encode(pl)
	if err != nil {
		return 0, err
	}
	for num, part := range parts {
		_, err := storer.CreateResolved(ctx, st, hd.partKey(num), part)
		// The key contains the digest, so an existing part has the same content.
		if err != nil && !errors.Is(err, storer.ErrConflict) {
			return 0, err
		}
	}
	doc, err := json.Marshal(hd)
	if err != nil {
		return 0, err
	}
	rev, err := storer.PutResolved(ctx, st, headKey(pl.Day), doc, replaces.revision)
	if err == nil && replaces.head != nil && replaces.head.Digest != hd.Digest {
		removeParts(ctx, st, replaces.head)
	}
	return rev, err
}

// removeParts deletes the parts of a plan that was replaced. It cannot come back, because its
// time of export is older. A part that stays only takes space.
func removeParts(ctx context.Context, st Store, hd *head) {
	for num := range hd.Parts {
		ent, err := st.Get(ctx, hd.partKey(num))
		if err == nil {
			_ = st.Delete(ctx, ent.Key, ent.Revision)
		}
	}
}
