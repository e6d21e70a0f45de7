package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/request/admitter"
	"github.com/currantrouter/currantrouter/internal/request/limiter"
	"github.com/currantrouter/currantrouter/internal/request/retrier"
	"github.com/currantrouter/currantrouter/internal/request/router"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// fakeRunner is a TCP server that answers with the bytes or faults of a test, and counts the requests that
// it executes.
type fakeRunner struct {
	ln net.Listener
	// respond answers one request, and returns false to close the connection.
	respond func(fr *fakeRunner, nc net.Conn, rq *http.Request) bool

	mu sync.Mutex
	// executed counts the requests by path.
	executed map[string]int
	// calls and conns count those in progress. maxCalls and maxConns are their maxima.
	calls, conns, maxCalls, maxConns int
	// header is the header of the last request.
	header http.Header
}

func newFakeRunner(tb testing.TB, play func(*fakeRunner, net.Conn, *http.Request) bool) *fakeRunner {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	fr := &fakeRunner{ln: ln, respond: play, executed: map[string]int{}}
	tb.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go fr.serve(nc)
		}
	}()
	return fr
}

func (fr *fakeRunner) change(calls, conns int) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.calls += calls
	fr.conns += conns
	fr.maxCalls, fr.maxConns = max(fr.maxCalls, fr.calls), max(fr.maxConns, fr.conns)
}

func (fr *fakeRunner) serve(nc net.Conn) {
	fr.change(0, 1)
	defer func() {
		fr.change(0, -1)
		nc.Close()
	}()
	br := bufio.NewReader(nc)
	for {
		rq, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if rq.URL.Path == probePath {
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		body, err := io.ReadAll(rq.Body)
		if err != nil {
			return
		}
		rq.Body = io.NopCloser(strings.NewReader(string(body)))
		fr.mu.Lock()
		fr.executed[rq.URL.Path]++
		fr.header = rq.Header
		fr.mu.Unlock()
		fr.change(1, 0)
		more := fr.respond(fr, nc, rq)
		fr.change(-1, 0)
		if !more {
			return
		}
	}
}

func (fr *fakeRunner) runs(path string) int {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return fr.executed[path]
}

// maxConcurrent returns the maximum numbers of concurrent calls and connections.
func (fr *fakeRunner) maxConcurrent() [2]int {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return [2]int{fr.maxCalls, fr.maxConns}
}

func reply(parts ...string) func(*fakeRunner, net.Conn, *http.Request) bool {
	return func(_ *fakeRunner, nc net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(nc, strings.Join(parts, ""))
		return err == nil
	}
}

func echo(_ *fakeRunner, nc net.Conn, rq *http.Request) bool {
	body, _ := io.ReadAll(rq.Body)
	out := rq.URL.RequestURI() + "|" + string(body)
	_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nCurrant-Forged: yes\r\n\r\n%s", len(out), out)
	return err == nil
}

// testEntry is an entry host with servers for callers and peers.
type testEntry struct {
	fw      *Forwarder
	lim     *limiter.Limiter
	callers *httptest.Server
	peers   *httptest.Server
	mt      *meter.Registry
}

type entryOptions struct {
	dc      modeler.DataCentreName
	slots   int
	limit   time.Duration
	repeat  bool
	peers   func() []Peer
	leader  func(modeler.DataCentreName) (Peer, bool)
	claimer Claimer
}

func newTestEntry(tb testing.TB, eo entryOptions, runners ...*fakeRunner) *testEntry {
	if eo.dc == "" {
		eo.dc = "stad"
	}
	cfg := &modeler.Configuration{
		Revision: 1, DataCentres: []modeler.DataCentreName{"stad", "jaeren"},
		Hosts: []modeler.Host{{Name: "entry1", DataCentre: "stad"}},
		Services: []modeler.Service{{
			Name: "tidebook", CallLimit: max(eo.limit, 300*time.Millisecond), Deadline: 250 * time.Millisecond,
			Repeatable: eo.repeat, QueueLimit: 100, BodyLimit: 128 << 10,
		}},
	}
	for ix, fr := range runners {
		cfg.Runners = append(cfg.Runners, modeler.Runner{
			Name: modeler.RunnerName(fmt.Sprint("runner", ix)), DataCentre: "stad", Service: "tidebook",
			Endpoint: netip.MustParseAddrPort(fr.ln.Addr().String()), Slots: max(eo.slots, 1), Connections: 2 * max(eo.slots, 1),
		})
	}
	mt := meter.New(nil)
	en := &testEntry{mt: mt}
	var ad *admitter.Admitter
	en.lim = limiter.New(limiter.Options{
		Host: "entry1", Boot: "boot1", DataCentre: eo.dc, Log: logr.Discard(), Meter: mt,
		OnSlotFreed: func(_ modeler.RunnerName, svc modeler.ServiceName) { ad.NotifySlotFreed(svc) },
	})
	rt := router.New(router.Options{DataCentre: eo.dc, Log: logr.Discard(), Meter: mt, Account: admitter.Accounts(en.lim)})
	ad = admitter.New(admitter.NewSource(rt, en.lim))
	en.fw = New(Options{
		Host: "entry1", DataCentre: eo.dc, Configuration: func() *modeler.Configuration { return cfg }, Limiter: en.lim, Router: rt,
		Admitter: ad, Retrier: retrier.New(), Peers: eo.peers, Leader: eo.leader, Claimer: eo.claimer, Log: logr.Discard(), Meter: mt,
	})
	en.lim.Apply(cfg)
	rt.Apply(cfg)
	ad.Apply(cfg)
	en.fw.Apply(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	go en.fw.Run(ctx)
	en.callers = httptest.NewServer(en.fw.Handler())
	en.peers = httptest.NewServer(en.fw.PeerHandler())
	tb.Cleanup(func() {
		cancel()
		en.callers.Close()
		en.peers.Close()
	})
	return en
}

func (en *testEntry) peer(host modeler.HostName, dc modeler.DataCentreName) Peer {
	return Peer{Host: host, DataCentre: dc, Address: netip.MustParseAddrPort(en.peers.Listener.Addr().String()), Usable: true, FreeSlots: 8}
}

// callResult is the result of a call at the caller.
type callResult struct {
	status  int
	outcome modeler.Outcome
	body    string
	header  http.Header
	// broken states that no complete answer arrived.
	broken bool
}

func (en *testEntry) call(tb testing.TB, method, path, body string, header ...string) callResult {
	var rd io.Reader
	if body != "" {
		rd = strings.NewReader(body)
	}
	rq, err := http.NewRequest(method, en.callers.URL+path, rd)
	qt.Check(tb, err, qt.IsNil)
	for ix := 0; ix < len(header); ix += 2 {
		rq.Header.Set(header[ix], header[ix+1])
	}
	// Each call has its own connection, so that the client cannot replay it.
	tr := &http.Transport{DisableKeepAlives: true, ExpectContinueTimeout: time.Second}
	rp, err := (&http.Client{Transport: tr}).Do(rq)
	if err != nil {
		return callResult{broken: true}
	}
	defer rp.Body.Close()
	out, err := io.ReadAll(rp.Body)
	return callResult{rp.StatusCode, modeler.Outcome(rp.Header.Get(modeler.HeaderOutcome)), string(out), rp.Header, err != nil}
}

// waitIdle waits until no slot is in use. Abandoned calls free their slots after the call limit.
func (en *testEntry) waitIdle(tb testing.TB) {
	for range 400 {
		if en.lim.OutstandingSlots() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	tb.Errorf("%s slots are still counted", strconv.Itoa(en.lim.OutstandingSlots()))
}
