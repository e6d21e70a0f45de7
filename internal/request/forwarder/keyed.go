package forwarder

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

const (
	// answerLimit is the largest body of an answer that is kept for retries, in bytes.
	answerLimit = 64 << 10
	// recordTimeout bounds the write of an outcome to the journal.
	recordTimeout = 10 * time.Second
)

// Errors of a Claimer.
var (
	// ErrNotLeader means that this host does not lead the data centre of the key.
	ErrNotLeader = errors.New("this host is not the leader of the key's data centre")
	// ErrKeyReused means that the key belongs to a different request.
	ErrKeyReused = errors.New("the key was used for another request")
	// ErrNotClaimed means that the key is proven to have no claim, and got none.
	ErrNotClaimed = errors.New("the key could not be claimed")
)

// Answer is a whole answer to a keyed call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Claim is the result of claiming a key.
type Claim struct {
	// Repeated states that the key was claimed before by the same request. The call must not be
	// sent; Outcome says what became of it, and Answer has the first answer if it is still kept.
	Repeated bool
	Outcome  modeler.Outcome
	Answer   *Answer
	// Token is the claimer's own.
	Token any
}

// Claimer claims the keys of one data centre in its journal.
type Claimer interface {
	// Claim returns when the claim is durable. It fails with ErrNotLeader, ErrKeyReused or
	// ErrNotClaimed; after any other error the key may be claimed.
	Claim(ctx context.Context, key string, svc modeler.ServiceName, digest [sha256.Size]byte) (Claim, error)
	// Complete records the outcome; the answer is nil when none is kept.
	Complete(ctx context.Context, cm Claim, outcome modeler.Outcome, ans *Answer) error
}

// keptAnswer collects an answer until it exceeds answerLimit.
type keptAnswer struct {
	answer Answer
	over   bool
}

func (ka *keptAnswer) start(status int, hd http.Header) {
	ka.answer = Answer{Status: status, Header: hd.Clone()}
}

func (ka *keptAnswer) add(part []byte) {
	if ka.over = ka.over || len(ka.answer.Body)+len(part) > answerLimit; ka.over {
		ka.answer.Body = nil
		return
	}
	ka.answer.Body = append(ka.answer.Body, part...)
}

// homeOf returns the data centre that owns a key.
func homeOf(key string, dcs []modeler.DataCentreName) modeler.DataCentreName {
	if prefix, _, ok := strings.Cut(key, "."); ok {
		for _, dc := range dcs {
			if string(dc) == prefix {
				return dc
			}
		}
	}
	return modeler.HomeDataCentre(key, dcs)
}

// Failures after which a keyed call may be tried again: no leader has answered, or a leader could not
// record the claim.
const (
	codeOwnerUnreachable = "KeyOwnerUnreachable"
	codeNotClaimed       = "KeyNotClaimed"
)

// serveKeyed passes a call to the leader of the key's data centre. While the leader cannot be
// reached it tries again until the deadline, because a drained leader is replaced in about 1 s and a
// dead one in about 6 s. Trying again is safe whatever became of the attempt before: the claim of the
// key admits one execution.
func (fw *Forwarder) serveKeyed(cl *call) *failure {
	if fl := cl.readSmall(); fl != nil {
		// An earlier attempt with the key may have run.
		fl.outcome = modeler.Unknown
		return fl
	}
	fl := fw.tryKeyed(cl)
	if !cl.awaitsOwner(fl) {
		return fl
	}
	defer fw.awaiting.Add(-1)
	if fw.awaiting.Add(1) > int64(cl.svc.QueueLimit) {
		return fl
	}
	for cl.awaitsOwner(fl) && fw.pauseForOwner(cl) {
		if cl.rewind != nil {
			cl.body = cl.rewind()
		}
		fl = fw.tryKeyed(cl)
	}
	return fl
}

// awaitsOwner tells whether a call can be passed on again once the leader is reachable. Only the
// host that got the call from its caller does so.
func (cl *call) awaitsOwner(fl *failure) bool {
	if fl == nil || fl.code != codeOwnerUnreachable && fl.code != codeNotClaimed {
		return false
	}
	return !cl.forwarded && cl.mayResend() && !cl.cut.Load()
}

// pauseForOwner waits before the next attempt. It returns false when the call must be answered now.
func (fw *Forwarder) pauseForOwner(cl *call) bool {
	const least, most = 50 * time.Millisecond, 150 * time.Millisecond
	pause := least + rand.N(most-least)
	if time.Until(cl.deadline) <= pause {
		return false
	}
	tm := time.NewTimer(pause)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-cl.rq.Context().Done():
		return false
	}
}

