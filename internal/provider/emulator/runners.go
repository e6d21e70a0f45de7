package emulator

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// maxRunnerBodyBytes bounds the request bodies that a runner echoes.
const maxRunnerBodyBytes = 16 << 20

// RunnerOptions describes an emulated runner.
type RunnerOptions struct {
	Name modeler.RunnerName
	// Slots and Connections are the limits of the runner. They are positive.
	Slots, Connections int
	// RunTime returns the time that a call takes. By default it is the duration in the query
	// parameter RunTime, or zero.
	RunTime func(*http.Request) time.Duration
	// GuardsOff makes the runner work above its limits of slots and connections.
	GuardsOff bool
	// IgnoreLimit makes the runner work longer than the time in the header Currant-Timeout.
	// Otherwise it ends its work then and answers 504.
	IgnoreLimit bool
}

// Runner emulates a runner. It answers a call with its own name, the method and path of the call, and
// the request body, so that a caller can check that the answer is complete and belongs to its call.
// It is safe for concurrent use.
type Runner struct {
	options RunnerOptions
	faults  *Faults

	mu     sync.Mutex
	oracle RunnerOracle
	// running is the number of calls in progress.
	running int
	conns   map[net.Conn]*freezableConn
}

// RunnerOracle is what an emulated runner recorded, for tests.
type RunnerOracle struct {
	// Executions counts the executions of each idempotency key.
	Executions map[string]int
	// Calls counts all executions.
	Calls int
	// GreatestCalls is the greatest number of calls in progress.
	GreatestCalls int
	// GreatestConnections is the greatest number of open connections.
	GreatestConnections int
	// Refused counts the calls and connections that the guards refused.
	Refused int
	// Late counts the calls whose run time exceeds the time in the header Currant-Timeout.
	Late int
}

// NewRunner returns a runner that does not listen yet. The faults may be nil.
func NewRunner(fts *Faults, op RunnerOptions) *Runner {
	if fts == nil {
		fts = new(Faults)
	}
	if op.RunTime == nil {
		op.RunTime = queryRunTime
	}
	return &Runner{
		options: op,
		faults:  fts,
		oracle:  RunnerOracle{Executions: map[string]int{}},
		conns:   map[net.Conn]*freezableConn{},
	}
}

func queryRunTime(rq *http.Request) time.Duration {
	dur, _ := time.ParseDuration(rq.URL.Query().Get("RunTime"))
	return dur
}

// Oracle returns a copy of what was recorded.
func (rn *Runner) Oracle() RunnerOracle {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	or := rn.oracle
	or.Executions = maps.Clone(or.Executions)
	return or
}

// Serve answers calls on a listener until the listener is closed.
func (rn *Runner) Serve(ln net.Listener) error {
	return rn.Server().Serve(&freezingListener{Listener: ln, runner: rn})
}

// Server returns an HTTP server for the runner, for tests that bring their own listener.
func (rn *Runner) Server() *http.Server {
	return &http.Server{Handler: rn, ReadHeaderTimeout: time.Minute}
}

// Freeze makes all open connections unresponsive until they are closed. New connections work.
func (rn *Runner) Freeze() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for _, cn := range rn.conns {
		cn.freeze()
	}
}

// closeConns closes all connections, also frozen ones.
func (rn *Runner) closeConns() {
	rn.mu.Lock()
	conns := slices.Collect(maps.Values(rn.conns))
	rn.mu.Unlock()
	for _, cn := range conns {
		_ = cn.Close()
	}
}

