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
	// headerStep tells the peer what to do with the call.
	headerStep = "Currant-Step"
)

const (
	// stepRun asks a peer to run a call on the runners of its own data centre.
	stepRun = "Run"
	// stepClaim asks the leader of the key's data centre to claim the key and to see to the call.
	stepClaim = "Claim"
)

const (
	// spillCost is the cost of a call to another data centre: two one-way latencies of 0.5 ms, the
	// second host's work, and a margin against calls that bounce between equally loaded places.
	spillCost = 5 * time.Millisecond
	// failureBody bounds the JSON body of a peer's failure, in bytes.
	failureBody = 16 << 10
)

func newURL(host string) *url.URL { return &url.URL{Scheme: "http", Host: host} }

// spillOver chooses a peer for a call that would wait here for longer than the way to another data
// centre takes, or whose service has no slots here.
func (fw *Forwarder) spillOver(cl *call, wait time.Duration) (Peer, bool) {
	if cl.forwarded && cl.key == "" {
		return Peer{}, false
	}
	own := fw.op.Admitter.Capacity(cl.svc.Name)
	if own > 0 && wait <= spillCost {
		return Peer{}, false
	}
	places := (*fw.places.Load())[cl.svc.Name]
	var first, second Peer
	seen := 0
	for _, pr := range fw.op.Peers() {
		if !pr.Usable || own > 0 && pr.DataCentre == fw.op.DataCentre || own > 0 && pr.FreeSlots <= 0 || !slices.Contains(places, pr.DataCentre) {
			continue
		}
		// Two random peers are kept of all that qualify.
		switch seen++; {
		case seen == 1:
			first = pr
		case seen == 2:
			second = pr
		case rand.IntN(seen) == 0:
			first = pr
		case rand.IntN(seen-1) == 0:
			second = pr
		}
	}
	if seen > 1 && second.FreeSlots > first.FreeSlots {
		first = second
	}
	return first, seen > 0
}

// sendToPeer lets a peer run the call.
func (fw *Forwarder) sendToPeer(cl *call, pr Peer) *failure {
	fw.op.Meter.Add(meter.CallsSpilled, 1)
	tf, fl := fw.forward(cl, pr, stepRun)
	switch {
	case fl != nil:
		return fl
	case tf.progress == unsent:
		fl = notRun(http.StatusServiceUnavailable, "PeerUnreachable", tf.err.Error())
		fl.retryAfter, fl.repeatable = 1, true
		return fl
	case tf.progress == lost:
		if fl = fw.describe(cl, tf); fl != nil {
			fl.repeatable = cl.mayRepeat()
		}
		return fl
	}
	return tf.failure
}

// forward sends a call to a peer for a step. The failure is set when there is no connection.
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

// acceptPeer passes on what a peer states to be answered, and reads its failures. A peer that
// states nothing has not been understood.
func acceptPeer(rp *http.Response) *failure {
	outcome := modeler.Outcome(rp.Header.Get(modeler.HeaderOutcome))
	if outcome == modeler.Answered && isFramed(rp) {
		return nil
	}
	fl := unknown(http.StatusBadGateway, "PeerAnswer", "the answer of the peer states no outcome")
	var body modeler.Failure
	err := json.NewDecoder(io.LimitReader(rp.Body, failureBody)).Decode(&body)
	if err != nil || body.Outcome != outcome || outcome != modeler.NotRun && outcome != modeler.Unknown {
		return fl
	}
	fl = &failure{status: rp.StatusCode, code: body.Code, message: body.Message, outcome: outcome}
	fl.retryAfter, _ = strconv.Atoi(rp.Header.Get("Retry-After"))
	fl.repeatable = outcome == modeler.NotRun && rp.StatusCode == http.StatusServiceUnavailable
	return fl
}

// servePeer serves a call that a peer forwarded.
func (fw *Forwarder) servePeer(wr http.ResponseWriter, rq *http.Request) {
	step := rq.Header.Get(headerStep)
	hops, err := strconv.Atoi(rq.Header.Get(modeler.HeaderHop))
	uri, uerr := url.ParseRequestURI(rq.Header.Get(headerTarget))
	switch {
	case rq.Method != http.MethodPost || err != nil || uerr != nil || step != stepRun && step != stepClaim:
		notRun(http.StatusBadRequest, "BadForward", "the forwarded call is not valid").write(wr)
		return
	case hops < 0 || step == stepRun && !retrier.MayHop(hops-1) || step == stepClaim && hops != 0:
		notRun(http.StatusLoopDetected, "TooManyHops", "the call has passed too many entry hosts").write(wr)
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
	if fl = fw.enter(cl); fl == nil {
		defer fw.leave(cl)
		if step == stepClaim {
			fl = fw.claimAndSend(cl)
		} else {
			fl = fw.sendLocally(cl)
		}
	}
	fw.finish(cl, fl)
}

// sendLocally runs a call on the runners of the own data centre.
func (fw *Forwarder) sendLocally(cl *call) *failure {
	if fl := cl.readSmall(); fl != nil {
		return fl
	}
	adm, err := fw.op.Admitter.Admit(cl.rq.Context(), cl.admitCall)
	if err != nil {
		return refusal(err)
	}
	return fw.sendToRunner(cl, adm)
}
