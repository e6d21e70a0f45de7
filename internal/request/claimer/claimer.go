// Package claimer stores the idempotency keys of a data centre, so that a call with a key runs at most
// once despite retries, lost answers and leader changes.
//
// The leader appends a claim to the journal before it sends the call, and the outcome afterwards. To a
// later leader, a claim without an outcome has the outcome Unknown, and its call never runs again.
package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Limits of the keys.
const (
	// KeyAge is the time for which a key and its outcome are kept after the claim.
	KeyAge = 24 * time.Hour
	// AnswerAge is the maximum time for which an answer is kept.
	AnswerAge = 10 * time.Minute
	// MaxBodyBytes is the maximum body size of an answer that is kept.
	MaxBodyBytes = 64 << 10
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 255
	// DefaultMaxKeys is the default of Options.MaxKeys. So many keys take about 32 MB without their answers.
	DefaultMaxKeys = 1_000_000
	// DefaultMaxAnswerBytes is the default of Options.MaxAnswerBytes.
	DefaultMaxAnswerBytes = 16 << 20
	// maxUnrecorded bounds the outcomes that wait to be recorded while the store is unavailable. Dropped
	// ones are Unknown to the next leader.
	maxUnrecorded = 4096
	// minFullLogInterval is the minimum time between two log lines about MaxKeys being reached.
	minFullLogInterval = time.Minute
)

// Errors of a claimer. Callers test for them with errors.Is.
var (
	// ErrInvalidKey means that a key is empty, longer than MaxKeyBytes or not printable ASCII.
	ErrInvalidKey = errors.New("idempotency key is not valid")
	// ErrAlreadyClaimed means that an earlier call claimed the key. The error is a *KnownError.
	ErrAlreadyClaimed = errors.New("idempotency key is already claimed")
	// ErrKeyReused means that the key was claimed for another request or service.
	ErrKeyReused = errors.New("idempotency key was used for another request")
	// ErrNotLeader means that this host no longer leads the data centre. It has not sent the call. Only
	// the new leader knows whether the key is claimed.
	ErrNotLeader = errors.New("host does not lead the data centre")
	// ErrNotClaimed means that the claim failed and that no leader has claimed the key: the call was not
	// run.
	ErrNotClaimed = errors.New("idempotency key could not be claimed")
	// ErrOutcomeUnknown means that the claim failed and that another leader may have claimed the key:
	// the outcome is unknown.
	ErrOutcomeUnknown = errors.New("idempotency key may have been claimed")
	// ErrNotOpen means that a claim was already completed.
	ErrNotOpen = errors.New("claim is not open")
	// ErrCorrupt means that a record or a part of a snapshot cannot be decoded.
	ErrCorrupt = errors.New("record of request keys is corrupt")
)

var errTooManyKeys = errors.New("too many idempotency keys")

// KnownError reports the outcome of the call that claimed the key first.
type KnownError struct {
	Outcome modeler.Outcome
	// Answer is nil when it is not kept.
	Answer *Answer
}

// Error implements error.
func (ke *KnownError) Error() string {
	return ErrAlreadyClaimed.Error() + " with outcome " + string(ke.Outcome)
}

// Is reports that the error is ErrAlreadyClaimed.
func (ke *KnownError) Is(target error) bool { return target == ErrAlreadyClaimed }

// OutcomeOf returns the outcome of a call whose Claim failed with err.
func OutcomeOf(err error) modeler.Outcome {
	var known *KnownError
	switch {
	case errors.As(err, &known):
		return known.Outcome
	case errors.Is(err, ErrNotClaimed), errors.Is(err, ErrInvalidKey), errors.Is(err, ErrKeyReused):
		return modeler.NotRun
	}
	return modeler.Unknown
}

// Answer is the answer of a runner. It must not be changed after it was passed to Complete.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

func (ans *Answer) size() int64 {
	num := len(ans.Body)
	for name, values := range ans.Header {
		num += len(name) + len(strings.Join(values, ""))
	}
	return int64(num)
}

// Digest is a hash of the content of a request.
type Digest [16]byte

