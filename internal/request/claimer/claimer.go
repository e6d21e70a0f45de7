// Package claimer keeps the idempotency keys of a data centre, so that a keyed call runs at most
// once over retries, lost answers and changes of the leader.
package claimer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/daemon/meter"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Errors of a claimer. Callers test for them with errors.Is.
var (
	// ErrBadKey means that a key is empty, longer than MaxKeyBytes or not printable ASCII.
	ErrBadKey = errors.New("idempotency key is not valid")
	// ErrAlreadyClaimed means that an earlier call claimed the key. The error is a *KnownError.
	ErrAlreadyClaimed = errors.New("idempotency key is already claimed")
	// ErrKeyReused means that the key was claimed for another request or service.
	ErrKeyReused = errors.New("idempotency key was used for another request")
	// ErrNotLeader means that this host does not lead the data centre any more. It has not sent
	// the call; the new leader knows the key.
	ErrNotLeader = errors.New("host does not lead the data centre")
	// ErrNotClaimed means that the claim failed and that nobody ever claimed the key: the call
	// was not run.
	ErrNotClaimed = errors.New("idempotency key could not be claimed")
	// ErrUnproven means that the claim failed and that another leader may have claimed the key:
	// the outcome is unknown.
	ErrUnproven = errors.New("idempotency key may have been claimed")
)

// KnownError tells the outcome of the call that claimed a key first.
type KnownError struct {
	Outcome modeler.Outcome
	// Answer is nil when it is not kept.
	Answer *Answer
}

// Error returns the outcome in one line.
func (ke *KnownError) Error() string {
	return ErrAlreadyClaimed.Error() + " with outcome " + string(ke.Outcome)
}

// Is reports that the error is ErrAlreadyClaimed.
func (ke *KnownError) Is(target error) bool { return target == ErrAlreadyClaimed }

// Answer is an answer of a runner. It is not changed after it was passed to Complete.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Digest identifies the content of a request.
type Digest [16]byte

// Journal appends records to the journal of the data centre.
type Journal interface {
	// Append returns nil when the records are durable and storer.ErrUnavailable when they were
	// not written. After any other error they may have been written.
	Append(ctx context.Context, records ...[]byte) error
	// Confirm reads the end of the journal. Nil means that no other leader had appended to it
	// when the read began.
	Confirm(ctx context.Context) error
	// Deposed is closed once another leader has appended to the journal.
	Deposed() <-chan struct{}
}

// Options configure a Claimer. Zero limits mean the defaults.
type Options struct {
	Journal Journal
	// Epoch is the leader's term. It is higher than that of every earlier leader.
	Epoch modeler.Epoch
	// MaxKeys bounds the number of keys. New keys are refused beyond it.
	MaxKeys int
	// MaxAnswerBytes bounds the memory for kept answers.
	MaxAnswerBytes int64
	Log            logr.Logger
	Meter          *meter.Registry
}

// Claim is the right to send the call of a key once.
type Claim struct {
	key     [16]byte
	attempt uint64
}

// Claimer holds the keys of one term of leadership. It is safe for concurrent use.
type Claimer struct{ opt Options }

// Open restores the keys from the parts of a snapshot and the records after it. Claims without an
// outcome become Unknown and never run again.
func Open(opt Options, _, _ [][]byte) (*Claimer, error) { return &Claimer{opt: opt}, nil }

// Claim claims the key for one request. The caller sends the call only when the error is nil, and
// then calls Complete. When the key is claimed and its call still in progress, Claim waits for
// the end until the context ends.
//
// Errors: ErrBadKey, *KnownError, ErrKeyReused, ErrNotLeader, ErrNotClaimed, ErrUnproven.
func (clm *Claimer) Claim(_ context.Context, _ string, _ modeler.ServiceName, _ Digest) (Claim, error) {
	return Claim{}, ErrUnproven
}

// Complete records the outcome of a claimed call. A key whose outcome is NotRun is free again. An
// error means that a later leader may answer Unknown to a retry; it needs no action.
func (clm *Claimer) Complete(_ context.Context, _ Claim, _ modeler.Outcome, _ *Answer) error {
	return nil
}

// Snapshot returns the state in parts of at most maxBytes each. The caller reads the position of
// the journal first.
func (clm *Claimer) Snapshot(_ int) [][]byte { return nil }

// Trim forgets keys older than 24 h and answers older than 10 minutes.
func (clm *Claimer) Trim() {}

// OutcomeOf returns the outcome that an error of Claim stands for.
func OutcomeOf(_ error) modeler.Outcome { return modeler.Unknown }

// Limits of the keys.
const (
	// KeyAge is the time for which the outcome of a key is kept.
	KeyAge = 24 * time.Hour
	// AnswerAge is the time for which an answer is kept.
	AnswerAge = 10 * time.Minute
	// MaxBodyBytes is the largest body of an answer that is kept.
	MaxBodyBytes = 64 << 10
	// MaxKeyBytes is the longest key.
	MaxKeyBytes = 255
)
