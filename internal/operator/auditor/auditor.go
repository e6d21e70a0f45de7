package auditor

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Store is the part of the key-value service that the auditor uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
	List(ctx context.Context, prefix, after string, limit int) ([]storer.Entry, error)
}

const (
	// MaxSegmentBytes bounds the encoded size of a segment.
	MaxSegmentBytes = 512 << 10
	// segmentOverheadBytes is reserved in a segment for the fields around the records.
	segmentOverheadBytes = 1 << 10
	// writeInterval limits one host to 10 writes per second. Records of one interval are written in
	// one segment.
	writeInterval = 100 * time.Millisecond
	// writeTimeout bounds the time that a command waits for its record.
	writeTimeout = 5 * time.Second
	// retryInterval is the time between attempts to write delayed outcomes.
	retryInterval = 5 * time.Second
	// maxPending bounds the number of records that wait to be written.
	maxPending = 4096
	// maxDelayed bounds the number of outcomes kept for a retry after their write failed.
	maxDelayed = 4096
	// finalWriteTimeout bounds the time to write the pending records when the process ends.
	finalWriteTimeout = 2 * time.Second
)

// Auditor writes the audit trail of one process. It is safe for concurrent use.
type Auditor struct {
	host  modeler.HostName
	boot  modeler.BootID
	store Store
	lg    logr.Logger
	mt    *meter.Registry

	// wake holds one element when records are pending.
	wake chan struct{}

	mu sync.Mutex
	// pending has the records to write, the oldest first: at most maxPending, and beyond them
	// retries of delayed outcomes. Guarded by mu.
	pending []*pendingRecord
	// delayed has outcomes of executed commands whose write failed. When it has maxDelayed, further
	// ones are dropped and logged. Guarded by mu.
	delayed []Record
	// stopped is set when Run ends; further records are refused. Guarded by mu.
	stopped bool

	// Only Run uses the fields below.

	// segmentDay is the day of the last segment, and nextNumber the number of the next one. They
	// are zero until segments are listed for the first time.
	segmentDay string
	nextNumber int64
	operation  int64
}

// pendingRecord is a record that was not written yet.
type pendingRecord struct {
	day  string
	data []byte
	// done receives the result of the write. It is buffered, so that the writer never blocks.
	done chan error
}

// New returns an auditor for one boot of a host. Run writes the records.
func New(host modeler.HostName, boot modeler.BootID, st Store, lg logr.Logger, mt *meter.Registry) *Auditor {
	return &Auditor{host: host, boot: boot, store: st, lg: lg, mt: mt, wake: make(chan struct{}, 1)}
}

// Command is a command whose begin has been recorded.
type Command struct {
	au *Auditor
	rc Record
}

// Begin records that a command is about to be executed. It sets ID, Time and Result of the record.
// It returns ErrNotRecorded when the record cannot be written; the caller must then refuse the
// command.
func (au *Auditor) Begin(ctx context.Context, rc Record) (*Command, error) {
	rc.ID = rand.Text()
	rc.Time = time.Now()
	rc.Result = Begun
	if err := au.append(ctx, rc); err != nil {
		return nil, err
	}
	return &Command{au: au, rc: rc}, nil
}

// Refuse records a command that was refused before its execution. It returns ErrNotRecorded when
// the record cannot be written.
func (au *Auditor) Refuse(ctx context.Context, rc Record) error {
	rc.ID = rand.Text()
	rc.Time = time.Now()
	rc.Result = Refused
	return au.append(ctx, rc)
}

// Outcome is the outcome of a command that had begun.
type Outcome struct {
	Result Result
	// Subject replaces the subject given to Begin unless it is empty, for subjects that are known
	// only after execution.
	Subject       string
	Before, After int64
	// Reason replaces the reason given to Begin unless it is empty.
	Reason string
}

// End records the outcome of a command. As the command has been executed, an outcome that cannot be
// written is kept and written later. End waits for the store for at most writeTimeout, also when
// ctx has ended because the operator disconnected.
func (cm *Command) End(ctx context.Context, oc Outcome) {
	rc := cm.rc
	rc.Time = time.Now()
	rc.Result, rc.Before, rc.After = oc.Result, oc.Before, oc.After
	rc.Subject = cmp.Or(oc.Subject, rc.Subject)
	rc.Reason = cmp.Or(oc.Reason, rc.Reason)
	if err := cm.au.append(context.WithoutCancel(ctx), rc); err != nil {
		cm.au.delay(rc, err)
	}
}

// append returns when the record is durable, or ErrNotRecorded.
func (au *Auditor) append(ctx context.Context, rc Record) error {
	rc = rc.truncated()
	data, err := json.Marshal(rc)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotRecorded, err)
	}
	ctx, stop := context.WithTimeout(ctx, writeTimeout)
	defer stop()
	pr := &pendingRecord{day: rc.Time.Format(dayLayout), data: data, done: make(chan error, 1)}
	if err := au.enqueue(pr); err != nil {
		return err
	}
	select {
	case err = <-pr.done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		return nil
	}
	au.mt.Add(meter.AuditFailures, 1)
	return fmt.Errorf("%w: %w", ErrNotRecorded, err)
}