// Journal appends records to the journal of the data centre.
type Journal interface {
	// Append returns nil when the records are durable. After an error they may have been written.
	Append(ctx context.Context, records ...[]byte) error
	// Confirm reads the end of the journal. It returns nil when no other leader had appended to the
	// journal before the read began.
	Confirm(ctx context.Context) error
	// Deposed is closed once another leader has appended to the journal.
	Deposed() <-chan struct{}
}

// Options configure a Claimer. Limits of zero mean the defaults.
type Options struct {
	Journal Journal
	// Epoch is the leader's epoch. It is higher than those of all earlier leaders.
	Epoch modeler.Epoch
	// MaxKeys bounds the number of keys. Further keys are refused with ErrNotClaimed.
	MaxKeys int
	// MaxAnswerBytes bounds the memory for kept answers.
	MaxAnswerBytes int64
	Log            logr.Logger
	Meter          *meter.Registry
}

// Claim is the right to send the call with a key once.
type Claim struct {
	key keyHash
	id  claimID
}

// keyHash is a truncated SHA-256 hash of a key. Neither records nor memory hold keys in clear text.
type keyHash [16]byte

// claimID identifies a claim in a data centre. A later claim of the same key has a higher claimID.
type claimID struct {
	epoch  modeler.Epoch
	serial uint64
}

func (att claimID) less(other claimID) bool {
	return att.epoch < other.epoch || att.epoch == other.epoch && att.serial < other.serial
}

// entry is a key whose call is in progress or has ended recently.
type entry struct {
	row
	id claimID
	// done is closed when the call has ended or the claim has failed.
	done chan struct{}
	// failed is the error of a failed claim. It is set before done is closed.
	failed error
	// answer is nil when it is not kept.
	answer *Answer
}

// Claimer holds the keys of a data centre for one epoch. It is safe for concurrent use.
type Claimer struct {
	opt Options
	// clockBase and clockStart define the clock of the keys; see now.
	clockBase  time.Time
	clockStart time.Time

	// mu guards the fields below.
	mu     sync.Mutex
	serial uint64
	// entries holds keys in progress, and ended keys until DropExpired moves them to ended.
	entries map[keyHash]*entry
	// ended holds ended keys without an answer.
	ended endedKeys
	// answers lists the kept answers, oldest first.
	answers     []keptAnswer
	answerBytes int64
	// unrecorded holds outcomes whose append failed. They are written with the next append.
	unrecorded  [][]byte
	lastFullLog time.Time
}

// keptAnswer refers to the entry whose answer is kept.
type keptAnswer struct {
	key   keyHash
	id    claimID
	size  int64
	since time.Time
}

// Home returns the data centre that owns a key: the one named by the key's prefix before the first ".",
// or else one chosen by rendezvous hashing.
func Home(key string, dcs []modeler.DataCentreName) modeler.DataCentreName {
	if prefix, _, ok := strings.Cut(key, "."); ok {
		for _, dc := range dcs {
			if string(dc) == prefix {
				return dc
			}
		}
	}
	return modeler.HomeDataCentre(key, dcs)
}

func isValidKey(key string) bool {
	if key == "" || len(key) > MaxKeyBytes {
		return false
	}
	for idx := range len(key) {
		if key[idx] < 0x20 || key[idx] > 0x7e {
			return false
		}
	}
	return true
}

func hashKey(key string) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(sum[:16])
}

// requestHash includes the service, so that a key used for another service counts as reused.
func requestHash(service modeler.ServiceName, dg Digest) uint64 {
	sum := sha256.Sum256(append([]byte(service), dg[:]...))
	return binary.BigEndian.Uint64(sum[:8])
}

// Claim claims the key for one request. The caller must send the call only when the error is nil, and
// must then call Complete. When the key is claimed and its call is still in progress, Claim waits until
// that call or the context ends.
//
// Errors: ErrInvalidKey, *KnownError, ErrKeyReused, ErrNotLeader, ErrNotClaimed, ErrOutcomeUnknown.
func (clm *Claimer) Claim(ctx context.Context, key string, service modeler.ServiceName, dg Digest) (Claim, error) {
	if !isValidKey(key) {
		return Claim{}, ErrInvalidKey
	}
	hs, request := hashKey(key), requestHash(service, dg)
	for {
		ent, claimed, err := clm.reserve(hs, request)
		if errors.Is(err, errTooManyKeys) {
			return Claim{}, clm.claimError(ctx, err)
		}
		if err != nil {
			return Claim{}, err
		}
		if claimed {
			return clm.recordClaim(ctx, ent)
		}
		select {
		case <-ent.done:
		case <-ctx.Done():
			clm.opt.Meter.Add(meter.KeysRepeated, 1)
			return Claim{}, &KnownError{Outcome: modeler.Unknown}
		}
		if ent.failed != nil {
			return Claim{}, ent.failed
		}
	}
}

