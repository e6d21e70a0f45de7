package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// TestFaults guards against outcomes that contradict the runner's own count of executions, against calls
// that run twice, and against slots that are never freed or are freed too early.
func TestFaults(t *testing.T) {
	hang := func(_ *fakeRunner, _ net.Conn, _ *http.Request) bool {
		time.Sleep(600 * time.Millisecond)
		return false
	}
	var flaky sync.Map
	failOnce := func(fr *fakeRunner, nc net.Conn, rq *http.Request) bool {
		if _, again := flaky.LoadOrStore(fr, true); !again {
			return false
		}
		return reply(okAnswer)(fr, nc, rq)
	}
	for _, tc := range []struct {
		name   string
		play   func(*fakeRunner, net.Conn, *http.Request) bool
		method string
		body   string
		repeat bool
		// status is 0 when the connection is aborted after the header.
		status  int
		outcome modeler.Outcome
		runs    int
		slots   int
	}{
		{"whole answer", reply(okAnswer), "GET", "", false, 200, modeler.Answered, 1, 1},
		{"whole answer to a body", reply(okAnswer), "POST", "order", false, 200, modeler.Answered, 1, 1},
		{"dead after the request", closeConn, "GET", "", false, 502, modeler.Unknown, 1, 1},
		{"dead after a request with a body", closeConn, "POST", "order", false, 502, modeler.Unknown, 1, 1},
		{"dead in the header", replyAndClose("HTTP/1.1 200 OK\r\nContent-"), "GET", "", false, 502, modeler.Unknown, 1, 1},
		{"dead in a body with length", replyAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"), "GET", "", false, 0, modeler.Answered, 1, 1},
		{"dead in a chunked body", replyAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"), "GET", "", false, 0, modeler.Answered, 1, 1},
		{"body without an end mark", replyAndClose("HTTP/1.1 200 OK\r\n\r\nhello"), "GET", "", false, 502, modeler.Unknown, 1, 1},
		{"no answer", hang, "GET", "", false, 504, modeler.Unknown, 1, 1},
		{"header too large", replyAndClose("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 80<<10) + "\r\n\r\n"), "GET", "", false, 502, modeler.Unknown, 1, 1},
		{"answer too large", replyAndClose("HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n"), "GET", "", false, 502, modeler.Unknown, 1, 1},
		{"answer too large, connection kept", reply("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200000)), "GET", "", false, 502, modeler.Unknown, 1, 1},
		{"no HTTP", replyAndClose("hello\r\n\r\n"), "GET", "", false, 502, modeler.Unknown, 1, 1},
		{"switched protocols", replyAndClose("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"), "GET", "", false, 502, modeler.Unknown, 1, 1},
		{"interim answers", reply("HTTP/1.1 103 Early Hints\r\n\r\n", okAnswer), "GET", "", false, 200, modeler.Answered, 1, 1},
		{"answer repeated", reply(okAnswer, okAnswer), "GET", "", false, 200, modeler.Answered, 1, 1},
		{"dead once, repeatable", failOnce, "GET", "", true, 200, modeler.Answered, 2, 2},
		// The only slot is still in use, so the second attempt is refused. The first one may have run.
		{"dead once, repeatable, no slot left", failOnce, "GET", "", true, 502, modeler.Unknown, 1, 1},
		{"dead once, repeatable service, POST", failOnce, "POST", "", true, 502, modeler.Unknown, 1, 1},
		{"dead once, not repeatable", failOnce, "GET", "", false, 502, modeler.Unknown, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			fr := newFakeRunner(t, tc.play)
			en := newTestEntry(t, entryOptions{repeat: tc.repeat, slots: tc.slots}, fr)
			rs := en.call(t, tc.method, "/tidebook/order", tc.body)
			qt.Check(t, rs.broken, qt.Equals, tc.status == 0)
			if tc.status != 0 {
				qt.Check(t, rs.outcome, qt.Equals, tc.outcome)
				qt.Check(t, rs.status, qt.Equals, tc.status)
			}
			qt.Check(t, fr.runs("/order"), qt.Equals, tc.runs)
			en.waitIdle(t)
			qt.Check(t, fr.maxConcurrent()[0], qt.Equals, 1)
		})
	}
}

func closeConn(*fakeRunner, net.Conn, *http.Request) bool { return false }

func replyAndClose(text string) func(*fakeRunner, net.Conn, *http.Request) bool {
	return func(fr *fakeRunner, nc net.Conn, rq *http.Request) bool {
		reply(text)(fr, nc, rq)
		return false
	}
}

// TestUnsent guards against a call that gets the outcome Unknown, or is not sent to another runner, although
// no byte of it reached a runner.
func TestUnsent(t *testing.T) {
	dead := newFakeRunner(t, closeConn)
	dead.ln.Close()
	alive := newFakeRunner(t, echo)
	en := newTestEntry(t, entryOptions{slots: 8}, dead, alive)
	for ix := range 20 {
		rs := en.call(t, "POST", fmt.Sprint("/tidebook/n", ix), "body")
		if rs.outcome == modeler.NotRun {
			qt.Check(t, rs.status, qt.Equals, 503)
			qt.Check(t, alive.runs(fmt.Sprint("/n", ix)), qt.Equals, 0)
			continue
		}
		qt.Check(t, rs.body, qt.Equals, fmt.Sprintf("/n%d|body", ix))
	}
	qt.Check(t, en.mt.Value(meter.CallsAnswered) >= 18, qt.IsTrue)
	en.waitIdle(t)
}

// TestBadRunners guards against calls to a runner that fails all of them fast, and against a late answer
// that reaches the next caller.
func TestBadRunners(t *testing.T) {
	bad, good := newFakeRunner(t, reply("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n")), newFakeRunner(t, echo)
	en := newTestEntry(t, entryOptions{slots: 8}, bad, good)
	for ix := range 100 {
		en.call(t, "POST", fmt.Sprint("/tidebook/n", ix), "")
	}
	qt.Check(t, len(bad.executed) <= 10, qt.IsTrue, qt.Commentf("%d calls", len(bad.executed)))
	late := newFakeRunner(t, func(fr *fakeRunner, nc net.Conn, rq *http.Request) bool {
		if rq.URL.Path == "/late" {
			time.Sleep(400 * time.Millisecond)
		}
		return echo(fr, nc, rq)
	})
	en = newTestEntry(t, entryOptions{slots: 2}, late)
	qt.Check(t, en.call(t, "GET", "/tidebook/late", "").outcome, qt.Equals, modeler.Unknown)
	for range 10 {
		qt.Check(t, en.call(t, "GET", "/tidebook/next", "").body, qt.Equals, "/next|")
	}
	en.waitIdle(t)
}

// TestHeaders guards against forged and hop-by-hop headers, a changed path, and the replay that an
// http.Client would do for calls with an idempotency key.
func TestHeaders(t *testing.T) {
	fr := newFakeRunner(t, echo)
	en := newTestEntry(t, entryOptions{}, fr)
	rs := en.call(t, "GET", "/tidebook/a%2Fb/c?x=%20y", "", "Connection", "close, X-Hop", "X-Hop", "1", "Te", "trailers",
		"Currant-Key", "forged", "X-End", "2")
	qt.Check(t, rs.body, qt.Equals, "/a%2Fb/c?x=%20y|")
	qt.Check(t, rs.header.Get("Currant-Forged"), qt.Equals, "")
	for key, want := range map[string]string{"X-Hop": "", "Te": "", "Currant-Key": "", "X-End": "2", "Currant-Timeout": "300"} {
		qt.Check(t, fr.header.Get(key), qt.Equals, want, qt.Commentf(key))
	}
	for path, want := range map[string]string{"/nothing/x": "UnknownService", "/": "UnknownService"} {
		rs = en.call(t, "GET", path, "")
		qt.Check(t, rs.outcome, qt.Equals, modeler.NotRun)
		qt.Check(t, rs.body, qt.Contains, want)
	}
	rs = en.call(t, "POST", "/tidebook/big", strings.Repeat("x", 200<<10), "Expect", "100-continue")
	qt.Check(t, rs.status, qt.Equals, 413)
	qt.Check(t, fr.runs("/big"), qt.Equals, 0)
}

// TestCallerLeaves guards against a slot that is freed when the caller disconnects while the runner still
// works on the call.
func TestCallerLeaves(t *testing.T) {
	release := make(chan struct{})
	fr := newFakeRunner(t, func(fr *fakeRunner, nc net.Conn, rq *http.Request) bool {
		<-release
		return reply(okAnswer)(fr, nc, rq)
	})
	en := newTestEntry(t, entryOptions{limit: 5 * time.Second}, fr)
	ctx, cancel := context.WithCancel(context.Background())
	rq, _ := http.NewRequestWithContext(ctx, "GET", en.callers.URL+"/tidebook/one", nil)
	go http.DefaultClient.Do(rq) //nolint // The call is cancelled.
	waitFor(t, func() bool { return fr.runs("/one") == 1 })
	cancel()
	// The only slot stays in use, so the next call is refused when its deadline passes.
	rs := en.call(t, "GET", "/tidebook/two", "", "Currant-Timeout", "50")
	qt.Check(t, rs.outcome, qt.Equals, modeler.NotRun)
	qt.Check(t, en.lim.OutstandingSlots(), qt.Equals, 1)
	close(release)
	en.waitIdle(t)
	qt.Check(t, en.call(t, "GET", "/tidebook/three", "").body, qt.Equals, "hello")
	qt.Check(t, fr.maxConcurrent()[0], qt.Equals, 1)
	qt.Check(t, fr.runs("/two"), qt.Equals, 0)
}

func waitFor(tb testing.TB, cond func() bool) {
	for range 500 {
		if cond() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	tb.Fatal("the condition was not met")
}

// TestLimits guards against calls or connections that exceed a runner's limits, and against answers that
// reach the wrong caller, with many concurrent callers.
func TestLimits(t *testing.T) {
	fr := newFakeRunner(t, func(fr *fakeRunner, nc net.Conn, rq *http.Request) bool {
		time.Sleep(2 * time.Millisecond)
		return echo(fr, nc, rq)
	})
	en := newTestEntry(t, entryOptions{slots: 4}, fr)
	var wg sync.WaitGroup
	for wk := range 16 {
		wg.Go(func() {
			for ix := range 20 {
				name := fmt.Sprintf("w%d-%d", wk, ix)
				rs := en.call(t, "POST", "/tidebook/"+name, name)
				if rs.outcome == modeler.Answered {
					qt.Check(t, rs.body, qt.Equals, "/"+name+"|"+name)
				}
				runs := fr.runs("/" + name)
				qt.Check(t, runs <= 1 && (runs == 1 || rs.outcome != modeler.Answered) && (runs == 0 || rs.outcome != modeler.NotRun), qt.IsTrue)
			}
		})
	}
	wg.Wait()
	en.waitIdle(t)
	most := fr.maxConcurrent()
	qt.Check(t, most[0], qt.Equals, 4)
	qt.Check(t, most[1] <= 8, qt.IsTrue)
}

// TestStreams guards against an answer or a request body that is buffered until its end.
func TestStreams(t *testing.T) {
	next := make(chan string)
	fr := newFakeRunner(t, func(_ *fakeRunner, nc net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n")
		for part := range next {
			fmt.Fprintf(nc, "%x\r\n%s\r\n", len(part), part)
		}
		_, err := io.WriteString(nc, "0\r\nX-Sum: 7\r\n\r\n")
		return err == nil
	})
	en := newTestEntry(t, entryOptions{limit: 5 * time.Second}, fr)
	rp, err := http.Get(en.callers.URL + "/tidebook/stream")
	qt.Assert(t, err, qt.IsNil)
	buf := make([]byte, 3)
	for _, part := range []string{"one", "two"} {
		next <- part
		_, err = io.ReadFull(rp.Body, buf)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(buf), qt.Equals, part)
	}
	close(next)
	_, err = io.ReadAll(rp.Body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, rp.Trailer.Get("X-Sum"), qt.Equals, "7")
}

// TestDrain guards against calls in flight that a drain aborts before its context ends, and against aborted
// calls that it does not report.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	fr := newFakeRunner(t, func(fr *fakeRunner, nc net.Conn, rq *http.Request) bool {
		<-release
		return reply(okAnswer)(fr, nc, rq)
	})
	for _, cut := range []int{0, 1} {
		en := newTestEntry(t, entryOptions{limit: 5 * time.Second}, fr)
		got := make(chan callResult, 1)
		path := fmt.Sprint("/tidebook/", cut)
		go func() { got <- en.call(t, "GET", path, "") }()
		waitFor(t, func() bool { return fr.runs(fmt.Sprint("/", cut)) == 1 })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan int, 1)
		go func() { done <- en.fw.Drain(ctx) }()
		waitFor(t, func() bool { return en.fw.stopped.Load() })
		qt.Check(t, en.call(t, "GET", "/tidebook/late", "").outcome, qt.Equals, modeler.NotRun)
		want := modeler.Unknown
		if cut == 0 {
			want = modeler.Answered
			release <- struct{}{}
		} else {
			cancel()
		}
		qt.Check(t, <-done, qt.Equals, cut)
		qt.Check(t, (<-got).outcome, qt.Equals, want)
		cancel()
	}
	close(release)
}

// TestSilentConnection guards against calls on a connection that was lost without notice.
func TestSilentConnection(t *testing.T) {
	fr := newFakeRunner(t, echo)
	en := newTestEntry(t, entryOptions{limit: 30 * time.Second}, fr)
	qt.Assert(t, en.call(t, "GET", "/tidebook/one", "").outcome, qt.Equals, modeler.Answered)
	pl := en.fw.pools()[0].(*pool)
	old := pl.pop()
	old.nc = blackholeConn{old.nc}
	pl.put(old)
	pl.Probe(context.Background(), 0, 20*time.Millisecond)
	var repl *conn
	waitFor(t, func() bool {
		repl = pl.pop()
		return repl != nil
	})
	qt.Check(t, repl != old, qt.IsTrue)
	pl.put(repl)
	qt.Check(t, en.mt.Value(meter.ConnectionsReplaced), qt.Equals, int64(1))
	qt.Check(t, en.call(t, "GET", "/tidebook/two", "").outcome, qt.Equals, modeler.Answered)
}

// blackholeConn accepts bytes but delivers none, like a half-open connection.
type blackholeConn struct{ net.Conn }

func (dc blackholeConn) Write(buf []byte) (int, error) { return len(buf), nil }

// TestPeers guards against lost outcomes, loops and repeated runs of calls that are forwarded to a peer.
func TestPeers(t *testing.T) {
	fr := newFakeRunner(t, echo)
	far := newTestEntry(t, entryOptions{slots: 8}, fr)
	// near has no runners in its data centre, so it forwards all calls to far.
	near := newTestEntry(t, entryOptions{dc: "jaeren", peers: func() []Peer { return []Peer{far.peer("entry2", "stad")} }}, fr)
	rs := near.call(t, "PUT", "/tidebook/x?y=1", "body", "X-End", "2")
	qt.Check(t, rs.outcome, qt.Equals, modeler.Answered)
	qt.Check(t, rs.body, qt.Equals, "/x?y=1|body")
	qt.Check(t, fr.header.Get("X-End"), qt.Equals, "2")
	fr.respond = replyAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello")
	qt.Check(t, near.call(t, "GET", "/tidebook/cut", "").outcome, qt.Equals, modeler.Unknown)
	fr.respond = replyAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
	qt.Check(t, near.call(t, "GET", "/tidebook/cut", "").broken, qt.IsTrue)
	fr.respond = closeConn
	qt.Check(t, near.call(t, "GET", "/tidebook/dead", "").outcome, qt.Equals, modeler.Unknown)
	qt.Check(t, fr.runs("/dead"), qt.Equals, 1)
	far.waitIdle(t)
	far.fw.StopIntake()
	qt.Check(t, near.call(t, "GET", "/tidebook/refused", "").outcome, qt.Equals, modeler.NotRun)
	for _, hop := range []string{"2", "x", "-1"} {
		rq, _ := http.NewRequest("POST", far.peers.URL+PeerPath, nil)
		rq.Header = http.Header{"Currant-Hop": {hop}, "Currant-Step": {"Run"}, "Currant-Target": {"/x"}, "Currant-Method": {"GET"}}
		rp, err := http.DefaultClient.Do(rq)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, rp.Header.Get(modeler.HeaderOutcome), qt.Equals, "NotRun")
		rp.Body.Close()
	}
}