// ServeHTTP executes one call.
func (rn *Runner) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if rq.URL.Path == "/healthz" {
		rn.answerProbe(wr)
		return
	}
	sw, faulty := rn.faults.match(PartRunners, "Call", string(rn.options.Name), Unavailable, Slow, AnswerLost, FailEverything, Truncated)
	if faulty && sw.Fault == Unavailable {
		panic(http.ErrAbortHandler)
	}
	if faulty && sw.Fault == FailEverything {
		http.Error(wr, "runner is faulty", http.StatusInternalServerError)
		return
	}
	if !rn.acquireSlot(rq) {
		http.Error(wr, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer rn.releaseSlot()
	body, err := io.ReadAll(io.LimitReader(rq.Body, maxRunnerBodyBytes))
	if err != nil {
		return
	}
	finished := rn.work(rq, sw)
	if faulty && sw.Fault == AnswerLost {
		panic(http.ErrAbortHandler)
	}
	if !finished {
		http.Error(wr, "time limit reached", http.StatusGatewayTimeout)
		return
	}
	rn.answer(wr, rq, body, faulty && sw.Fault == Truncated)
}

func (rn *Runner) answerProbe(wr http.ResponseWriter) {
	if _, failing := rn.faults.match(PartRunners, "Probe", string(rn.options.Name), Unavailable, FailEverything); failing {
		wr.WriteHeader(http.StatusServiceUnavailable)
	}
}

// work sleeps for the run time of the call and returns false when the time limit ended it. It
// continues when the client closes the connection, because a runner does not notice that.
func (rn *Runner) work(rq *http.Request, sw Switch) bool {
	dur := rn.options.RunTime(rq)
	if sw.Fault == Slow {
		dur += sw.Delay
	}
	limit, limited := timeLimit(rq)
	late := limited && dur > limit
	if late && !rn.options.IgnoreLimit {
		dur = limit
	}
	if dur > 0 {
		time.Sleep(dur)
	}
	if late {
		rn.mu.Lock()
		defer rn.mu.Unlock()
		rn.oracle.Late++
	}
	return !late || rn.options.IgnoreLimit
}

func timeLimit(rq *http.Request) (time.Duration, bool) {
	limit, err := strconv.ParseInt(rq.Header.Get(modeler.HeaderTimeout), 10, 64)
	return time.Duration(limit) * time.Millisecond, err == nil
}

func (rn *Runner) answer(wr http.ResponseWriter, rq *http.Request, body []byte, truncated bool) {
	head := fmt.Sprintf("%s %s %s\n", rn.options.Name, rq.Method, rq.URL.RequestURI())
	whole := append([]byte(head), body...)
	wr.Header().Set("Content-Length", strconv.Itoa(len(whole)))
	if !truncated {
		_, _ = wr.Write(whole)
		return
	}
	_, _ = wr.Write(whole[:len(whole)/2])
	// Flushing makes the client see the first half before the connection ends.
	_ = http.NewResponseController(wr).Flush()
	panic(http.ErrAbortHandler)
}

// acquireSlot counts a call, and returns false when all slots are in use.
func (rn *Runner) acquireSlot(rq *http.Request) bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.running >= rn.options.Slots && !rn.options.GuardsOff {
		rn.oracle.Refused++
		return false
	}
	rn.running++
	rn.oracle.Calls++
	rn.oracle.GreatestCalls = max(rn.oracle.GreatestCalls, rn.running)
	if key := rq.Header.Get(modeler.HeaderKey); key != "" {
		rn.oracle.Executions[key]++
	}
	return true
}

func (rn *Runner) releaseSlot() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.running--
}

// freezingListener limits the number of connections and wraps them so that they can be frozen.
type freezingListener struct {
	net.Listener
	runner *Runner
}

// Accept returns the next connection within the limit of the runner.
func (fl *freezingListener) Accept() (net.Conn, error) {
	for {
		cn, err := fl.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if fc, ok := fl.runner.admit(cn); ok {
			return fc, nil
		}
		_ = cn.Close()
	}
}

func (rn *Runner) admit(cn net.Conn) (net.Conn, bool) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if len(rn.conns) >= rn.options.Connections && !rn.options.GuardsOff {
		rn.oracle.Refused++
		return nil, false
	}
	fc := &freezableConn{Conn: cn, runner: rn, frozen: make(chan struct{}), closed: make(chan struct{})}
	rn.conns[cn] = fc
	rn.oracle.GreatestConnections = max(rn.oracle.GreatestConnections, len(rn.conns))
	return fc, true
}

// freezableConn is a connection that can become unresponsive.
type freezableConn struct {
	net.Conn
	runner *Runner
	// frozen is closed once the connection is unresponsive, closed once it is closed.
	frozen, closed        chan struct{}
	freezeOnce, closeOnce sync.Once
}

func (fc *freezableConn) freeze() { fc.freezeOnce.Do(func() { close(fc.frozen) }) }

// Read returns no data once the connection is frozen.
func (fc *freezableConn) Read(bf []byte) (int, error) {
	nm, err := fc.Conn.Read(bf)
	return nm, fc.blockIfFrozen(err)
}

// Write sends no data once the connection is frozen.
func (fc *freezableConn) Write(bf []byte) (int, error) {
	if err := fc.blockIfFrozen(nil); err != nil {
		return 0, err
	}
	return fc.Conn.Write(bf)
}

// blockIfFrozen returns err, or on a frozen connection net.ErrClosed once it is closed.
func (fc *freezableConn) blockIfFrozen(err error) error {
	select {
	case <-fc.frozen:
		<-fc.closed
		return net.ErrClosed
	default:
		return err
	}
}

// Close ends the connection.
func (fc *freezableConn) Close() error {
	fc.closeOnce.Do(func() {
		close(fc.closed)
		fc.runner.mu.Lock()
		delete(fc.runner.conns, fc.Conn)
		fc.runner.mu.Unlock()
	})
	return fc.Conn.Close()
}
