package prober

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDial guards against connections whose loss stays undetected for minutes.
func TestDial(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	nc, err := Dial(t.Context(), netip.MustParseAddrPort(ln.Addr().String()))
	qt.Assert(t, err, qt.IsNil)
	defer nc.Close()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	for opt, want := range map[int]int{syscall.TCP_KEEPIDLE: 1, syscall.TCP_KEEPINTVL: 1, syscall.TCP_KEEPCNT: 2, tcpUserTimeout: 3000} {
		err = raw.Control(func(fd uintptr) {
			got, gerr := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, opt)
			qt.Check(t, gerr, qt.IsNil)
			qt.Check(t, got, qt.Equals, want)
		})
		qt.Check(t, err, qt.IsNil)
	}
}

type countedPool struct{ probes int }

func (cp *countedPool) Probe(context.Context, time.Duration, time.Duration) {
	cp.probes++
}

// TestRun guards against pools that are not probed often enough to replace a connection in 3 s.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cp := &countedPool{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second+probeInterval/2)
		defer cancel()
		Run(ctx, func() []Pool { return []Pool{cp} })
		qt.Check(t, cp.probes, qt.Equals, int(time.Second/probeInterval))
	})
}