// reserve returns a new entry and true, or the entry of a call in progress and false. It fails with
// ErrNotLeader, ErrKeyReused, errTooManyKeys or a *KnownError.
func (clm *Claimer) reserve(hs keyHash, request uint64) (*entry, bool, error) {
	if clm.deposed() {
		return nil, false, ErrNotLeader
	}
	clm.mu.Lock()
	defer clm.mu.Unlock()
	known, ent, ok := clm.find(hs)
	if ok && known.request != request {
		clm.opt.Meter.Add(meter.KeysReused, 1)
		return nil, false, ErrKeyReused
	}
	if ok && known.outcome != open {
		clm.opt.Meter.Add(meter.KeysRepeated, 1)
		ke := &KnownError{Outcome: known.outcome.model()}
		if ent != nil {
			ke.Answer = ent.answer
		}
		return nil, false, ke
	}
	if ok {
		return ent, false, nil
	}
	if clm.count() >= clm.opt.MaxKeys {
		clm.logFull()
		return nil, false, errTooManyKeys
	}
	clm.serial++
	ent = &entry{
		row:  row{key: hs, request: request, claimed: clm.now().Unix()},
		id:   claimID{clm.opt.Epoch, clm.serial},
		done: make(chan struct{}),
	}
	clm.entries[hs] = ent
	return ent, true, nil
}

// find returns a key that has not expired. The entry is nil when DropExpired has moved the key to ended.
func (clm *Claimer) find(hs keyHash) (row, *entry, bool) {
	if ent := clm.entries[hs]; ent != nil && !clm.expired(ent.row) {
		return ent.row, ent, true
	}
	if rw, ok := clm.ended.find(hs); ok && !clm.expired(rw) {
		return rw, nil, true
	}
	return row{}, nil, false
}

// expired reports whether a key is older than KeyAge. The key of a call in progress does not expire.
func (clm *Claimer) expired(rw row) bool {
	return rw.outcome != open && clm.now().Sub(time.Unix(rw.claimed, 0)) >= KeyAge
}

func (clm *Claimer) count() int { return len(clm.entries) + clm.ended.len() }

func (clm *Claimer) logFull() {
	if time.Since(clm.lastFullLog) >= minFullLogInterval {
		clm.lastFullLog = time.Now()
		logger.Log(clm.opt.Log, logger.KeysFull, "Keys", clm.count())
	}
}

// recordClaim appends the claim to the journal.
func (clm *Claimer) recordClaim(ctx context.Context, ent *entry) (Claim, error) {
	err := clm.appendRecord(ctx, encodeClaim(ent.row, ent.id), false)
	if err == nil {
		clm.opt.Meter.Add(meter.KeysClaimed, 1)
		return Claim{ent.key, ent.id}, nil
	}
	err = clm.claimError(ctx, err)
	clm.mu.Lock()
	defer clm.mu.Unlock()
	// The claim may still reach the journal. This leader does not send the call, so it may grant a later
	// claim of the key. To another leader, the outcome is Unknown.
	delete(clm.entries, ent.key)
	ent.failed = err
	close(ent.done)
	return Claim{}, err
}

// claimError returns the error for a call that was not sent because its claim failed. A deposed leader
// cannot rely on its memory: the new leader may have claimed the key and run its call. Only a read of the
// end of the journal proves that there was no new leader.
func (clm *Claimer) claimError(ctx context.Context, cause error) error {
	clm.opt.Meter.Add(meter.KeysFailed, 1)
	if clm.deposed() {
		return errors.Join(ErrNotLeader, cause)
	}
	err := clm.opt.Journal.Confirm(ctx)
	switch {
	case clm.deposed():
		return errors.Join(ErrNotLeader, cause)
	case err == nil:
		return errors.Join(ErrNotClaimed, cause)
	}
	return errors.Join(ErrOutcomeUnknown, cause)
}

