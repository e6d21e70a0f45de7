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
	// MaxSegmentBytes bounds a segment.
	MaxSegmentBytes = 512 << 10
	// segmentOverhead is room for the fields around the records.
	segmentOverhead = 1 << 10
	// writeInterval bounds the writes of one host to 10 a second. Records of one interval share a
	// segment.
	writeInterval = 100 * time.Millisecond
	// writeLimit bounds the time that a command waits for its record.
	writeLimit = 5 * time.Second
	// retryInterval is the time between attempts to write delayed outcomes.
	retryInterval = 5 * time.Second
	// maxWaiting bounds the records that wait for a write.
	maxWaiting = 4096
	// maxDelayed bounds the outcomes that wait for the store to answer again.
	maxDelayed = 4096
	// lastWriteLimit bounds the write of what waits when the process ends.
	lastWriteLimit = 2 * time.Second
)

// Auditor writes the audit trail of one process. It is safe for concurrent use.
type Auditor struct {
	host  modeler.HostName
	boot  modeler.BootID
	store Store
	lg    logr.Logger
	mt    *meter.Registry

	// wake holds one element when records wait.
	wake chan struct{}

	mu sync.Mutex
	// waiting has at most maxWaiting records, the oldest first. Guarded by mu.
	waiting []*waiter
	// delayed has at most maxDelayed outcomes of executed commands. Guarded by mu.
	delayed []Record
	// stopped refuses further records. Guarded by mu.
	stopped bool

	// Only Run uses the fields below.

	// day and next are the day of the last segment and the number of the next one. Next is zero
	// when the day's segments were not listed yet.
	day       string
	next      int64
	operation int64
}

// waiter is a record that waits for its segment.
type waiter struct {
	day  string
	data []byte
	// done receives one result and never blocks the writer.
	done chan error
}

// New returns an auditor for one process lifetime of a host. Records are written by Run.
func New(host modeler.HostName, boot modeler.BootID, st Store, lg logr.Logger, mt *meter.Registry) *Auditor {
	return &Auditor{host: host, boot: boot, store: st, lg: lg, mt: mt, wake: make(chan struct{}, 1)}
}

// Command is a command whose begin is in the trail.
type Command struct {
	au *Auditor
	rc Record
}

// Begin records that a command is about to be executed. It returns ErrNotRecorded when that
// cannot be written; the caller must then refuse the command. ID, Time and Result are set here.
func (au *Auditor) Begin(ctx context.Context, rc Record) (*Command, error) {
	rc.ID = rand.Text()
	rc.Time = time.Now()
	rc.Result = Begun
	if err := au.append(ctx, rc); err != nil {
		return nil, err
	}
	return &Command{au: au, rc: rc}, nil
}

// Refuse records a command that was refused before it began. It returns ErrNotRecorded.
func (au *Auditor) Refuse(ctx context.Context, rc Record) error {
	rc.ID = rand.Text()
	rc.Time = time.Now()
	rc.Result = Refused
	return au.append(ctx, rc)
}

// Outcome is what became of a command that had begun.
type Outcome struct {
	Result Result
	// Subject replaces the subject of the begin when it was not known by then.
	Subject       string
	Before, After int64
	// Reason replaces the reason of the begin unless it is empty.
	Reason string
}

// End records the outcome of a command. The command has been executed, so an outcome that cannot
// be written is kept and written later. The wait for the store is bounded by writeLimit and goes on
// when ctx ends, because the operator may have gone.
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

// append waits until the record is durable.
func (au *Auditor) append(ctx context.Context, rc Record) error {
	rc = rc.bounded()
	data, err := json.Marshal(rc)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotRecorded, err)
	}
	ctx, stop := context.WithTimeout(ctx, writeLimit)
	defer stop()
	wt := &waiter{day: rc.Time.Format(dayLayout), data: data, done: make(chan error, 1)}
	if err := au.enqueue(wt); err != nil {
		return err
	}
	select {
	case err = <-wt.done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		return nil
	}
	au.mt.Add(meter.AuditFailures, 1)
	return fmt.Errorf("%w: %w", ErrNotRecorded, err)
}

