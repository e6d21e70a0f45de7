// Package registrar keeps the record of an entry host in the store. It tells a new process whether
// calls of its predecessor may still be in progress.
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

// State says whether a process may have calls in progress.
type State string

// The states of a registered process.
const (
	// Serving means that calls of the process may be in progress.
	Serving State = "Serving"
	// Drained means that the process has ended and all its calls have ended before.
	Drained State = "Drained"
)

// Record is the value of the key Hosts/NAME. Records are never deleted, so that a missing one
// means a first start.
type Record struct {
	Boot    modeler.BootID
	Started time.Time
	State   State
	// SettledBase is the oldest revision of the configuration whose shares may still be in force
	// at another host of the data centre; zero when it is unknown.
	SettledBase modeler.Revision
}

// Store is the part of the key-value service that the registrar uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
}

// Registrar writes the record of one process. It is safe for concurrent use; writes wait for each
// other, since two at a time would take each other for a newer process.
type Registrar struct {
	store Store
	key   string

	mu sync.Mutex
	// record is what this process has written or will write next.
	record Record
	// revision is that of the key in the store.
	revision int64
}

// New returns a registrar for one process lifetime of a host. Nothing is written before Register.
func New(st Store, host modeler.HostName, boot modeler.BootID, started time.Time) *Registrar {
	return &Registrar{
		store:  st,
		key:    "Hosts/" + string(host),
		record: Record{Boot: boot, Started: started.UTC().Truncate(time.Millisecond), State: Serving},
	}
}

// Register replaces the predecessor's record by one in the state Serving and returns the
// predecessor's, which is nil on a first start. The process must not use its share of any runner
// before Register has returned, unless it waits for the end of the predecessor's calls. Errors:
// ErrReplaced and those of the store.
func (rg *Registrar) Register(ctx context.Context) (*Record, error) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	previous, err := rg.read(ctx)
	if err != nil {
		return nil, err
	}
	if previous != nil && previous.Boot == rg.record.Boot {
		return nil, fmt.Errorf("boot %s is registered already: %w", rg.record.Boot, ErrReplaced)
	}
	if previous != nil && previous.Started.After(rg.record.Started) {
		return nil, ErrReplaced
	}
	if previous != nil {
		rg.record.SettledBase = previous.SettledBase
	}
	return previous, rg.write(ctx, rg.record)
}

// Settle records the oldest revision whose shares may still be in force elsewhere. It does not
// write when the record has it already. Errors: ErrReplaced and those of the store.
func (rg *Registrar) Settle(ctx context.Context, base modeler.Revision) error {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if base == rg.record.SettledBase || rg.revision == 0 {
		return nil
	}
	next := rg.record
	next.SettledBase = base
	return rg.write(ctx, next)
}

// Drain records that all calls of this process have ended. Errors: ErrReplaced and those of the
// store.
func (rg *Registrar) Drain(ctx context.Context) error {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if rg.revision == 0 {
		return storer.ErrUnavailable
	}
	next := rg.record
	next.State = Drained
	return rg.write(ctx, next)
}

func (rg *Registrar) read(ctx context.Context) (*Record, error) {
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
		return nil, fmt.Errorf("record of %s: %w", rg.key, err)
	}
	return rc, nil
}

func (rg *Registrar) write(ctx context.Context, rc Record) error {
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