// fakeClaimer is a Claimer in memory.
type fakeClaimer struct {
	mu     sync.Mutex
	claims map[string]*Claim
	err    error
}

func (jn *fakeClaimer) Claim(_ context.Context, key string, _ modeler.ServiceName, digest [32]byte) (Claim, error) {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	if jn.err != nil {
		return Claim{}, jn.err
	}
	if cm := jn.claims[key]; cm != nil {
		if cm.Token != digest {
			return Claim{}, ErrKeyReused
		}
		return Claim{Repeated: true, Outcome: cm.Outcome, Answer: cm.Answer}, nil
	}
	jn.claims[key] = &Claim{Outcome: modeler.Unknown, Token: digest}
	return Claim{Token: key}, nil
}

func (jn *fakeClaimer) Complete(_ context.Context, cm Claim, outcome modeler.Outcome, ans *Answer) error {
	jn.mu.Lock()
	defer jn.mu.Unlock()
	kept := jn.claims[cm.Token.(string)]
	kept.Outcome, kept.Answer = outcome, ans
	return nil
}

// TestKeys guards against a call with a key that runs twice, when it is sent to the owner and through
// another host.
func TestKeys(t *testing.T) {
	fr := newFakeRunner(t, echo)
	jn := &fakeClaimer{claims: map[string]*Claim{}}
	var owner *testEntry
	leader := func(dc modeler.DataCentreName) (Peer, bool) { return owner.peer("entry1", dc), dc == "stad" }
	owner = newTestEntry(t, entryOptions{leader: leader, claimer: jn}, fr)
	far := newTestEntry(t, entryOptions{dc: "jaeren", leader: func(dc modeler.DataCentreName) (Peer, bool) {
		return owner.peer("owner", dc), dc == "stad"
	}}, fr)
	send := func(en *testEntry, key, body string) callResult {
		rs := en.call(t, "POST", "/tidebook/book", body, "Idempotency-Key", key)
		owner.fw.recording.Wait()
		return rs
	}
	for _, en := range []*testEntry{owner, far, owner} {
		rs := send(en, "stad.k1", "seat")
		qt.Check(t, rs.outcome, qt.Equals, modeler.Answered)
		qt.Check(t, rs.body, qt.Equals, "/book|seat")
	}
	qt.Check(t, fr.runs("/book"), qt.Equals, 1)
	qt.Check(t, fr.header.Get("Currant-Key"), qt.Equals, "stad.k1")
	qt.Check(t, fr.header.Get("Idempotency-Key"), qt.Equals, "")
	qt.Check(t, send(far, "stad.k1", "other").body, qt.Contains, "KeyReused")
	fr.respond = closeConn
	for range 2 {
		qt.Check(t, send(owner, "stad.k2", "seat").outcome, qt.Equals, modeler.Unknown)
	}
	qt.Check(t, fr.runs("/book"), qt.Equals, 2)
	for _, tc := range []struct {
		err  error
		want modeler.Outcome
	}{{ErrNotLeader, modeler.Unknown}, {ErrNotClaimed, modeler.NotRun}, {errors.New("lost"), modeler.Unknown}} {
		jn.err = tc.err
		qt.Check(t, send(far, "stad.k3", "seat").outcome, qt.Equals, tc.want)
	}
	qt.Check(t, send(owner, "jaeren.k4", "seat").body, qt.Contains, "KeyOwnerUnreachable")
	qt.Check(t, fr.runs("/book"), qt.Equals, 2)
}