// tryKeyed passes a call to the leader of the key's data centre once.
func (fw *Forwarder) tryKeyed(cl *call) *failure {
	home := homeOf(cl.key, fw.op.Configuration().DataCentres)
	if fw.op.Leader == nil {
		return ownerUnreachable("no leader is known")
	}
	pr, ok := fw.op.Leader(home)
	if !ok {
		return ownerUnreachable("the data centre of the key has no known leader")
	}
	if pr.Host == fw.op.Host {
		return fw.claimAndSend(cl)
	}
	tf, fl := fw.forward(cl, pr, stepClaim)
	switch {
	case fl != nil:
		return fl
	case tf.progress == whole:
		return tf.failure
	case cl.started:
		return fw.describe(cl, tf)
	}
	return ownerUnreachable(tf.err.Error())
}

// ownerUnreachable is Unknown even when this attempt sent nothing: an earlier one may have run.
func ownerUnreachable(reason string) *failure {
	fl := unknown(http.StatusServiceUnavailable, codeOwnerUnreachable, "the owner of the key cannot be reached: "+reason)
	fl.retryAfter = 1
	return fl
}

// claimAndSend claims the key of a call, sends the call and records its outcome. The body is read
// first, because the claim covers it.
func (fw *Forwarder) claimAndSend(cl *call) *failure {
	if fw.op.Claimer == nil {
		return ownerUnreachable(ErrNotLeader.Error())
	}
	digest, fl := cl.digest()
	if fl != nil {
		return fl
	}
	ctx, cancel := context.WithDeadline(cl.rq.Context(), cl.deadline)
	defer cancel()
	cm, err := fw.op.Claimer.Claim(ctx, cl.key, cl.svc.Name, digest)
	if err != nil {
		return claimFailure(err)
	}
	if cm.Repeated {
		return cl.repeatAnswer(cm)
	}
	cl.keep = &keptAnswer{}
	fl = fw.sendRepeatedly(cl)
	fw.record(cl, cm, fl)
	return fl
}

func claimFailure(err error) *failure {
	switch {
	case errors.Is(err, ErrKeyReused):
		return notRun(http.StatusUnprocessableEntity, "KeyReused", err.Error())
	case errors.Is(err, ErrNotClaimed):
		fl := notRun(http.StatusServiceUnavailable, codeNotClaimed, err.Error())
		fl.retryAfter = 1
		return fl
	}
	return ownerUnreachable(err.Error())
}

// digest reads the body into memory and returns the digest of the request.
func (cl *call) digest() ([sha256.Size]byte, *failure) {
	dg := sha256.New()
	_, _ = io.WriteString(dg, cl.rq.Method+" "+cl.uri.RequestURI()+"\n")
	body, err := cl.readBody()
	switch {
	case errors.Is(err, errBodyLimit):
		return [sha256.Size]byte{}, notRun(http.StatusRequestEntityTooLarge, "BodyTooLarge", err.Error())
	case err != nil:
		// An earlier attempt with the key may have run.
		return [sha256.Size]byte{}, unknown(http.StatusBadRequest, "BodyIncomplete", err.Error())
	}
	_, _ = dg.Write(body)
	return [sha256.Size]byte(dg.Sum(nil)), nil
}

// repeatAnswer answers a retry with what is known of the first attempt.
func (cl *call) repeatAnswer(cm Claim) *failure {
	if cm.Answer == nil {
		fl := &failure{status: http.StatusConflict, code: "KeyAlreadyUsed", outcome: cm.Outcome}
		fl.message = "an earlier request with this key had the outcome " + string(cm.Outcome) + "; its answer is not kept"
		return fl
	}
	hd := cl.wr.Header()
	for key, vals := range cm.Answer.Header {
		hd[key] = vals
	}
	cl.started = true
	cl.wr.WriteHeader(cm.Answer.Status)
	_, _ = cl.wr.Write(cm.Answer.Body)
	return nil
}

// record writes the outcome without holding up the answer. Drain waits for it.
func (fw *Forwarder) record(cl *call, cm Claim, fl *failure) {
	outcome, ans := modeler.Answered, &cl.keep.answer
	switch {
	case fl != nil:
		outcome, ans = fl.outcome, nil
	case cl.broken:
		outcome, ans = modeler.Unknown, nil
	case cl.keep.over:
		ans = nil
	}
	fw.records.Add(1)
	go func() {
		defer fw.records.Done()
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := fw.op.Claimer.Complete(ctx, cm, outcome, ans); err != nil {
			logger.Log(fw.op.Log, logger.ClaimNotRecorded, "Outcome", outcome, "Error", err.Error())
		}
	}()
}