func (clm *Claimer) deposed() bool {
	select {
	case <-clm.opt.Journal.Deposed():
		return true
	default:
		return false
	}
}

// appendRecord appends a record and the outcomes whose append failed before. With retry, a record whose
// append fails is added to unrecorded.
func (clm *Claimer) appendRecord(ctx context.Context, rec []byte, retry bool) error {
	clm.mu.Lock()
	recs := append(clm.unrecorded, rec)
	clm.unrecorded = nil
	clm.mu.Unlock()
	err := clm.opt.Journal.Append(ctx, recs...)
	if err == nil {
		return nil
	}
	if !retry {
		recs = recs[:len(recs)-1]
	}
	clm.mu.Lock()
	defer clm.mu.Unlock()
	recs = append(recs, clm.unrecorded...)
	clm.unrecorded = recs[max(0, len(recs)-maxUnrecorded):]
	return err
}

// Complete records the outcome of a claimed call. Retries get it at once. A key with the outcome NotRun
// may be claimed again. Complete fails with ErrNotOpen, or with an error of Journal.Append. After the
// latter, a later leader may report Unknown; the caller need not retry.
func (clm *Claimer) Complete(ctx context.Context, cl Claim, oc modeler.Outcome, ans *Answer) error {
	clm.mu.Lock()
	ent := clm.entries[cl.key]
	if ent == nil || ent.id != cl.id || ent.outcome != open {
		clm.mu.Unlock()
		return ErrNotOpen
	}
	ent.outcome = outcomeOf(oc)
	if ent.outcome == notRun {
		delete(clm.entries, cl.key)
	}
	if ent.outcome == answered && ans != nil {
		clm.keepAnswer(ent, ans)
	}
	close(ent.done)
	clm.mu.Unlock()
	return clm.appendRecord(ctx, encodeOutcome(cl.key, cl.id, ent.outcome), true)
}

// keepAnswer keeps an answer for retries, and drops the oldest ones to stay within MaxAnswerBytes.
func (clm *Claimer) keepAnswer(ent *entry, ans *Answer) {
	size := ans.size()
	if len(ans.Body) > MaxBodyBytes || size > clm.opt.MaxAnswerBytes {
		return
	}
	for clm.answerBytes+size > clm.opt.MaxAnswerBytes {
		clm.dropOldestAnswer()
	}
	ent.answer = ans
	clm.answerBytes += size
	clm.answers = append(clm.answers, keptAnswer{ent.key, ent.id, size, time.Now()})
	clm.opt.Meter.Set(meter.KeptAnswerBytes, clm.answerBytes)
}

func (clm *Claimer) dropOldestAnswer() {
	ka := clm.answers[0]
	clm.answers = clm.answers[1:]
	clm.answerBytes -= ka.size
	if ent := clm.entries[ka.key]; ent != nil && ent.id == ka.id {
		ent.answer = nil
	}
}

// DropExpired deletes expired keys and answers; see KeyAge and AnswerAge. The leader calls it about every 10 s.
func (clm *Claimer) DropExpired() {
	clm.mu.Lock()
	defer clm.mu.Unlock()
	for len(clm.answers) > 0 && time.Since(clm.answers[0].since) >= AnswerAge {
		clm.dropOldestAnswer()
	}
	var moved []row
	for hs, ent := range clm.entries {
		if ent.outcome != open && ent.answer == nil {
			moved = append(moved, ent.row)
			delete(clm.entries, hs)
		}
	}
	clm.ended.add(moved)
	clm.ended.trim(clm.now().Add(-KeyAge))
	clm.opt.Meter.Set(meter.KeysHeld, int64(clm.count()))
	clm.opt.Meter.Set(meter.KeptAnswerBytes, clm.answerBytes)
}

// now returns the time for the ages of keys. It advances with the monotonic clock from a start that is
// not later than the newest record of earlier leaders, so that a wall clock that is ahead does not make
// keys expire early.
func (clm *Claimer) now() time.Time { return clm.clockBase.Add(time.Since(clm.clockStart)) }
