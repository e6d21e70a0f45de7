// Package journaler implements a write-ahead log of the decisions of a data centre with a single
// writer. Each segment is created under its own key of the key-value service by a write that fails
// if the key exists, which fences deposed leaders.
//
// An append that returns nil is durable: every later Open returns its records exactly once and in
// order, either in Recovery.Records or covered by Recovery.SnapshotRecords. The records of one
// append are contiguous. An append that returns ErrUnavailable, ErrDeposed or ErrTooLarge was not
// written and never will be. After ErrResultUnknown the records may or may not be in the journal.
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
	// ErrDeposed means that another leader began a later epoch. The records were not written.
	ErrDeposed = errors.New("journal has a later epoch")
	// ErrUnavailable means that the records were not written and never will be.
	ErrUnavailable = errors.New("journal unavailable")
	// ErrResultUnknown means that the records may have been written, or may still be written by a
	// delayed call.
	ErrResultUnknown = errors.New("result of the append is unknown")
	// ErrTooLarge means that the records of one append exceed MaxAppendBytes, or that one record of
	// a snapshot exceeds the size of a part. Nothing was written.
	ErrTooLarge = errors.New("records are too large")
	// ErrDamaged means that a stored segment, snapshot part or pointer is missing or cannot be
	// decoded.
	ErrDamaged = errors.New("journal is damaged")
)

const (
	// MaxAppendBytes bounds the encoded records of one append and of one segment.
	MaxAppendBytes = 512 << 10
	// MinWriteInterval is the minimum time between the starts of two writes of a journal.
	MinWriteInterval = 25 * time.Millisecond
	// MaxRetainedEpochs is the number of epoch records that trimming keeps. The epoch record that
	// follows the last position of a deposed leader makes its next append fail. A deposed leader
	// could append again only if it was paused during this many takeovers.
	MaxRetainedEpochs = 1024
	// maxPartBytes bounds the encoded records of a snapshot part. It is below the value size limit
	// of the store.
	maxPartBytes = 900 << 10
)

// Kind identifies the component that reads a record back during recovery.
type Kind int32

// The kinds of records.
const (
	// KindTask marks records of the batch scheduler.
	KindTask Kind = 1
	// KindKey marks records of idempotency keys of requests.
	KindKey Kind = 2
)

// Record is one decision. The journal does not interpret its data.
type Record struct {
	Kind Kind
	Data []byte
}

// Store is the key-value service. Package storer specifies its methods.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
	List(ctx context.Context, prefix, after string, limit int) ([]storer.Entry, error)
}

// Options configures a journal. Zero fields get their defaults.
type Options struct {
	// DataCentres and WritesPerSecond determine the interval between writes, see WriteInterval.
	// The defaults are 1 and 100.
	DataCentres, WritesPerSecond int
	// RetryTimeout is how long a failed write is retried before its callers get an error. The
	// default is 1 s.
	RetryTimeout time.Duration
	// CallTimeout is the timeout of one call to the store. The default is 5 s. OpenCallTimeout
	// replaces it while Open reads the journal, whose values may be large. The default is
	// CallTimeout.
	CallTimeout, OpenCallTimeout time.Duration
	// MaxBackOff bounds the mean back-off between calls during an outage. The default is 5 s.
	MaxBackOff time.Duration
	// SkipDamaged makes Open pass over segments that cannot be decoded. Their records are lost.
	SkipDamaged bool
	// MayReplace reports whether Open may begin an epoch after the given one, which is the last that it has
	// read, with the process that leads it. It may be nil and is called before each attempt to write.
	MayReplace func(epoch modeler.Epoch, host modeler.HostName, boot modeler.BootID) bool
	// EpochRecords returns the first records of the epoch that Open is about to begin, from all that it has read.
	// They become durable with the epoch: no later Open finds the epoch without them. It may be nil, and is called
	// before each attempt to write. Their size is bounded by MaxAppendBytes.
	EpochRecords func(rec Recovery) []Record
	Logger       logr.Logger
	// Meter may be nil.
	Meter *meter.Registry
}

