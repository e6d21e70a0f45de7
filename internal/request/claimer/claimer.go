// Package claimer keeps the idempotency keys of a data centre, so that a keyed call runs at most
// once over retries, lost answers and changes of the leader.
//
// The leader appends a claim to the journal before the call is sent and its outcome afterwards. A
// claim without an outcome is Unknown to a later leader and never runs again.
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
	// KeyAge is the time for which the outcome of a key is kept.
	KeyAge = 24 * time.Hour
	// AnswerAge is the time for which an answer is kept.
	AnswerAge = 10 * time.Minute
	// MaxBodyBytes is the largest body of an answer that is kept.
	MaxBodyBytes = 64 << 10
	// MaxKeyBytes is the longest key.
	MaxKeyBytes = 255
	// DefaultMaxKeys takes about 32 MB once answers have expired.
	DefaultMaxKeys = 1_000_000
	// DefaultMaxAnswerBytes bounds the kept answers beside the keys.
	DefaultMaxAnswerBytes = 16 << 20
	// maxUnrecorded bounds the outcomes that wait for a store that is down. A lost one is Unknown
	// to the next leader.
	maxUnrecorded = 4096
	// fullInterval is the least time between two log lines on a full table.
	fullInterval = time.Minute
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
	// ErrNotOpen means that a claim was completed before.
	ErrNotOpen = errors.New("claim is not open")
	// ErrCorrupt means that a record or a part of a snapshot can't be read.
	ErrCorrupt = errors.New("record of request keys is corrupt")
)

var errFull = errors.New("too many idempotency keys")

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

// OutcomeOf returns the outcome that an error of Claim stands for.
func OutcomeOf(err error) modeler.Outcome {
	var known *KnownError
	switch {
	case errors.As(err, &known):
		return known.Outcome
	case errors.Is(err, ErrNotClaimed), errors.Is(err, ErrBadKey), errors.Is(err, ErrKeyReused):
		return modeler.NotRun
	}
	return modeler.Unknown
}

// Answer is an answer of a runner. It is not changed after it was passed to Complete.
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

// Digest identifies the content of a request.
type Digest [16]byte

// Journal appends records to the journal of the data centre.
type Journal interface {
	// Append returns nil when the records are durable. After an error they may have been written.
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
	key keyHash
	id  attempt
}

// keyHash stands for a key. Records and memory hold no key in clear.
type keyHash [16]byte

// attempt numbers the claims of a data centre. A later claim of a key has a higher attempt.
type attempt struct {
	epoch  modeler.Epoch
	serial uint64
}

func (att attempt) less(other attempt) bool {
	return att.epoch < other.epoch || att.epoch == other.epoch && att.serial < other.serial
}

// entry is a key that is in progress or whose answer may be kept.
type entry struct {
	row
	id attempt
	// done is closed when the call has ended or its claim has failed.
	done chan struct{}
	// failed is the error of a claim that failed. It is set before done is closed.
	failed error
	// answer is nil when it is not kept.
	answer *Answer
}

// Claimer holds the keys of one term of leadership. It is safe for concurrent use.
type Claimer struct {
	opt Options
	// base and opened make up the clock of the keys; see now.
	base   time.Time
	opened time.Time

	// mu guards the fields below.
	mu     sync.Mutex
	serial uint64
	// entries holds keys in progress and ended keys until Trim moves them to old.
	entries map[keyHash]*entry
	// old holds ended keys without an answer.
	old shelf
	// answers lists the kept answers, the oldest first.
	answers     []kept
	answerBytes int64
	// unrecorded holds outcomes whose append failed. They go with the next append.
	unrecorded [][]byte
	fullLogged time.Time
}

// kept is an answer in the order of age.
type kept struct {
	key   keyHash
	id    attempt
	size  int64
	since time.Time
}

// Home returns the data centre that owns a key: the one that the key names before its first ".",
// else one chosen by rendezvous hashing.
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

