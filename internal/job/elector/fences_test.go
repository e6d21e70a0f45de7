package elector

import (
	"math"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// Guards against a message of a peer that has this host call an address that is none, or give a worker a token that no leader has.
func TestWorkerFenceOutOfBounds(t *testing.T) {
	valid := modeler.WorkerFence{ID: "worker", Address: netip.MustParseAddrPort("10.0.0.1:80"), Fence: modeler.NewFence(3, 7), Left: 15 * time.Second}
	for name, corrupt := range map[string]func(*messenger.WorkerFence){
		"no name":            func(msg *messenger.WorkerFence) { msg.Worker = "" },
		"no address":         func(msg *messenger.WorkerFence) { msg.Address = "worker" },
		"port 0":             func(msg *messenger.WorkerFence) { msg.Address = "10.0.0.1:0" },
		"no token":           func(msg *messenger.WorkerFence) { msg.Fence = 0 },
		"token of epoch 4":   func(msg *messenger.WorkerFence) { msg.Fence = int64(modeler.NewFence(4, 0)) },
		"time that is over":  func(msg *messenger.WorkerFence) { msg.Left = 0 },
		"time without limit": func(msg *messenger.WorkerFence) { msg.Left = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			msg := encodeFences([]modeler.WorkerFence{valid})[0]
			wf, err := checkFence(msg, 3)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, wf, qt.Equals, valid)
			corrupt(msg)
			_, err = checkFence(msg, 3)
			qt.Check(t, err, qt.ErrorIs, modeler.ErrInvalidWorker)
		})
	}
}
