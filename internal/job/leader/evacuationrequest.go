package leader

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/evacuator"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

const (
	// requestCallTimeout bounds a call to the store, so that one without an answer can be followed by a read.
	requestCallTimeout = 1200 * time.Millisecond
	// maxWithdrawAttempts bounds the reads and deletions of a withdrawal.
	maxWithdrawAttempts = 4
	// withdrawPause is the time between two of them.
	withdrawPause = 50 * time.Millisecond
	// maxNamedDataCentres bounds the names in an error.
	maxNamedDataCentres = 32
)

var (
	// ErrInvalidDataCentre means that a data centre's name cannot be stored.
	ErrInvalidDataCentre = errors.New("invalid name of a data centre")
	// ErrNoWorkers means that no registered worker is in a data centre.
	ErrNoWorkers = errors.New("no worker is in the data centre")
)

// EvacuationStore is the part of the key-value service that operators' requests need.
type EvacuationStore interface {
	storer.ReadWriter
	Delete(ctx context.Context, key string, expected int64) error
	Page(ctx context.Context, prefix, after string) (storer.Page, error)
}

// EvacuationRequests stores and deletes operators' requests to evacuate data centres, on any host. It is safe for
// concurrent use.
type EvacuationRequests struct {
	Store       EvacuationStore
	Evacuations Evacuations
	Registry    Registry
}

// Request stores the request to evacuate a data centre unless there is one. Errors: ErrInvalidDataCentre, ErrNoWorkers
// with the data centres that have workers, storer.ErrUnavailable if nothing was changed, storer.ErrResultUnknown.
func (er *EvacuationRequests) Request(ctx context.Context, dc fleet.DataCentreName) (evacuator.Outcome, error) {
	key, err := er.key(dc)
	if err != nil {
		return "", err
	}
	st := boundedStore{er.Store}
	_, err = st.Get(ctx, key)
	switch {
	case err == nil:
		return evacuator.AlreadyRequested, nil
	case !errors.Is(err, storer.ErrNotFound):
		return "", err
	}
	if err := er.checkWorkers(ctx, dc); err != nil {
		return "", err
	}
	// The value tells this write from that of another host.
	_, err = storer.CreateResolved(ctx, st, key, []byte(rand.Text()))
	switch {
	case err == nil:
		return evacuator.Requested, nil
	case errors.Is(err, storer.ErrConflict):
		return evacuator.AlreadyRequested, nil
	}
	return "", err
}

// Withdraw deletes the request to evacuate a data centre if there is one. Errors: ErrInvalidDataCentre,
// storer.ErrUnavailable and storer.ErrConflict if nothing was changed, storer.ErrResultUnknown.
func (er *EvacuationRequests) Withdraw(ctx context.Context, dc fleet.DataCentreName) (evacuator.Outcome, error) {
	key, err := er.key(dc)
	if err != nil {
		return "", err
	}
	st := boundedStore{er.Store}
	// lost is the error of a deletion without an answer, which may still take effect.
	var lost error
	for at := 0; ; at++ {
		en, err := st.Get(ctx, key)
		switch {
		case errors.Is(err, storer.ErrNotFound) && lost == nil:
			return evacuator.NotRequested, nil
		case errors.Is(err, storer.ErrNotFound):
			return evacuator.Withdrawn, nil
		case err == nil:
			err = st.Delete(ctx, key, en.Revision)
		}
		switch {
		case err == nil:
			return evacuator.Withdrawn, nil
		case errors.Is(err, storer.ErrResultUnknown):
			lost = err
		case lost == nil && !errors.Is(err, storer.ErrConflict):
			return "", err
		}
		if at+1 == maxWithdrawAttempts || !pauser.Sleep(ctx, withdrawPause) {
			if lost != nil {
				err = lost
			}
			return "", err
		}
	}
}

func (er *EvacuationRequests) key(dc fleet.DataCentreName) (string, error) {
	if dc == "" {
		return "", fmt.Errorf("%w: no name", ErrInvalidDataCentre)
	}
	key, err := er.Evacuations.Encode(dc)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrInvalidDataCentre, err)
	}
	return key, nil
}

// checkWorkers returns an error unless a worker is registered in a data centre. The registry is read, as only the leader
// holds it. Errors: ErrNoWorkers, storer.ErrUnavailable.
func (er *EvacuationRequests) checkWorkers(ctx context.Context, dc fleet.DataCentreName) error {
	st := boundedStore{er.Store}
	others := map[fleet.DataCentreName]bool{}
	for after := ""; ; {
		page, err := st.Page(ctx, er.Registry.Prefix, after)
		if err != nil {
			return err
		}
		for _, en := range page.Entries {
			// The leader reports entries that are invalid.
			wk, err := er.Registry.Decode(en)
			if err == nil && wk.DataCentre == dc {
				return nil
			}
			if err == nil && wk.DataCentre != "" {
				others[wk.DataCentre] = true
			}
		}
		if !page.More || len(page.Entries) == 0 {
			break
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
	names := slices.Sorted(maps.Keys(others))
	more := ""
	if len(names) > maxNamedDataCentres {
		names, more = names[:maxNamedDataCentres], fmt.Sprintf(" and %d more", len(others)-maxNamedDataCentres)
	}
	return fmt.Errorf("%w %q; workers are in %q%s", ErrNoWorkers, dc, names, more)
}

// boundedStore bounds each call by requestCallTimeout.
type boundedStore struct{ store EvacuationStore }

// Get implements EvacuationStore.
func (bs boundedStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, requestCallTimeout)
	defer cancel()
	return bs.store.Get(ctx, key)
}

// Put implements EvacuationStore.
func (bs boundedStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, requestCallTimeout)
	defer cancel()
	return bs.store.Put(ctx, key, value, expected)
}

// Delete implements EvacuationStore.
func (bs boundedStore) Delete(ctx context.Context, key string, expected int64) error {
	ctx, cancel := context.WithTimeout(ctx, requestCallTimeout)
	defer cancel()
	return bs.store.Delete(ctx, key, expected)
}

// Page implements EvacuationStore.
func (bs boundedStore) Page(ctx context.Context, prefix, after string) (storer.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, requestCallTimeout)
	defer cancel()
	return bs.store.Page(ctx, prefix, after)
}