func validKey(key string) bool {
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

// requestHash makes a key that is used for another service count as reused.
func requestHash(service modeler.ServiceName, dg Digest) uint64 {
	sum := sha256.Sum256(append([]byte(service), dg[:]...))
	return binary.BigEndian.Uint64(sum[:8])
}

// Claim claims the key for one request. The caller sends the call only when the error is nil, and
// then calls Complete. When the key is claimed and its call still in progress, Claim waits for
// the end until the context ends.
//
// Errors: ErrBadKey, *KnownError, ErrKeyReused, ErrNotLeader, ErrNotClaimed, ErrUnproven.
func (clm *Claimer) Claim(ctx context.Context, key string, service modeler.ServiceName, dg Digest) (Claim, error) {
	if !validKey(key) {
		return Claim{}, ErrBadKey
	}
	hs, request := hashKey(key), requestHash(service, dg)
	for {
		ent, claimed, err := clm.reserve(hs, request)
		if errors.Is(err, errFull) {
			return Claim{}, clm.unclaimed(ctx, err)
		}
		if err != nil {
			return Claim{}, err
		}
		if claimed {
			return clm.record(ctx, ent)
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

// reserve returns a new entry and true, or the entry of a call in progress and false.
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
		return nil, false, errFull
	}
	clm.serial++
	ent = &entry{
		row:  row{key: hs, request: request, claimed: clm.now().Unix()},
		id:   attempt{clm.opt.Epoch, clm.serial},
		done: make(chan struct{}),
	}
	clm.entries[hs] = ent
	return ent, true, nil
}

// find returns a key that has not expired. The entry is nil for one that Trim has moved.
func (clm *Claimer) find(hs keyHash) (row, *entry, bool) {
	if ent := clm.entries[hs]; ent != nil && !clm.expired(ent.row) {
		return ent.row, ent, true
	}
	if rw, ok := clm.old.find(hs); ok && !clm.expired(rw) {
		return rw, nil, true
	}
	return row{}, nil, false
}

// expired reports that a key is older than KeyAge. A call in progress does not expire.
func (clm *Claimer) expired(rw row) bool {
	return rw.outcome != open && clm.now().Sub(time.Unix(rw.claimed, 0)) >= KeyAge
}

func (clm *Claimer) count() int { return len(clm.entries) + clm.old.len() }

func (clm *Claimer) logFull() {
	if time.Since(clm.fullLogged) >= fullInterval {
		clm.fullLogged = time.Now()
		logger.Log(clm.opt.Log, logger.KeysFull, "Keys", clm.count())
	}
}

// record appends the claim.
func (clm *Claimer) record(ctx context.Context, ent *entry) (Claim, error) {
	err := clm.append(ctx, encodeClaim(ent.row, ent.id), false)
	if err == nil {
		clm.opt.Meter.Add(meter.KeysClaimed, 1)
		return Claim{ent.key, ent.id}, nil
	}
	err = clm.unclaimed(ctx, err)
	clm.mu.Lock()
	defer clm.mu.Unlock()
	// The claim may still reach the journal. This leader does not send the call, so that a later
	// attempt may claim the key again; to another leader the key is Unknown.
	delete(clm.entries, ent.key)
	ent.failed = err
	close(ent.done)
	return Claim{}, err
}

// unclaimed returns the error for a call that was not sent because its claim failed. A deposed
// leader's memory proves nothing: the new leader may have claimed the key and run its call.
// Reading the end of the journal proves that there was no new leader.
func (clm *Claimer) unclaimed(ctx context.Context, cause error) error {
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
	return errors.Join(ErrUnproven, cause)
}

func (clm *Claimer) deposed() bool {
	select {
	case <-clm.opt.Journal.Deposed():
		return true
	default:
		return false
	}
}

// append writes a record together with outcomes that could not be written before. A record to
// keep is written with a later append when this one fails.
func (clm *Claimer) append(ctx context.Context, rec []byte, keep bool) error {
	clm.mu.Lock()
	recs := append(clm.unrecorded, rec)
	clm.unrecorded = nil
	clm.mu.Unlock()
	err := clm.opt.Journal.Append(ctx, recs...)
	if err == nil {
		return nil
	}
	if !keep {
		recs = recs[:len(recs)-1]
	}
	clm.mu.Lock()
	defer clm.mu.Unlock()
	recs = append(recs, clm.unrecorded...)
	clm.unrecorded = recs[max(0, len(recs)-maxUnrecorded):]
	return err
}

// Complete records the outcome of a claimed call. Retries get it at once. A key whose outcome is
// NotRun is free again. Errors: ErrNotOpen, and those of Append, after which a later leader may
// answer Unknown to a retry; the caller has nothing to do then.
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
		clm.keep(ent, ans)
	}
	close(ent.done)
	clm.mu.Unlock()
	return clm.append(ctx, encodeOutcome(cl.key, cl.id, ent.outcome), true)
}

// keep stores an answer for retries and drops the oldest ones to make room.
func (clm *Claimer) keep(ent *entry, ans *Answer) {
	size := ans.size()
	if len(ans.Body) > MaxBodyBytes || size > clm.opt.MaxAnswerBytes {
		return
	}
	for clm.answerBytes+size > clm.opt.MaxAnswerBytes {
		clm.dropAnswer()
	}
	ent.answer = ans
	clm.answerBytes += size
	clm.answers = append(clm.answers, kept{ent.key, ent.id, size, time.Now()})
	clm.opt.Meter.Set(meter.KeptAnswerBytes, clm.answerBytes)
}

// dropAnswer drops the oldest answer.
func (clm *Claimer) dropAnswer() {
	kp := clm.answers[0]
	clm.answers = clm.answers[1:]
	clm.answerBytes -= kp.size
	if ent := clm.entries[kp.key]; ent != nil && ent.id == kp.id {
		ent.answer = nil
	}
}

// Trim forgets keys older than 24 h and answers older than 10 minutes. The leader calls it about
// every 10 s.
func (clm *Claimer) Trim() {
	clm.mu.Lock()
	defer clm.mu.Unlock()
	for len(clm.answers) > 0 && time.Since(clm.answers[0].since) >= AnswerAge {
		clm.dropAnswer()
	}
	var ended []row
	for hs, ent := range clm.entries {
		if ent.outcome != open && ent.answer == nil {
			ended = append(ended, ent.row)
			delete(clm.entries, hs)
		}
	}
	clm.old.add(ended)
	clm.old.trim(clm.now().Add(-KeyAge))
	clm.opt.Meter.Set(meter.KeysHeld, int64(clm.count()))
	clm.opt.Meter.Set(meter.KeptAnswerBytes, clm.answerBytes)
}

// now is the clock of the keys' ages. It runs with the monotonic clock from a start that is not
// later than the newest record of the leaders before, so that a wall clock that is ahead forgets
// no key early.
func (clm *Claimer) now() time.Time { return clm.base.Add(time.Since(clm.opened)) }
