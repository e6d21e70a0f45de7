package elector

import (
	"fmt"
	"net/netip"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// maxFencesRead bounds the workers of one message that are read.
const maxFencesRead = 64

func encodeFences(list []modeler.WorkerFence) []*messenger.WorkerFence {
	var msgs []*messenger.WorkerFence
	for ix := range list {
		wf := &list[ix]
		msgs = append(msgs, &messenger.WorkerFence{
			Worker: string(wf.ID), Address: wf.Address.String(), Fence: int64(wf.Fence), Left: wf.Left.Milliseconds(),
		})
	}
	return msgs
}

// checkFence returns what an entry of a message says, which names the highest epoch that its sender knows. Errors:
// modeler.ErrInvalidWorker.
func checkFence(msg *messenger.WorkerFence, highest modeler.Epoch) (modeler.WorkerFence, error) {
	addr, err := netip.ParseAddrPort(msg.Address)
	if err != nil {
		return modeler.WorkerFence{}, fmt.Errorf("%w: %w", modeler.ErrInvalidWorker, err)
	}
	wf := modeler.WorkerFence{
		ID: modeler.WorkerID(msg.Worker), Address: addr, Fence: modeler.Fence(msg.Fence), Left: modeler.DurationFromMillis(msg.Left),
	}
	if wf.Fence >= modeler.NewFence(highest+1, 0) {
		return modeler.WorkerFence{}, fmt.Errorf("%w: fencing token %d in epoch %d", modeler.ErrInvalidWorker, wf.Fence, highest)
	}
	return wf, wf.Check()
}

// observeFences passes on the workers that a valid message names, without those that are invalid.
func (el *Elector) observeFences(gr *messenger.Greeting) {
	if len(gr.WorkerFences) == 0 || el.op.OnWorkerFences == nil {
		return
	}
	var list []modeler.WorkerFence
	for _, msg := range gr.WorkerFences[:min(len(gr.WorkerFences), maxFencesRead)] {
		wf, err := checkFence(msg, modeler.Epoch(gr.Epoch))
		if err != nil {
			el.invalid.Report(logger.PeerInvalid, meter.ReportsInvalid, gr.Address+" "+gr.Host, err, "Peer", fmt.Sprintf("%.100q", gr.Address))
			continue
		}
		list = append(list, wf)
	}
	el.op.OnWorkerFences(list)
}