func (au *Auditor) enqueue(wt *waiter) error {
	au.mu.Lock()
	defer au.mu.Unlock()
	if au.stopped {
		return fmt.Errorf("%w: the process is ending", ErrNotRecorded)
	}
	if len(au.waiting) >= maxWaiting {
		return fmt.Errorf("%w: %d records wait", ErrNotRecorded, len(au.waiting))
	}
	au.waiting = append(au.waiting, wt)
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

// Run writes records until ctx ends, then what still waits. End the commands in progress before.
func (au *Auditor) Run(ctx context.Context) {
	tk := time.NewTicker(retryInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			au.stop()
			return
		case <-au.wake:
		case <-tk.C:
			au.retryDelayed()
		}
		au.writeWaiting(ctx)
		pauser.Pause(ctx, writeInterval)
	}
}

func (au *Auditor) stop() {
	au.mu.Lock()
	au.stopped = true
	au.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), lastWriteLimit)
	defer cancel()
	au.retryDelayed()
	for au.writeWaiting(ctx) {
	}
}

// retryDelayed moves delayed outcomes back to the records that wait.
func (au *Auditor) retryDelayed() {
	au.mu.Lock()
	defer au.mu.Unlock()
	for _, rc := range au.delayed {
		bounded := rc.bounded()
		// A record that was marshalled once can be marshalled again.
		data, _ := json.Marshal(bounded)
		wt := &waiter{day: bounded.Time.Format(dayLayout), data: data, done: make(chan error, 1)}
		au.waiting = append(au.waiting, wt)
		go au.awaitDelayed(rc, wt)
	}
	au.delayed = nil
}

func (au *Auditor) awaitDelayed(rc Record, wt *waiter) {
	err := <-wt.done
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

// writeWaiting writes one segment and reports whether there were records for it.
func (au *Auditor) writeWaiting(ctx context.Context) bool {
	batch := au.takeBatch()
	if len(batch) == 0 {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, writeLimit)
	defer stop()
	err := au.writeSegment(ctx, batch)
	if err == nil {
		au.mt.Add(meter.AuditRecords, int64(len(batch)))
		au.mt.Add(meter.AuditSegments, 1)
	}
	for _, wt := range batch {
		wt.done <- err
	}
	return true
}

// takeBatch removes the oldest records of one day that fit into a segment.
func (au *Auditor) takeBatch() []*waiter {
	au.mu.Lock()
	defer au.mu.Unlock()
	size := segmentOverhead
	end := 0
	for end < len(au.waiting) && au.waiting[end].day == au.waiting[0].day {
		size += len(au.waiting[end].data) + 1
		if size > MaxSegmentBytes {
			break
		}
		end++
	}
	batch := au.waiting[:end:end]
	au.waiting = au.waiting[end:]
	if len(au.waiting) > 0 {
		au.signal()
	}
	return batch
}

// writeSegment creates the next segment of the day. A number that is taken belongs to an earlier
// process of this host, or to a write whose answer was lost; the next number is used.
func (au *Auditor) writeSegment(ctx context.Context, batch []*waiter) error {
	if err := au.locate(ctx, batch[0].day); err != nil {
		return err
	}
	au.operation++
	sg := segment{Host: au.host, Boot: au.boot, Operation: au.operation}
	for _, wt := range batch {
		sg.Records = append(sg.Records, wt.data)
	}
	doc, err := json.Marshal(sg)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		_, err = storer.CreateResolved(ctx, au.store, segmentKey(au.day, au.host, au.next), doc)
		if err == nil {
			au.next++
			return nil
		}
		if !errors.Is(err, storer.ErrConflict) {
			return err
		}
		au.next++
	}
	return ctx.Err()
}

// locate finds the number after the last segment of this host on the day.
func (au *Auditor) locate(ctx context.Context, day string) error {
	if au.day == day && au.next > 0 {
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
	au.day, au.next = day, number
	return nil
}
