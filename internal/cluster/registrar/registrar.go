// Package registrar maintains the record of an entry host in the key-value store. From it, a new
// process learns whether calls of its predecessor may still be in progress.
package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
)

// ErrReplaced means that a newer process has registered under the same host name. This process
// must take no new work.
var ErrReplaced = errors.New("a newer process has registered under this host name")

// State is the state of a registered process.
type State string

// The states of a registered process.
const (
	// Serving means that calls of the process may be in progress.
	Serving State = "Serving"
	// Drained means that all calls of the process have ended and that it starts no others.
	Drained State = "Drained"
)

// Record is the JSON value of the key Hosts/NAME. Records are never deleted, so a missing record
// means that the host starts for the first time.
type Record struct {
	Boot    modeler.BootID
	Started time.Time
	State   State
	// SettledBase is the oldest configuration revision whose shares may still be in force at
	// another host of the data centre. It is zero when unknown.
	SettledBase modeler.Revision
}

// Store is the part of the key-value service that the registrar uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
}

// Registrar maintains the record of one process. It is safe for concurrent use. Its writes are
// serialised, because the compare-and-swap of one of two concurrent writes would fail as if a newer
// process had registered.
type Registrar struct {
	store Store
	key   string

	mu sync.Mutex
	// record is the last record written, or, before Register, the one to write.
	record Record
	// revision is the store's revision of the key, zero while it does not exist or was not read.
	revision int64
}

// New returns a registrar for one boot of a host. It does not access the store.
func New(st Store, host modeler.HostName, boot modeler.BootID, started time.Time) *Registrar {
	return &Registrar{
		store:  st,
		key:    "Hosts/" + string(host),
		record: Record{Boot: boot, Started: started.UTC().Truncate(time.Millisecond), State: Serving},
	}
}

// Register replaces the predecessor's record by one in the state Serving. It returns the
// predecessor's record, which is nil on the first start of the host. Unless the process waits for
// the end of the predecessor's calls, it must not use its share of any runner before Register has
// returned. Errors: ErrReplaced and those of the store.
func (rg *Registrar) Register(ctx context.Context) (*Record, error) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	previous, err := rg.readRecord(ctx)
	if err != nil {
		return nil, err
	}
	if previous != nil && previous.Boot == rg.record.Boot {
		return nil, fmt.Errorf("boot %s is already registered: %w", rg.record.Boot, ErrReplaced)
	}
	if previous != nil && previous.Started.After(rg.record.Started) {
		return nil, ErrReplaced
	}
	if previous != nil {
		rg.record.SettledBase = previous.SettledBase
	}
	return previous, rg.writeRecord(ctx, rg.record)
}

// SetSettledBase records a new SettledBase. It does nothing before Register or when the record has
// that value already. Errors: ErrReplaced and those of the store.
func (rg *Registrar) SetSettledBase(ctx context.Context, base modeler.Revision) error {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if base == rg.record.SettledBase || rg.revision == 0 {
		return nil
	}
	next := rg.record
	next.SettledBase = base
	return rg.writeRecord(ctx, next)
}

// MarkDrained records that all calls of this process have ended. Errors: ErrReplaced and those of
// the store, of which ErrUnavailable also stands for a process that is not registered.
func (rg *Registrar) MarkDrained(ctx context.Context) error {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if rg.revision == 0 {
		return storer.ErrUnavailable
	}
	next := rg.record
	next.State = Drained
	return rg.writeRecord(ctx, next)
}

func (rg *Registrar) readRecord(ctx context.Context) (*Record, error) {
	ent, err := rg.store.Get(ctx, rg.key)
	if errors.Is(err, storer.ErrNotFound) {
		rg.revision = 0
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	rg.revision = ent.Revision
	rc := new(Record)
	if err := json.Unmarshal(ent.Value, rc); err != nil {
		return nil, fmt.Errorf("decode host record %s: %w", rg.key, err)
	}
	return rc, nil
}

func (rg *Registrar) writeRecord(ctx context.Context, rc Record) error {
	value, err := json.Marshal(rc)
	if err != nil {
		return err
	}
	rev, err := storer.PutResolved(ctx, rg.store, rg.key, value, rg.revision)
	if errors.Is(err, storer.ErrConflict) {
		return ErrReplaced
	}
	if err != nil {
		return err
	}
	rg.record, rg.revision = rc, rev
	return nil
}
