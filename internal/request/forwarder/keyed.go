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
	// maxKeptBody is the maximum size in bytes of an answer's body that is kept for retries.
	maxKeptBody = 64 << 10
	// recordTimeout bounds the recording of an outcome in the journal.
	recordTimeout = 10 * time.Second
)

// Errors of a Claimer.
var (
	// ErrNotLeader means that this host does not lead the key's data centre.
	ErrNotLeader = errors.New("this host is not the leader of the key's data centre")
	// ErrKeyReused means that the key was claimed for another request.
	ErrKeyReused = errors.New("the key was used for another request")
	// ErrNotClaimed means that the claim failed and that the key is proven to have no other claim.
	ErrNotClaimed = errors.New("the key could not be claimed")
)

// Answer is the complete answer to a call with a key.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Claim is the result of claiming a key.
type Claim struct {
	// Repeated states that the key was already claimed for the same request. The call must not be sent.
	Repeated bool
	// Outcome is the outcome of the first call if Repeated is set.
	Outcome modeler.Outcome
	// Answer is the answer to the first call if Repeated is set, or nil when it is not kept.
	Answer *Answer
	// Token identifies the claim to the Claimer.
	Token any
}

// Claimer claims the keys of one data centre in its journal.
type Claimer interface {
	// Claim returns when the claim is durable. It fails with ErrNotLeader, ErrKeyReused or ErrNotClaimed.
	// After any other error, the key may have been claimed.
	Claim(ctx context.Context, key string, svc modeler.ServiceName, digest [sha256.Size]byte) (Claim, error)
	// Complete records the outcome of a claimed call. The answer is nil when none is to be kept.
	Complete(ctx context.Context, cm Claim, outcome modeler.Outcome, ans *Answer) error
}

// keptAnswer collects an answer while its body is at most maxKeptBody.
type keptAnswer struct {
	answer   Answer
	tooLarge bool
}

func (ka *keptAnswer) start(status int, hd http.Header) {
	ka.answer = Answer{Status: status, Header: hd.Clone()}
}

func (ka *keptAnswer) add(part []byte) {
	if ka.tooLarge = ka.tooLarge || len(ka.answer.Body)+len(part) > maxKeptBody; ka.tooLarge {
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

// Codes of failures after which a call with a key may be sent again.
const (
	// codeOwnerUnreachable means that no leader of the key's data centre has answered.
	codeOwnerUnreachable = "KeyOwnerUnreachable"
	// codeNotClaimed means that the leader could not record the claim.
	codeNotClaimed = "KeyNotClaimed"
)

// serveKeyed sends a call to the leader of the key's data centre. While the leader is unreachable, it
// retries until the deadline, because a drained leader is replaced in about 1 s and a failed one in about
// 6 s. Retries are safe even if an earlier attempt has run: a key can be claimed for one execution only.
func (fw *Forwarder) serveKeyed(cl *call) *failure {
	if fl := cl.readSmallBody(); fl != nil {
		// An earlier attempt with the key may have run.
		fl.outcome = modeler.Unknown
		return fl
	}
	fl := fw.sendToOwner(cl)
	if !cl.mayAwaitLeader(fl) {
		return fl
	}
	defer fw.waitingForLeader.Add(-1)
	if fw.waitingForLeader.Add(1) > int64(cl.svc.QueueLimit) {
		return fl
	}
	for cl.mayAwaitLeader(fl) && fw.waitForLeader(cl) {
		if cl.rewind != nil {
			cl.body = cl.rewind()
		}
		fl = fw.sendToOwner(cl)
	}
	return fl
}

// mayAwaitLeader reports whether the call may be sent to the leader again. Only the host that got the call
// from its caller does so.
func (cl *call) mayAwaitLeader(fl *failure) bool {
	if fl == nil || fl.code != codeOwnerUnreachable && fl.code != codeNotClaimed {
		return false
	}
	return !cl.forwarded && cl.mayResend() && !cl.aborted.Load()
}

// waitForLeader waits before the next attempt. It returns false when the deadline is too near or the caller
// has disconnected.
func (fw *Forwarder) waitForLeader(cl *call) bool {
	const (
		minDelay = 50 * time.Millisecond
		maxDelay = 150 * time.Millisecond
	)
	delay := minDelay + rand.N(maxDelay-minDelay)
	if time.Until(cl.deadline) <= delay {
		return false
	}
	tm := time.NewTimer(delay)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-cl.rq.Context().Done():
		return false
	}
}

// sendToOwner sends a call once to the leader of the key's data centre, or claims the key if this host is
// that leader.
func (fw *Forwarder) sendToOwner(cl *call) *failure {
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
	case tf.progress == complete:
		return tf.failure
	case cl.started:
		return fw.lostFailure(cl, tf)
	}
	return ownerUnreachable(tf.err.Error())
}

// ownerUnreachable returns a failure with the outcome Unknown, even when this attempt sent nothing: an
// earlier call with the key may have run.
func ownerUnreachable(reason string) *failure {
	fl := failUnknown(http.StatusServiceUnavailable, codeOwnerUnreachable, "the owner of the key cannot be reached: "+reason)
	fl.retryAfter = 1
	return fl
}

// claimAndSend claims the key of a call, sends the call and records its outcome. It reads the body first,
// because the claim includes a digest of it.
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
	cl.kept = &keptAnswer{}
	fl = fw.sendWithRetries(cl)
	fw.record(cl, cm, fl)
	return fl
}

func claimFailure(err error) *failure {
	switch {
	case errors.Is(err, ErrKeyReused):
		return failNotRun(http.StatusUnprocessableEntity, "KeyReused", err.Error())
	case errors.Is(err, ErrNotClaimed):
		fl := failNotRun(http.StatusServiceUnavailable, codeNotClaimed, err.Error())
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
	case errors.Is(err, errBodyTooLarge):
		return [sha256.Size]byte{}, failNotRun(http.StatusRequestEntityTooLarge, "BodyTooLarge", err.Error())
	case err != nil:
		// An earlier attempt with the key may have run.
		return [sha256.Size]byte{}, failUnknown(http.StatusBadRequest, "BodyIncomplete", err.Error())
	}
	_, _ = dg.Write(body)
	return [sha256.Size]byte(dg.Sum(nil)), nil
}

// repeatAnswer answers a repeated call with the first answer, or fails with the first outcome when the
// answer is not kept.
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

// record records the outcome in the background, so that it does not delay the answer. Drain waits for it.
func (fw *Forwarder) record(cl *call, cm Claim, fl *failure) {
	outcome, ans := modeler.Answered, &cl.kept.answer
	switch {
	case fl != nil:
		outcome, ans = fl.outcome, nil
	case cl.truncated:
		outcome, ans = modeler.Unknown, nil
	case cl.kept.tooLarge:
		ans = nil
	}
	fw.recording.Add(1)
	go func() {
		defer fw.recording.Done()
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := fw.op.Claimer.Complete(ctx, cm, outcome, ans); err != nil {
			logger.Log(fw.op.Log, logger.ClaimNotRecorded, "Outcome", outcome, "Error", err.Error())
		}
	}()
}