func (op Options) withDefaults() Options {
	op.DataCentres = orDefault(op.DataCentres, 1)
	op.WritesPerSecond = orDefault(op.WritesPerSecond, modeler.DefaultLimits.WritesPerSecond)
	op.RetryTimeout = orDefault(op.RetryTimeout, time.Second)
	op.CallTimeout = orDefault(op.CallTimeout, 5*time.Second)
	op.OpenCallTimeout = orDefault(op.OpenCallTimeout, op.CallTimeout)
	op.MaxBackOff = orDefault(op.MaxBackOff, 5*time.Second)
	if op.Meter == nil {
		op.Meter = meter.New(nil)
	}
	return op
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// WriteInterval returns the time between two writes of one journal that keeps all data centres
// together within the budget of writes per second. It is at least MinWriteInterval.
func WriteInterval(dataCentres, writesPerSecond int) time.Duration {
	return max(MinWriteInterval, time.Duration(dataCentres)*time.Second/time.Duration(writesPerSecond))
}

// Recovery is the content of a journal at the beginning of an epoch.
type Recovery struct {
	Epoch modeler.Epoch
	// SnapshotRecords holds the records of the current snapshot, in the order in which they were
	// passed to Snapshot.
	SnapshotRecords []Record
	// Records holds the records after the snapshot, in journal order, without those of this epoch.
	Records []Record
	// Position is the position of the epoch record, which is the last one in the journal.
	Position int64
	// SnapshotPosition is the last position that SnapshotRecords covers. It is zero if there is no
	// snapshot.
	SnapshotPosition int64
	// Damaged is the number of segments that were passed over, see Options.SkipDamaged. The epoch of a
	// host that is not known may have begun in one of them.
	Damaged int
	// PreviousEpoch, PreviousHost and PreviousBoot identify the previous leader. They are zero in
	// the first epoch.
	PreviousEpoch modeler.Epoch
	PreviousHost  modeler.HostName
	PreviousBoot  modeler.BootID
	// Appended is the local time at which the epoch record was known to be in the journal. No
	// append of an earlier leader takes effect after it.
	Appended time.Time
}

// Journal appends to the journal of a data centre on behalf of the leader of one epoch. It is safe
// for concurrent use.
type Journal struct {
	store   Store
	keys    keys
	host    modeler.HostName
	boot    modeler.BootID
	epoch   modeler.Epoch
	options Options
	// epochPosition is the position of the epoch's first segment, the epoch record.
	epochPosition int64

	// ctx is the parent of the contexts of all calls to the store. Close cancels it.
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// deposed is closed when a later epoch is found.
	deposed     chan struct{}
	deposedOnce sync.Once

	// position is the last position whose records were written and applied.
	position      atomic.Int64
	writeInterval atomic.Int64

	mu sync.Mutex
	// queue holds the appends and barriers that writeLoop has not taken yet.
	queue []*request
	// wake signals that the queue is not empty. Its capacity is 1.
	wake chan struct{}
	// suspendedUntil is the time until which appends are refused during an outage of the store.
	suspendedUntil time.Time
	// outageBackOff determines how long appends are refused. It is nil while there is no outage.
	outageBackOff *backoff.ExponentialBackOff
	// unresolved is set while the outcome of a write is still unknown after RetryTimeout.
	unresolved bool
	// confirmed is the start of the last call that proved that the epoch is the latest one.
	confirmed time.Time
	closed    bool

	// snapshotSlot is a semaphore that admits one Snapshot at a time. It is not a mutex because a
	// Snapshot waits for the store and its callers have deadlines.
	snapshotSlot chan struct{}
	// trimRequests carries the newest snapshot up to which the journal is trimmed. Its capacity
	// is 1.
	trimRequests chan snapshotPointer
}

// Epoch returns the epoch that Open has begun.
func (jn *Journal) Epoch() modeler.Epoch { return jn.epoch }

// Position returns the last position whose records are durable and applied.
func (jn *Journal) Position() int64 { return jn.position.Load() }

// Deposed returns a channel that is closed when a later epoch is found in the journal.
func (jn *Journal) Deposed() <-chan struct{} { return jn.deposed }

// LastConfirmed returns the local time at which the last successful append or check started. At
// that time the journal contained no later epoch.
func (jn *Journal) LastConfirmed() time.Time {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	return jn.confirmed
}

// SetWriteRate adapts the interval between writes to a new configuration. Both arguments must be
// positive.
func (jn *Journal) SetWriteRate(dataCentres, writesPerSecond int) {
	jn.writeInterval.Store(int64(WriteInterval(dataCentres, writesPerSecond)))
}

// Close stops the writer without appending a record. Queued appends get ErrUnavailable, and those in
// flight ErrResultUnknown.
func (jn *Journal) Close() {
	jn.mu.Lock()
	jn.closed = true
	jn.mu.Unlock()
	jn.cancel()
	jn.goroutines.Wait()
}
