// Package prober detects connections that were lost without notice, for example because a middlebox
// dropped their state.
package prober

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/currantrouter/currantrouter/internal/process/pauser"
)

// The kernel detects a lost connection within keepAliveIdle + keepAliveCount*keepAliveInterval = 3 s,
// with or without a call in flight. The idle probe detects it within MinIdle + Timeout = 3 s.
const (
	// keepAliveIdle is the idle time before the first TCP keep-alive probe.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between two TCP keep-alive probes.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered TCP keep-alive probes that end a connection.
	keepAliveCount = 2
	// userTimeout ends a connection whose sent bytes are not acknowledged. Keep-alive probes are not sent
	// while bytes are unacknowledged, so a request on a lost connection would otherwise wait for its call
	// limit. A paused process at the other end is not affected: its kernel acknowledges the bytes.
	userTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval
	// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package syscall does not define.
	tcpUserTimeout = 0x12
	// MinIdle is the idle time after which a pooled connection is probed.
	MinIdle = 2 * time.Second
	// Timeout bounds the wait for the answer to a probe.
	Timeout = time.Second
	// dialTimeout bounds the time for which a call to an unreachable endpoint holds a slot. Nothing of the
	// call was sent by then.
	dialTimeout = 2 * time.Second
	// probeInterval is the time between two rounds of probes.
	probeInterval = 250 * time.Millisecond
)

// Pool is a set of pooled idle connections to one endpoint.
type Pool interface {
	// Probe starts to send HEAD /healthz on each connection that has been idle for at least idle, and
	// replaces those that do not answer within the timeout. It does not block.
	Probe(ctx context.Context, idle, timeout time.Duration)
}

// Dial opens a TCP connection with this package's keep-alive settings and TCP user timeout.
func Dial(ctx context.Context, ep netip.AddrPort) (net.Conn, error) {
	dl := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
	return dl.DialContext(ctx, "tcp", ep.String())
}

// DialHTTP is like Dial, with the signature of http.Transport.DialContext. The address must be an IP
// address and a port.
func DialHTTP(ctx context.Context, _, address string) (net.Conn, error) {
	ep, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return Dial(ctx, ep)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var serr error
	err := raw.Control(func(fd uintptr) {
		serr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return serr
}

// Run probes the pools that the function returns, at regular intervals, until the context ends.
func Run(ctx context.Context, pools func() []Pool) {
	pauser.Every(ctx, probeInterval, func(ctx context.Context) {
		for _, pl := range pools() {
			pl.Probe(ctx, MinIdle, Timeout)
		}
	})
}
