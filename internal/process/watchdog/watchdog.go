// Package watchdog ends calls that make no progress, so that the limit on a call does not depend on the size of its answer.
package watchdog

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// ErrStalled is the cause of a context that ended because no progress was reported for the idle time. It wraps
// context.DeadlineExceeded.
var ErrStalled = fmt.Errorf("call stalled: %w", context.DeadlineExceeded)

type contextKey struct{}

// timer ends one context.
type timer struct {
	idle  time.Duration
	timer *time.Timer
	// parent is the timer of an outer context, or nil.
	parent *timer
}

// WithTimeout returns a context that ends when Progress was not called with it, or with a context derived from it, for
// the idle time, and at the latest after the total time. The caller must call the function when the call has returned.
func WithTimeout(parent context.Context, idle, total time.Duration) (context.Context, context.CancelFunc) {
	ctx, stopTotal := context.WithTimeout(parent, total)
	ctx, cancel := context.WithCancelCause(ctx)
	tm := &timer{idle: idle, parent: from(parent)}
	tm.timer = time.AfterFunc(idle, func() { cancel(ErrStalled) })
	return context.WithValue(ctx, contextKey{}, tm), func() {
		tm.timer.Stop()
		cancel(nil)
		stopTotal()
	}
}

func from(ctx context.Context) *timer {
	tm, _ := ctx.Value(contextKey{}).(*timer)
	return tm
}

// Progress reports that the call with the context has made progress. It has no effect if the context has no watchdog.
func Progress(ctx context.Context) {
	for tm := from(ctx); tm != nil; tm = tm.parent {
		if tm.timer.Stop() {
			tm.timer.Reset(tm.idle)
		}
	}
}

// NewReader returns a reader that reports progress for each read that returns bytes.
func NewReader(ctx context.Context, rd io.Reader) io.Reader { return &reader{ctx, rd} }

type reader struct {
	ctx    context.Context
	reader io.Reader
}

// Read implements io.Reader.
func (rd *reader) Read(bf []byte) (int, error) {
	count, err := rd.reader.Read(bf)
	if count > 0 {
		Progress(rd.ctx)
	}
	return count, err
}

// NewTransport returns a transport that reports answers and the bytes of their bodies to the watchdogs of their requests.
func NewTransport(next http.RoundTripper) http.RoundTripper { return &transport{next} }

type transport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (tr *transport) RoundTrip(rq *http.Request) (*http.Response, error) {
	rs, err := tr.next.RoundTrip(rq)
	if err != nil || from(rq.Context()) == nil {
		return rs, err
	}
	Progress(rq.Context())
	rs.Body = &body{NewReader(rq.Context(), rs.Body), rs.Body}
	return rs, nil
}

type body struct {
	io.Reader
	io.Closer
}
