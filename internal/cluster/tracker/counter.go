package tracker

import (
	"net"

	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// countedConn counts the bytes of a connection between peers.
type countedConn struct {
	net.Conn
	reg *meter.Registry
}

// Read reads from the connection and counts the bytes as received from peers.
func (cc *countedConn) Read(buf []byte) (int, error) {
	num, err := cc.Conn.Read(buf)
	cc.reg.Add(meter.PeerBytesReceived, int64(num))
	return num, err
}

// Write writes to the connection and counts the bytes as sent to peers.
func (cc *countedConn) Write(buf []byte) (int, error) {
	num, err := cc.Conn.Write(buf)
	cc.reg.Add(meter.PeerBytesSent, int64(num))
	return num, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	reg *meter.Registry
}

// CountListener returns a listener that counts the bytes of its connections as peer traffic. TLS,
// if any, is layered on top of it, so that its overhead is counted.
func CountListener(ln net.Listener, reg *meter.Registry) net.Listener {
	return &countedListener{Listener: ln, reg: reg}
}

// Accept waits for the next connection and returns it with counting.
func (cl *countedListener) Accept() (net.Conn, error) {
	conn, err := cl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, reg: cl.reg}, nil
}
