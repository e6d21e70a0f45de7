// Package prober finds connections whose path has silently lost its state.
package prober

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/currantrouter/currantrouter/internal/process/pauser"
)

// A lost path is found by the kernel within keepAliveIdle + keepAliveCount*keepAliveInterval = 3 s,
// with or without a call in flight. The idle probe finds it within IdleBefore + Timeout = 3 s.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout ends a connection whose sent bytes are not acknowledged. Keep-alive sends nothing
	// while such bytes wait, so a request on a lost path would otherwise wait for its call limit. A
	// paused process does not matter: its kernel acknowledges.
	userTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval
	// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package syscall does not name.
	tcpUserTimeout = 0x12
	// IdleBefore is the idle time after which a pooled connection is probed.
	IdleBefore = 2 * time.Second
	// Timeout is the time to wait for the answer to a probe.
	Timeout = time.Second
	// dialTimeout keeps a dead endpoint from holding a slot for long; nothing was sent yet.
	dialTimeout = 2 * time.Second
	// interval is the time between two rounds of probes.
	interval = 250 * time.Millisecond
)

// Pool is a set of pooled idle connections to one endpoint.
type Pool interface {
	// Probe starts to send HEAD /healthz on each connection that has been idle for at least the
	// duration, and replaces those that do not answer within the timeout. It does not block.
	Probe(ctx context.Context, idle, timeout time.Duration)
}

// Dial opens a TCP connection with the keep-alive settings of this package.
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

// DialText is Dial in the form that http.Transport uses.
func DialText(ctx context.Context, _, address string) (net.Conn, error) {
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

// Run probes the pools that the function lists until the context ends.
func Run(ctx context.Context, pools func() []Pool) {
	pauser.Every(ctx, interval, func(ctx context.Context) {
		for _, pl := range pools() {
			pl.Probe(ctx, IdleBefore, Timeout)
		}
	})
}
