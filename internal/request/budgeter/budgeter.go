// Package budgeter decides which clients may go on when clients together hold more memory or connections than a
// process can give them. It handles this load: hundreds of connections whose bodies have the allowed size, arrive in
// pieces or not at all, and never end, beside ordinary clients whose bodies are small and arrive at once. Without a
// bound, each such connection keeps its buffer until the client closes it.
//
// A body costs the memory held for it times its age. If the budget is exhausted, the bodies that cost most are aborted,
// which are large and slow, and ordinary ones are still read. The package does no input or output of its own.
package budgeter

import (
	"cmp"
	"errors"
	"io"
	"sync"
	"time"
)

// Errors of bodies. Test for them with errors.Is.
var (
	// ErrExhausted means that the budget is exhausted and this body costs most, or that it was aborted for another one.
	ErrExhausted = errors.New("memory for request bodies exhausted")
	// ErrCrowded means that the body was aborted for a new connection.
	ErrCrowded = errors.New("too many connections")
	// ErrEnding means that the body was not read to the end when all were aborted.
	ErrEnding = errors.New("host is shutting down")
	// ErrTooLarge means that a body has more bytes than its limit.
	ErrTooLarge = errors.New("request body too large")
)

const (
	// overcommitDivisor is the part of the limit by which aborted bodies that have not ended yet may exceed it. They end as
	// soon as their goroutines run.
	overcommitDivisor = 4
	// minBuffer is the size of a body's first buffer in bytes. Almost all bodies fit into it.
	minBuffer = 8 << 10
	// growth is the ratio of the sizes of successive buffers of a body. Until the smaller one is copied, both are charged.
	growth = 2
)

// Budget bounds the memory that is held for the bodies of requests. It is safe for concurrent use, and no call blocks.
type Budget struct {
	// limit is the maximum of used without aborting, in bytes.
	limit int64
	// onChange is called with each change of the memory in use, in bytes.
	onChange func(delta int64)

	mu sync.Mutex
	// used is the memory held for all bodies, in bytes.
	used int64
	// aborting is the part of used that is held for aborted bodies.
	aborting int64
	// reading has the bodies that are not read to the end and not aborted.
	reading map[*Body]struct{}
}

// New returns a budget with the limit in bytes. onChange is called with each change of the memory in use.
func New(limit int64, onChange func(delta int64)) *Budget {
	return &Budget{limit: limit, onChange: onChange, reading: map[*Body]struct{}{}}
}

// Body is the share of one body in the budget. Its methods are called by one goroutine.
type Body struct {
	budget *Budget
	began  time.Time
	// connection is that of the body, nil if it is not known.
	connection *Connection
	// abort interrupts the read of the body. It is called with the budget locked, and never after Complete.
	abort func()

	// charged is the memory held for the body in bytes. It and aborted are guarded by the budget.
	charged int64
	// aborted is the error of an aborted body, nil of others.
	aborted error
}

// Open adds a body of a connection, nil if that is not known. abort interrupts a read of it; it must not block or call the budget. Release must be called in the end.
func (bg *Budget) Open(cn *Connection, abort func()) *Body {
	bd := &Body{budget: bg, began: time.Now(), connection: cn, abort: abort}
	bg.mu.Lock()
	defer bg.mu.Unlock()
	bg.reading[bd] = struct{}{}
	return bd
}

// Charge adds memory in bytes to what is held for the body. If the budget is exhausted, bodies that cost more than this one
// are aborted, if that makes room. Errors: ErrExhausted, after
// which nothing was added and no body was aborted, and those of Aborted.
func (bd *Body) Charge(bytes int64) error {
	bg := bd.budget
	bg.mu.Lock()
	defer bg.mu.Unlock()
	if bd.aborted != nil {
		return bd.aborted
	}
	now := time.Now()
	if bg.used+bytes > bg.limit+bg.limit/overcommitDivisor || !bg.hasRoom(bd, bytes, now) {
		return ErrExhausted
	}
	for bg.used-bg.aborting+bytes > bg.limit {
		bg.abort(bg.costliest(now), ErrExhausted)
	}
	bd.add(bytes)
	return nil
}

// hasRoom reports whether the body can hold the bytes in addition, if need be after the abort of bodies that cost more.
func (bg *Budget) hasRoom(bd *Body, bytes int64, now time.Time) bool {
	room := bg.limit + bg.aborting - bg.used
	if bytes <= room {
		return true
	}
	own := cost(bd.charged+bytes, bd.began, now)
	for cand := range bg.reading {
		if cand != bd && cost(cand.charged, cand.began, now) > own {
			room += cand.charged
		}
	}
	return bytes <= room
}

