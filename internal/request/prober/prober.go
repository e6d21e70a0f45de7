// Package prober finds connections whose path has silently lost its state.
package prober

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// A lost path is found by the kernel within keepAliveIdle + keepAliveCount*keepAliveInterval = 3 s,
// with or without a call in flight. The idle probe finds it within IdleBefore + Timeout = 3 s.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
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
	// Probe sends HEAD /healthz on each connection that has been idle for at least the duration and
	// replaces those that do not answer within the timeout.
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
	}
	return dl.DialContext(ctx, "tcp", ep.String())
}

// Run probes the pools that the function lists until the context ends. A round does not wait for
// slow answers of the round before.
func Run(ctx context.Context, pools func() []Pool) {
	tk := time.NewTicker(interval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tk.C:
		}
		for _, pl := range pools() {
			go pl.Probe(ctx, IdleBefore, Timeout)
		}
	}
}
