package requester

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that the transport writes after the call was reported as not sent.
func TestSealedConnWritesNothing(t *testing.T) {
	inner, peer := net.Pipe()
	defer func() { _ = peer.Close() }()
	cc := &countingConn{Conn: inner}
	qt.Assert(t, cc.seal(), qt.Equals, int64(0))
	_, err := cc.Write([]byte("x"))
	qt.Check(t, err, qt.ErrorIs, net.ErrClosed)
}
