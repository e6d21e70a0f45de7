package tracker

import (
	"net"

	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// countedConn counts the bytes of a connection of the peers' interface.
type countedConn struct {
	net.Conn
	reg *meter.Registry
}

// Read reads and counts.
func (cc *countedConn) Read(buf []byte) (int, error) {
	num, err := cc.Conn.Read(buf)
	cc.reg.Add(meter.PeerBytesReceived, int64(num))
	return num, err
}

// Write writes and counts.
func (cc *countedConn) Write(buf []byte) (int, error) {
	num, err := cc.Conn.Write(buf)
	cc.reg.Add(meter.PeerBytesSent, int64(num))
	return num, err
}

// countedListener wraps the connections that it accepts.
type countedListener struct {
	net.Listener
	reg *meter.Registry
}

// CountListener returns a listener for the peers' interface whose bytes are counted. TLS, if any,
// is put on top of it, so that its bytes count.
func CountListener(ln net.Listener, reg *meter.Registry) net.Listener {
	return &countedListener{Listener: ln, reg: reg}
}

// Accept waits for a connection.
func (cl *countedListener) Accept() (net.Conn, error) {
	conn, err := cl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, reg: cl.reg}, nil
}