func (au *Auditor) enqueue(pr *pendingRecord) error {
	au.mu.Lock()
	defer au.mu.Unlock()
	if au.stopped {
		return fmt.Errorf("%w: the process is ending", ErrNotRecorded)
	}
	if len(au.pending) >= maxPending {
		return fmt.Errorf("%w: %d records wait", ErrNotRecorded, len(au.pending))
	}
	au.pending = append(au.pending, pr)
	au.signal()
	return nil
}

func (au *Auditor) signal() {
	select {
	case au.wake <- struct{}{}:
	default:
	}
}

func (au *Auditor) delay(rc Record, cause error) {
	au.mu.Lock()
	defer au.mu.Unlock()
	if len(au.delayed) >= maxDelayed || au.stopped {
		logger.Log(au.lg, logger.AuditOutcomeDropped, "Command", rc.ID, "Action", rc.Action, "Result", rc.Result, "Error", cause.Error())
		return
	}
	au.delayed = append(au.delayed, rc)
	logger.Log(au.lg, logger.AuditOutcomeLate, "Command", rc.ID, "Action", rc.Action, "Result", rc.Result, "Error", cause.Error())
}

// Run writes records until ctx ends, and then those still pending. The caller must end all commands
// in progress before it ends ctx; later records are refused.
func (au *Auditor) Run(ctx context.Context) {
	tk := pauser.NewTicker(retryInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			au.stop()
			return
		case <-au.wake:
		case <-tk.Next():
			tk.Advance()
			au.retryDelayed()
		}
		au.writePending(ctx)
		pauser.Sleep(ctx, writeInterval)
	}
}

func (au *Auditor) stop() {
	au.mu.Lock()
	au.stopped = true
	au.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), finalWriteTimeout)
	defer cancel()
	au.retryDelayed()
	for au.writePending(ctx) {
	}
}

// retryDelayed moves delayed outcomes to the pending records.
func (au *Auditor) retryDelayed() {
	au.mu.Lock()
	defer au.mu.Unlock()
	for _, rc := range au.delayed {
		bounded := rc.truncated()
		// The same record was marshalled before without an error.
		data, _ := json.Marshal(bounded)
		pr := &pendingRecord{day: bounded.Time.Format(dayLayout), data: data, done: make(chan error, 1)}
		au.pending = append(au.pending, pr)
		go au.awaitRetry(rc, pr)
	}
	au.delayed = nil
}

func (au *Auditor) awaitRetry(rc Record, pr *pendingRecord) {
	err := <-pr.done
	if err == nil {
		return
	}
	au.mu.Lock()
	defer au.mu.Unlock()
	if au.stopped {
		logger.Log(au.lg, logger.AuditOutcomeDropped, "Command", rc.ID, "Action", rc.Action, "Result", rc.Result, "Error", err.Error())
		return
	}
	au.delayed = append(au.delayed, rc)
}

// writePending writes one segment of pending records. It returns false when there were none.
func (au *Auditor) writePending(ctx context.Context) bool {
	batch := au.takeBatch()
	if len(batch) == 0 {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, writeTimeout)
	defer stop()
	err := au.writeSegment(ctx, batch)
	if err == nil {
		au.mt.Add(meter.AuditRecords, int64(len(batch)))
		au.mt.Add(meter.AuditSegments, 1)
	}
	for _, pr := range batch {
		pr.done <- err
	}
	return true
}

// takeBatch removes and returns the oldest pending records that share a day and fit into a segment.
func (au *Auditor) takeBatch() []*pendingRecord {
	au.mu.Lock()
	defer au.mu.Unlock()
	size := segmentOverheadBytes
	end := 0
	for end < len(au.pending) && au.pending[end].day == au.pending[0].day {
		size += len(au.pending[end].data) + 1
		if size > MaxSegmentBytes {
			break
		}
		end++
	}
	batch := au.pending[:end:end]
	au.pending = au.pending[end:]
	if len(au.pending) > 0 {
		au.signal()
	}
	return batch
}

// writeSegment creates the next segment of the day. If its number is taken, by an earlier process
// of this host or by a write whose answer was lost, it tries the following numbers.
func (au *Auditor) writeSegment(ctx context.Context, batch []*pendingRecord) error {
	if err := au.findNextNumber(ctx, batch[0].day); err != nil {
		return err
	}
	au.operation++
	sg := segment{Host: au.host, Boot: au.boot, Operation: au.operation}
	for _, pr := range batch {
		sg.Records = append(sg.Records, pr.data)
	}
	doc, err := json.Marshal(sg)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		_, err = storer.CreateResolved(ctx, au.store, segmentKey(au.segmentDay, au.host, au.nextNumber), doc)
		if err == nil {
			au.nextNumber++
			return nil
		}
		if !errors.Is(err, storer.ErrConflict) {
			return err
		}
		au.nextNumber++
	}
	return ctx.Err()
}

// findNextNumber lists the segments of this host on the day and sets nextNumber to one more than
// their count.
func (au *Auditor) findNextNumber(ctx context.Context, day string) error {
	if au.segmentDay == day && au.nextNumber > 0 {
		return nil
	}
	number := int64(1)
	err := au.eachSegment(ctx, hostPrefix(day, au.host), func(storer.Entry) bool {
		number++
		return true
	})
	if err != nil {
		return err
	}
	au.segmentDay, au.nextNumber = day, number
	return nil
}
