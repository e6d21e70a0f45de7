package requester_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/provider/requester"
)

// Guards against calls that the transport sends twice, and against an error that is wrong about
// whether a call may have had an effect.
func TestClassification(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for name, tc := range map[string]struct {
		serve     http.HandlerFunc
		cancelled bool
		closed    bool
		want      error
		calls     int64
	}{
		"refused connection": {serve: abort, closed: true, want: requester.ErrNotSent},
		"context has ended":  {serve: abort, cancelled: true, want: requester.ErrNotSent},
		"no answer":          {serve: abort, want: requester.ErrAnswerLost, calls: 1},
		"half an answer": {serve: func(wr http.ResponseWriter, _ *http.Request) {
			wr.Header().Set("Content-Length", "100")
			_, _ = wr.Write([]byte("{"))
			_ = http.NewResponseController(wr).Flush()
			panic(http.ErrAbortHandler)
		}, want: requester.ErrAnswerLost, calls: 1},
		"no JSON": {serve: func(wr http.ResponseWriter, _ *http.Request) {
			_, _ = wr.Write([]byte("<html>"))
		}, want: requester.ErrAnswerLost, calls: 1},
		"redirect": {serve: func(wr http.ResponseWriter, rq *http.Request) {
			http.Redirect(wr, rq, "/other", http.StatusTemporaryRedirect)
		}, want: &requester.Failure{}, calls: 1},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			broken := false
			sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
				if !broken {
					_, _ = wr.Write([]byte("{}"))
					return
				}
				calls.Add(1)
				tc.serve(wr, rq)
			}))
			defer sv.Close()
			rr := requester.New()
			defer rr.Close()
			address := netip.MustParseAddrPort(sv.Listener.Addr().String())
			// The first call leaves an idle connection, on which the transport would replay.
			qt.Assert(t, rr.Call(t.Context(), address, "/", struct{}{}, nil), qt.IsNil)
			broken = true
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tc.cancelled {
				cancel()
			}
			if tc.closed {
				// Nothing listens on this port. A port that was just closed could be taken by
				// another test, and an idle connection to it may seem open for a moment.
				address = netip.MustParseAddrPort("127.0.0.1:1")
			}
			var out struct{}
			err := rr.Call(ctx, address, "/", struct{}{}, &out)
			var fl *requester.Failure
			if errors.As(tc.want, &fl) {
				qt.Check(t, errors.As(err, &fl), qt.IsTrue, qt.Commentf("%v", err))
			} else {
				qt.Check(t, err, qt.ErrorIs, tc.want)
			}
			qt.Check(t, calls.Load(), qt.Equals, tc.calls)
		})
	}
}

// failingConn fails all writes after the first.
type failingConn struct {
	net.Conn
	calls *atomic.Int64
}

func (fc failingConn) Write(bf []byte) (int, error) {
	if fc.calls.Add(1) > 1 {
		return 0, errors.New("connection reset")
	}
	return fc.Conn.Write(bf)
}

// Guards against ErrNotSent for a request whose write failed, because a part of it may have been sent.
func TestFailedWrite(t *testing.T) {
	sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { _, _ = wr.Write([]byte("{}")) }))
	defer sv.Close()
	var writes atomic.Int64
	rr := requester.NewWithDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		cn, err := new(net.Dialer).DialContext(ctx, network, address)
		return failingConn{cn, &writes}, err
	})
	defer rr.Close()
	address := netip.MustParseAddrPort(sv.Listener.Addr().String())
	qt.Assert(t, rr.Call(t.Context(), address, "/", struct{}{}, nil), qt.IsNil)
	qt.Check(t, rr.Call(t.Context(), address, "/", struct{}{}, nil), qt.ErrorIs, requester.ErrAnswerLost)
}
