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
	// maxPartBytes keeps a part below storer.MaxValueBytes.
	maxPartBytes = 900_000
	// maxInlineBytes is the largest compressed plan that is stored in its head. Leaders and pages of hours read
	// the head every few seconds, so it must stay small.
	maxInlineBytes = 64 << 10
	// maxPlanBytes bounds the memory for a plan that is read from the store.
	maxPlanBytes = 256 << 20
	// maxReadAttempts bounds the reads of a plan that is replaced while it is read.
	maxReadAttempts = 3
)

// head is the document Plan/DAY. A plan of more than one part has its parts under
// Plan/DAY/DIGEST/NUMBER, which are written first and never changed, so that the head alone decides
// which plan is in force. 200,000 jobs do not fit into one value of the store.
type head struct {
	Day      string
	Exported time.Time
	// Operation is unique to one import, so that a head that is read back proves its write.
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
	if bf.Len() <= maxInlineBytes {
		hd.Data = bf.Bytes()
		return hd, nil, nil
	}
	var parts [][]byte
	for bf.Len() > 0 {
		parts = append(parts, bytes.Clone(bf.Next(maxPartBytes)))
	}
	hd.Parts = len(parts)
	return hd, parts, nil
}

// decode returns the plan of compressed data. It returns ErrDocument when the data does not have the
// digest of the head or is not a plan.
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

// stored is a plan read from the store. If the day has none, plan and head are nil and revision is
// zero.
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

// load reads the plan in force for a day. It returns the cached plan if its revision is the same.
func load(ctx context.Context, st Store, day string, cached stored) (stored, error) {
	var err error
	for range maxReadAttempts {
		var sd stored
		sd, err = loadOnce(ctx, st, day, cached)
		// A missing part means that the plan was replaced since its head was read.
		if !errors.Is(err, storer.ErrNotFound) {
			return sd, err
		}
	}
	return stored{}, fmt.Errorf("%w: parts of the plan of %s: %w", ErrDocument, day, err)
}

func loadOnce(ctx context.Context, st Store, day string, cached stored) (stored, error) {
	sd, err := loadHead(ctx, st, day)
	if err != nil || sd.head == nil {
		return sd, err
	}
	if cached.plan != nil && cached.revision == sd.revision {
		return cached, nil
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

// save puts a plan in force if the plan that it replaces still is.
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

// removeParts deletes the parts of a plan that was replaced. The plan cannot come into force again,
// because it was exported earlier. A part that is not deleted only takes space.
func removeParts(ctx context.Context, st Store, hd *head) {
	for num := range hd.Parts {
		ent, err := st.Get(ctx, hd.partKey(num))
		if err == nil {
			_ = st.Delete(ctx, ent.Key, ent.Revision)
		}
	}
}
