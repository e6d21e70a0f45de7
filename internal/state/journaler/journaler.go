// Package journaler keeps the durable decisions of a data centre in a fenced journal: segments
// that are each created once in the key-value service, so that at most one leader can append.
//
// An append that returns nil is in the journal for good: every later Open returns its records
// exactly once and in order, among Recovery.Records or covered by Recovery.Parts. The records of
// one append stand together. An append that returns ErrUnavailable, ErrDeposed or ErrTooLarge is
// not in the journal and never will be. Only ErrResultUnknown leaves that open.
package journaler

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Errors of a journal. Callers test for them with errors.Is.
var (
	// ErrDeposed means that another leader has begun a later epoch. The records were not written.
	ErrDeposed = errors.New("journal has a later epoch")
	// ErrUnavailable means that the records were not written and never will be.
	ErrUnavailable = errors.New("journal unavailable")
	// ErrResultUnknown means that the records may be in the journal or may still get there.
	ErrResultUnknown = errors.New("result of the append is unknown")
	// ErrTooLarge means that the records of one append, or one record of a snapshot, exceed
	// MaxAppendBytes. Nothing was written.
	ErrTooLarge = errors.New("records are too large")
	// ErrDamaged means that a stored document cannot be decoded or is missing.
	ErrDamaged = errors.New("journal is damaged")
)

const (
	// MaxAppendBytes bounds the encoded records of one append and of one segment.
	MaxAppendBytes = 512 << 10
	// MinInterval is the least time between the beginnings of two writes of a journal.
	MinInterval = 25 * time.Millisecond
	// KeptEpochs is the number of epoch records that trimming keeps. A deposed leader is stopped
	// by the epoch record behind its last position. It could append again only after it was
	// paused for as many takeovers.
	KeptEpochs = 1024
	// maxPartBytes bounds the encoded records of a snapshot part, below the limit of the store.
	maxPartBytes = 900 << 10
)

// Kind names the consumer of a record.
type Kind int32

// The consumers of records.
const (
	// KindTask marks records of the batch scheduler.
	KindTask Kind = 1
	// KindKey marks records of request keys.
	KindKey Kind = 2
)

// Record is one decision, opaque to the journal.
type Record struct {
	Kind Kind
	Data []byte
}

// Store is the key-value service, see package storer.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
	List(ctx context.Context, prefix, after string, limit int) ([]storer.Entry, error)
}

// Options tunes a journal. The zero value is usable.
type Options struct {
	// DataCentres and WritesPerSecond determine the interval between writes. The defaults are 1
	// and 100.
	DataCentres, WritesPerSecond int
	// RetryLimit is the time for which a write is repeated before its callers get an error. The
	// default is 1 s.
	RetryLimit time.Duration
	// CallLimit bounds one call to the store. The default is 5 s. OpenCallLimit takes its place while Open
	// reads the journal, which may be long. The default is CallLimit.
	CallLimit, OpenCallLimit time.Duration
	// MaxBackOff bounds the mean pause between calls during an outage. The default is 5 s.
	MaxBackOff time.Duration
	Logger     logr.Logger
	// Meter may be nil.
	Meter *meter.Registry
}

func (op Options) withDefaults() Options {
	op.DataCentres = orDefault(op.DataCentres, 1)
	op.WritesPerSecond = orDefault(op.WritesPerSecond, modeler.DefaultLimits.WritesPerSecond)
	op.RetryLimit = orDefault(op.RetryLimit, time.Second)
	op.CallLimit = orDefault(op.CallLimit, 5*time.Second)
	op.OpenCallLimit = orDefault(op.OpenCallLimit, op.CallLimit)
	op.MaxBackOff = orDefault(op.MaxBackOff, 5*time.Second)
	if op.Meter == nil {
		op.Meter = meter.New(nil)
	}
	return op
}

func orDefault[T int | time.Duration](value, otherwise T) T {
	if value <= 0 {
		return otherwise
	}
	return value
}

// Interval returns the time between two writes of one journal such that all data centres together
// stay within the budget of writes a second.
func Interval(dataCentres, writesPerSecond int) time.Duration {
	return max(MinInterval, time.Duration(dataCentres)*time.Second/time.Duration(writesPerSecond))
}

// Recovery is the state of a journal at the beginning of an epoch.
type Recovery struct {
	Epoch modeler.Epoch
	// Parts holds the records of the newest snapshot in the order they were given to Snapshot.
	Parts []Record
	// Records holds the records behind the snapshot in the order of the journal.
	Records []Record
	// Position is the position of the epoch record, which is the last one.
	Position int64
	// SnapshotPosition is the last position that Parts covers, zero without a snapshot.
	SnapshotPosition int64
	// PreviousEpoch, PreviousHost and PreviousBoot tell the leader before. They are empty in the
	// first epoch.
	PreviousEpoch modeler.Epoch
	PreviousHost  modeler.HostName
	PreviousBoot  modeler.BootID
	// Appended is the local time at which the epoch record was known to be in the journal. No
	// append of an earlier leader began to take effect after it.
	Appended time.Time
}

// Journal is the journal of a data centre as written by the leader of one epoch. It is safe for
// concurrent use.
type Journal struct {
	store   Store
	keys    keys
	host    modeler.HostName
	boot    modeler.BootID
	epoch   modeler.Epoch
	options Options
	// begun is the position of the epoch record.
	begun int64

	// ctx ends with Close. It bounds all calls to the store.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// deposed is closed once a later epoch was seen.
	deposed     chan struct{}
	deposedOnce sync.Once

	// position is the last position whose records were written and applied.
	position atomic.Int64
	interval atomic.Int64

	mu sync.Mutex
	// queue holds the appends and calls that the writer has not taken yet.
	queue []*request
	// wake has room for one signal that the queue is not empty.
	wake chan struct{}
	// suspended is the time until which appends are refused during an outage, outage the back-off
	// of the present outage, nil without one.
	suspended time.Time
	outage    *backoff.ExponentialBackOff
	// unresolved is set while the fate of a write is not known after RetryLimit.
	unresolved bool
	// confirmed is the beginning of the last call that proved that the epoch is the latest.
	confirmed time.Time
	closed    bool

	// snapshotting has room for one and is full while a Snapshot runs. It is no mutex because a
	// Snapshot waits for the store and its callers have deadlines.
	snapshotting chan struct{}
	// trims carries the newest position below which segments are deleted. It has room for one.
	trims chan pointer
}

// Epoch returns the epoch that Open began.
func (jn *Journal) Epoch() modeler.Epoch { return jn.epoch }

// Position returns the last position whose records are durable and whose apply functions have
// returned.
func (jn *Journal) Position() int64 { return jn.position.Load() }

// Deposed is closed once a later epoch was seen in the journal.
func (jn *Journal) Deposed() <-chan struct{} { return jn.deposed }

// Confirmed returns the local time at which the last successful append or check began. At that
// time no later epoch was in the journal.
func (jn *Journal) Confirmed() time.Time {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	return jn.confirmed
}

// SetBudget changes the interval between writes to that of a new configuration. Both numbers are
// positive.
func (jn *Journal) SetBudget(dataCentres, writesPerSecond int) {
	jn.interval.Store(int64(Interval(dataCentres, writesPerSecond)))
}

// Close ends the journal without a record of it. Appends that are not in flight get
// ErrUnavailable, the others ErrResultUnknown.
func (jn *Journal) Close() {
	jn.mu.Lock()
	jn.closed = true
	jn.mu.Unlock()
	jn.cancel()
	jn.tasks.Wait()
}
