// Package keeper defines the data that must survive the loss of all entry hosts: accepted jobs and
// cancellations, each under its own key, and facts, which leaders record in their journal.
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

// KeyPrefix is the prefix of the keys of jobs and cancellations. A watch of it returns both.
const KeyPrefix = "Jobs/"

const (
	submittedPrefix = KeyPrefix + "Submitted/"
	cancelledPrefix = KeyPrefix + "Cancelled/"
)

// ErrDamaged means that the document of a job or the record of a fact cannot be decoded.
var ErrDamaged = errors.New("stored job is damaged")

// Store is the part of the key-value service that JobStore needs, see package storer.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
}

// JobStore reads and writes jobs and cancellations. It is safe for concurrent use.
type JobStore struct {
	store Store
}

// NewJobStore returns a JobStore in the key-value service.
func NewJobStore(st Store) *JobStore { return &JobStore{st} }

// Submit stores a job. It is idempotent: a job that is already stored under the same ID stays as it
// is, whoever wrote it. Errors: storer.ErrUnavailable (this call stored nothing),
// storer.ErrResultUnknown, storer.ErrTooLarge.
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
	jb, err := Decode(en.Value)
	if err != nil {
		return nil, err
	}
	if jb.ID != id {
		return nil, fmt.Errorf("%w: key of job %q holds job %q", ErrDamaged, id, jb.ID)
	}
	return jb, nil
}

// Cancel stores the cancellation of a job. It is idempotent. Errors: those of Submit.
func (js *JobStore) Cancel(ctx context.Context, id modeler.JobID) error {
	_, err := js.store.Put(ctx, cancelledPrefix+string(id), []byte("{}"), 0)
	if errors.Is(err, storer.ErrConflict) {
		return nil
	}
	return err
}

// Cancelled reports whether a cancellation of the job is stored. Errors: storer.ErrUnavailable.
func (js *JobStore) Cancelled(ctx context.Context, id modeler.JobID) (bool, error) {
	_, err := js.store.Get(ctx, cancelledPrefix+string(id))
	if errors.Is(err, storer.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// Delete deletes a job and its cancellation, whichever are stored. It deletes the job first, so that a
// cancelled job is never found without its cancellation. Errors: those of the key-value service.
func (js *JobStore) Delete(ctx context.Context, id modeler.JobID) error {
	for _, key := range [...]string{submittedPrefix + string(id), cancelledPrefix + string(id)} {
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

// Change is a submission or a cancellation of a job.
type Change struct {
	ID modeler.JobID
	// Job is the submitted job, or nil for a cancellation.
	Job *modeler.Job
}

// ParseChange decodes an entry under KeyPrefix. It returns false for a deleted entry. Errors:
// ErrDamaged, also for a job under the key of another.
func ParseChange(en storer.Entry) (Change, bool, error) {
	if en.Deleted {
		return Change{}, false, nil
	}
	if name, ok := strings.CutPrefix(en.Key, cancelledPrefix); ok {
		id := modeler.JobID(name)
		if err := id.Check(); err != nil {
			return Change{}, false, fmt.Errorf("%w: key %q: %w", ErrDamaged, en.Key, err)
		}
		return Change{ID: id}, true, nil
	}
	name, ok := strings.CutPrefix(en.Key, submittedPrefix)
	if !ok {
		return Change{}, false, fmt.Errorf("%w: key %q", ErrDamaged, en.Key)
	}
	jb, err := Decode(en.Value)
	if err != nil {
		return Change{}, false, fmt.Errorf("key %q: %w", en.Key, err)
	}
	if jb.ID != modeler.JobID(name) {
		return Change{}, false, fmt.Errorf("%w: key %q holds job %q", ErrDamaged, en.Key, jb.ID)
	}
	return Change{ID: jb.ID, Job: jb}, true, nil
}

// Encode returns the document of a job, as it is stored and sent between hosts.
func Encode(jb *modeler.Job) ([]byte, error) { return json.Marshal(jb) }

// Decode returns the job of a document that Encode returned. Errors: ErrDamaged, also if the job is
// not valid.
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
