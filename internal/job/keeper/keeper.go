// Package keeper holds what must outlive all entry hosts: accepted jobs and cancellations under
// keys of their own, and facts about tasks in the leaders' journal.
package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// Prefix is that of all keys of jobs. A watch on it sees submissions and cancellations.
const Prefix = "Jobs/"

const (
	submittedPrefix = Prefix + "Submitted/"
	cancelledPrefix = Prefix + "Cancelled/"
)

// ErrDamaged means that a stored document cannot be decoded.
var ErrDamaged = errors.New("stored job is damaged")

// Store is the key-value service, see package storer.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
}

// JobStore reads and writes jobs. It is safe for concurrent use.
type JobStore struct {
	store Store
}

// NewJobStore returns the jobs in the store.
func NewJobStore(st Store) *JobStore { return &JobStore{st} }

// Submit stores a job. A job that is stored already stays as it is, whoever wrote it, so Submit may
// be repeated. Errors: storer.ErrUnavailable (not stored by this call), storer.ErrResultUnknown,
// storer.ErrTooLarge.
func (js *JobStore) Submit(ctx context.Context, jb *modeler.Job) error {
	value, err := Encode(jb)
	if err != nil {
		return err
	}
	_, err = js.store.Put(ctx, submittedPrefix+string(jb.ID), value, 0)
	if errors.Is(err, storer.ErrConflict) {
		return nil
	}
	return err
}

// Load returns a stored job. Errors: storer.ErrNotFound, storer.ErrUnavailable, ErrDamaged.
func (js *JobStore) Load(ctx context.Context, id modeler.JobID) (*modeler.Job, error) {
	en, err := js.store.Get(ctx, submittedPrefix+string(id))
	if err != nil {
		return nil, err
	}
	return Decode(en.Value)
}

// Cancel stores that a job is cancelled. It may be repeated. Errors are those of Submit.
func (js *JobStore) Cancel(ctx context.Context, id modeler.JobID) error {
	_, err := js.store.Put(ctx, cancelledPrefix+string(id), []byte("{}"), 0)
	if errors.Is(err, storer.ErrConflict) {
		return nil
	}
	return err
}

// Cancelled reports whether a cancellation is stored. Errors: storer.ErrUnavailable.
func (js *JobStore) Cancelled(ctx context.Context, id modeler.JobID) (bool, error) {
	_, err := js.store.Get(ctx, cancelledPrefix+string(id))
	if errors.Is(err, storer.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// Delete removes a job and its cancellation. The job goes last, so that a cancelled job is never
// found without its cancellation.
func (js *JobStore) Delete(ctx context.Context, id modeler.JobID) error {
	for _, key := range [...]string{cancelledPrefix + string(id), submittedPrefix + string(id)} {
		en, err := js.store.Get(ctx, key)
		if errors.Is(err, storer.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		if err := js.store.Delete(ctx, key, en.Revision); err != nil {
			return err
		}
	}
	return nil
}

// Change is one stored change of a job.
type Change struct {
	ID modeler.JobID
	// Job is nil for a cancellation.
	Job *modeler.Job
}

// ParseChange decodes an entry under Prefix. Deleted entries give no change. Errors: ErrDamaged.
func ParseChange(en storer.Entry) (Change, bool, error) {
	if en.Deleted {
		return Change{}, false, nil
	}
	if id, ok := strings.CutPrefix(en.Key, cancelledPrefix); ok {
		return Change{ID: modeler.JobID(id)}, true, nil
	}
	id, ok := strings.CutPrefix(en.Key, submittedPrefix)
	if !ok {
		return Change{}, false, fmt.Errorf("%w: key %q", ErrDamaged, en.Key)
	}
	jb, err := Decode(en.Value)
	if err != nil {
		return Change{}, false, fmt.Errorf("key %q: %w", en.Key, err)
	}
	return Change{ID: modeler.JobID(id), Job: jb}, true, nil
}

// Encode returns the stored form of a job.
func Encode(jb *modeler.Job) ([]byte, error) { return json.Marshal(jb) }

// Decode is the inverse of Encode. Errors: ErrDamaged.
func Decode(value []byte) (*modeler.Job, error) {
	jb := new(modeler.Job)
	if err := json.Unmarshal(value, jb); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if err := jb.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return jb, nil
}
