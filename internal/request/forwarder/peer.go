package forwarder

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/request/retrier"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// Headers between entry hosts.
const (
	headerService = "Currant-Service"
	headerMethod  = "Currant-Method"
	headerTarget  = "Currant-Target"
	// headerStep states what the peer must do with the call: stepRun or stepClaim.
	headerStep = "Currant-Step"
)

const (
	// stepRun asks a peer to send a call to a runner of its data centre.
	stepRun = "Run"
	// stepClaim asks the leader of the key's data centre to claim the key, send the call and record the
	// outcome.
	stepClaim = "Claim"
)

const (
	// spillCost is the time that forwarding a call to another data centre costs: two one-way latencies of
	// 0.5 ms, the work of the second host, and a margin so that equally loaded data centres do not forward
	// calls to each other.
	spillCost = 5 * time.Millisecond
	// maxFailureBody bounds the JSON body of a peer's failure, in bytes.
	maxFailureBody = 16 << 10
)

func newURL(host string) *url.URL { return &url.URL{Scheme: "http", Host: host} }

// pickPeer picks a peer to which a call is forwarded, and returns false when the call should stay here or
// no peer qualifies. A call is forwarded when it would wait here for longer than spillCost, or when this
// host has no slots for its service. Of two random peers, the one with more free slots is picked.
func (fw *Forwarder) pickPeer(cl *call, wait time.Duration) (Peer, bool) {
	if cl.forwarded && cl.key == "" {
		return Peer{}, false
	}
	capacity := fw.op.Admitter.Capacity(cl.svc.Name)
	if capacity > 0 && wait <= spillCost {
		return Peer{}, false
	}
	dcs := (*fw.serviceDataCentres.Load())[cl.svc.Name]
	var first, second Peer
	qualified := 0
	for _, pr := range fw.op.Peers() {
		if !pr.Usable || capacity > 0 && pr.DataCentre == fw.op.DataCentre || capacity > 0 && pr.FreeSlots <= 0 || !slices.Contains(dcs, pr.DataCentre) {
			continue
		}
		// Sample two random peers of all that qualify.
		switch qualified++; {
		case qualified == 1:
			first = pr
		case qualified == 2:
			second = pr
		case rand.IntN(qualified) == 0:
			first = pr
		case rand.IntN(qualified-1) == 0:
			second = pr
		}
	}
	if qualified > 1 && second.FreeSlots > first.FreeSlots {
		first = second
	}
	return first, qualified > 0
}

// sendToPeer sends a call to a peer, which sends it to a runner.
func (fw *Forwarder) sendToPeer(cl *call, pr Peer) *failure {
	fw.op.Meter.Add(meter.CallsSpilled, 1)
	tf, fl := fw.forward(cl, pr, stepRun)
	switch {
	case fl != nil:
		return fl
	case tf.progress == unsent:
		fl = failNotRun(http.StatusServiceUnavailable, "PeerUnreachable", tf.err.Error())
		fl.retryAfter, fl.repeatable = 1, true
		return fl
	case tf.progress == lost:
		if fl = fw.lostFailure(cl, tf); fl != nil {
			fl.repeatable = cl.mayRepeat()
		}
		return fl
	}
	return tf.failure
}

// forward sends a call with a step to a peer.
func (fw *Forwarder) forward(cl *call, pr Peer, step string) (transfer, *failure) {
	pl := fw.peerPool(pr.Address)
	cn, err := pl.get(cl.rq.Context(), cl.deadline, nil)
	if err != nil {
		return transfer{progress: unsent, err: err}, nil
	}
	limit := cl.svc.CallLimit
	until := cl.deadline.Add(limit + modeler.DriftAllowance(limit))
	return fw.exchange(cl, pl, cn, fw.peerRequest(cl, step), until, acceptPeer), nil
}

func (fw *Forwarder) peerRequest(cl *call, step string) *http.Request {
	rq := cl.request(http.MethodPost)
	rq.URL.Path = PeerPath
	hop := 0
	if step == stepRun {
		hop = 1
	}
	for key, val := range map[string]string{
		headerService:         string(cl.svc.Name),
		headerMethod:          cl.rq.Method,
		headerTarget:          cl.uri.RequestURI(),
		headerStep:            step,
		modeler.HeaderCaller:  cl.caller,
		modeler.HeaderKey:     cl.key,
		modeler.HeaderHop:     strconv.Itoa(hop),
		modeler.HeaderTimeout: strconv.FormatInt(max(0, time.Until(cl.deadline).Milliseconds()), 10),
	} {
		if val != "" {
			rq.Header[key] = []string{val}
		}
	}
	return rq
}

// acceptPeer returns nil for an answer with the outcome Answered, or else the failure in the peer's answer.
// The outcome is Unknown when the peer's answer is not valid.
func acceptPeer(rp *http.Response) *failure {
	outcome := modeler.Outcome(rp.Header.Get(modeler.HeaderOutcome))
	if outcome == modeler.Answered && isFramed(rp) {
		return nil
	}
	fl := failUnknown(http.StatusBadGateway, "PeerAnswer", "the answer of the peer states no outcome")
	var body modeler.Failure
	err := json.NewDecoder(io.LimitReader(rp.Body, maxFailureBody)).Decode(&body)
	if err != nil || body.Outcome != outcome || outcome != modeler.NotRun && outcome != modeler.Unknown {
		return fl
	}
	fl = &failure{status: rp.StatusCode, code: body.Code, message: body.Message, outcome: outcome}
	fl.retryAfter, _ = strconv.Atoi(rp.Header.Get("Retry-After"))
	fl.repeatable = outcome == modeler.NotRun && rp.StatusCode == http.StatusServiceUnavailable
	return fl
}

// servePeer handles a call that a peer has forwarded.
func (fw *Forwarder) servePeer(wr http.ResponseWriter, rq *http.Request) {
	step := rq.Header.Get(headerStep)
	hops, err := strconv.Atoi(rq.Header.Get(modeler.HeaderHop))
	uri, uerr := url.ParseRequestURI(rq.Header.Get(headerTarget))
	switch {
	case rq.Method != http.MethodPost || err != nil || uerr != nil || step != stepRun && step != stepClaim:
		failNotRun(http.StatusBadRequest, "BadForward", "the forwarded call is not valid").write(wr)
		return
	case hops < 0 || step == stepRun && !retrier.MayHop(hops-1) || step == stepClaim && hops != 0:
		failNotRun(http.StatusLoopDetected, "TooManyHops", "the call has passed too many entry hosts").write(wr)
		return
	}
	inner := *rq
	inner.Method = rq.Header.Get(headerMethod)
	cl, fl := fw.newCall(wr, &inner, modeler.ServiceName(rq.Header.Get(headerService)), uri)
	if fl != nil {
		fl.write(wr)
		return
	}
	cl.forwarded = true
	cl.key = rq.Header.Get(modeler.HeaderKey)
	if fl = fw.register(cl); fl == nil {
		defer fw.unregister(cl)
		if step == stepClaim {
			fl = fw.claimAndSend(cl)
		} else {
			fl = fw.sendLocally(cl)
		}
	}
	fw.finish(cl, fl)
}

// sendLocally sends a call to a runner of this data centre, without retries.
func (fw *Forwarder) sendLocally(cl *call) *failure {
	if fl := cl.readSmallBody(); fl != nil {
		return fl
	}
	adm, err := fw.op.Admitter.Admit(cl.rq.Context(), cl.admitCall)
	if err != nil {
		return refusalFailure(err)
	}
	return fw.sendToRunner(cl, adm)
}