// cost returns the memory in bytes that is held since began, times its age.
func cost(held int64, began, now time.Time) float64 { return float64(held) * now.Sub(began).Seconds() }

// costliest returns the body being read that costs most, or nil if none is read.
func (bg *Budget) costliest(now time.Time) *Body {
	var victim *Body
	highest := -1.0
	for cand := range bg.reading {
		if ct := cost(cand.charged, cand.began, now); ct > highest {
			victim, highest = cand, ct
		}
	}
	return victim
}

// abort aborts a body that is being read.
func (bg *Budget) abort(bd *Body, reason error) {
	delete(bg.reading, bd)
	bd.aborted = reason
	bg.aborting += bd.charged
	bd.abort()
}

// AbortCostliest aborts the body that costs most, with ErrCrowded. It returns its connection, nil if there was no body.
func (bg *Budget) AbortCostliest() *Connection {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	bd := bg.costliest(time.Now())
	if bd == nil {
		return nil
	}
	bg.abort(bd, ErrCrowded)
	return bd.connection
}

// AbortAll aborts all bodies that are not read to the end, with ErrEnding.
func (bg *Budget) AbortAll() {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	for bd := range bg.reading {
		bg.abort(bd, ErrEnding)
	}
}

// Free returns the memory in bytes that can be charged without aborting bodies. It is negative while aborted bodies exceed
// the limit.
func (bg *Budget) Free() int64 {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	return bg.limit - bg.used
}

// Usage returns the memory in use in bytes, and the number of bodies being read.
func (bg *Budget) Usage() (used int64, reading int) {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	return bg.used, len(bg.reading)
}

// add changes the memory held for the body. The budget is locked.
func (bd *Body) add(bytes int64) {
	bd.charged += bytes
	bd.budget.used += bytes
	if bd.aborted != nil {
		bd.budget.aborting += bytes
	}
	bd.budget.onChange(bytes)
}

// Charged returns the memory held for the body in bytes.
func (bd *Body) Charged() int64 {
	bd.budget.mu.Lock()
	defer bd.budget.mu.Unlock()
	return bd.charged
}

// Aborted returns why the body was aborted, nil if it was not. Errors: ErrExhausted, ErrCrowded, ErrEnding.
func (bd *Body) Aborted() error {
	bd.budget.mu.Lock()
	defer bd.budget.mu.Unlock()
	return bd.aborted
}

// Complete marks the body as read to the end: it is not aborted any more. Errors: those of Aborted.
func (bd *Body) Complete() error {
	bd.budget.mu.Lock()
	defer bd.budget.mu.Unlock()
	if bd.aborted != nil {
		return bd.aborted
	}
	delete(bd.budget.reading, bd)
	return nil
}

// Release returns all memory of the body to the budget.
func (bd *Body) Release() {
	bd.budget.mu.Lock()
	defer bd.budget.mu.Unlock()
	delete(bd.budget.reading, bd)
	bd.add(-bd.charged)
}

// ReadAll reads a body with the announced size, negative if it is unknown, and charges its buffers as the bytes arrive.
// onProgress is called before each read; its error ends the read. Errors: ErrExhausted, ErrTooLarge, those of Aborted,
// the reader and onProgress.
func (bd *Body) ReadAll(rd io.Reader, size, limit int64, onProgress func() error) ([]byte, error) {
	end := limit + 1
	if size >= 0 {
		end = min(size+1, end)
	}
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			if int64(len(buf)) > limit {
				return nil, ErrTooLarge
			}
			next := min(max(minBuffer, growth*int64(cap(buf))), end)
			if err := bd.Charge(next); err != nil {
				return nil, err
			}
			grown := make([]byte, len(buf), next)
			copy(grown, buf)
			bd.discharge(int64(cap(buf)))
			buf = grown
		}
		if err := onProgress(); err != nil {
			return nil, err
		}
		num, err := rd.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+num]
		switch {
		case int64(len(buf)) > limit:
			return nil, ErrTooLarge
		case err == io.EOF:
			return buf, bd.Complete()
		case err != nil:
			return nil, cmp.Or(bd.Aborted(), err)
		}
	}
}

// discharge returns memory in bytes to the budget.
func (bd *Body) discharge(bytes int64) {
	bd.budget.mu.Lock()
	defer bd.budget.mu.Unlock()
	bd.add(-bytes)
}
