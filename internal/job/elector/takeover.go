package elector

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
)

// startTerm runs a term that replaces an epoch in the background, unless one runs already, this host drains
// or knows a later epoch. The caller holds mu.
func (el *Elector) startTerm(replaced modeler.Epoch) {
	if el.inTerm || el.draining || el.runCtx == nil || el.watched().Epoch > replaced {
		return
	}
	// Drain ends the term.
	termCtx, cancel := context.WithCancel(context.WithoutCancel(el.runCtx))
	el.inTerm, el.epochBegun, el.replaced, el.cancelTerm = true, false, replaced, cancel
	el.termBegun, el.termDone = make(chan struct{}), make(chan struct{})
	done := el.termDone
	go func() {
		defer close(done)
		defer cancel()
		err := el.op.Lead(termCtx)
		el.mu.Lock()
		defer el.mu.Unlock()
		if el.epochBegun {
			el.endOwnTerm(time.Now())
		}
		el.inTerm, el.epochBegun = false, false
		if el.awaited.Epoch <= el.leader.Epoch {
			// Another host that began an epoch first needs time to make itself known.
			el.leaderLastSeen = time.Now().Add(newLeaderGrace - suspicionTimeout)
		}
		el.leaderRevisionAt, el.noLeaderSince = time.Time{}, time.Time{}
		cause := ""
		if err != nil {
			cause = err.Error()
		}
		logger.Log(el.op.Log, logger.LeadershipEnded, "Epoch", el.leader.Epoch, "Cause", cause)
	}()
}

// Drain ends a term of this host, prevents further ones, and, if this host led, asks another one to
// take over at once.
func (el *Elector) Drain() {
	el.mu.Lock()
	el.draining = true
	inTerm, cancelTerm := el.inTerm, el.cancelTerm
	begun, done := el.termBegun, el.termDone
	el.mu.Unlock()
	if !inTerm {
		return
	}
	// An epoch record that is being written is completed, so that leadership can be handed over. Without
	// that, the other hosts wait for a leader that never makes itself known.
	select {
	case <-begun:
	case <-done:
	case <-time.After(heartbeatTimeout):
	}
	cancelTerm()
	<-done
	el.resign()
}

// resign asks one host after the other to take over until one does, if this host led last: first those that it
// is in contact with, and then all others.
func (el *Elector) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*heartbeatTimeout)
	defer cancel()
	asked := map[netip.AddrPort]bool{}
	for _, poll := range [...]bool{false, true} {
		if poll && el.ledLast() {
			// Hosts that do not lead are in contact with the leader only.
			el.sendHeartbeats(ctx, el.otherHosts(), pollTimeout)
		}
		for _, addr := range el.successors() {
			if asked[addr] {
				continue
			}
			if !el.ledLast() || ctx.Err() != nil {
				return
			}
			asked[addr] = true
			if el.askToTakeOver(ctx, addr) == nil {
				return
			}
		}
	}
}

// ledLast reports whether this process began the last epoch that it knows of.
func (el *Elector) ledLast() bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.own.Epoch != 0 && el.own == el.leader
}

func (el *Elector) askToTakeOver(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	_, err := el.op.Dial(addr).Resign(ctx, el.newGreeting(addr))
	return err
}

// ErrLaterEpoch means that another host has begun a later epoch.
var ErrLaterEpoch = errors.New("another host has begun a later epoch")

// EpochBegun records that the epoch of this host's term has begun, and announces the new leader to
// all hosts. Errors: ErrLaterEpoch if a host that has replaced this one already was heard of during the
// term.
func (el *Elector) EpochBegun(epoch modeler.Epoch) error {
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.leader.Epoch > max(epoch, el.replaced) {
		return fmt.Errorf("beginning epoch %d: %w: epoch %d of host %s", epoch, ErrLaterEpoch, el.leader.Epoch, el.leader.Host)
	}
	self := el.op.Self
	el.own = Leader{Epoch: epoch, Host: self.Host, Boot: self.Boot, Address: self.Address}
	el.leader, el.awaited = el.own, Leader{}
	now := time.Now()
	el.epochBegun, el.epochBegunAt, el.announcedAt, el.leaderLastSeen, el.leaderKnownAt = true, now, now, now, now
	el.epochs = addEpoch(el.epochs, knownEpoch{epoch: epoch, at: now})
	if el.inTerm {
		close(el.termBegun)
	}
	logger.Log(el.op.Log, logger.LeaderElected, "Epoch", epoch, "Leader", self.Host, "Self", true)
	go el.announce(context.Background())
	go el.listMembers(context.Background())
	return nil
}

// MayReplace reports whether this host's term may begin an epoch after the one of the given process, which
// is the last in the journal. It may not if that epoch is later than the one that the term was to replace:
// another host has won, and this one waits for it to make itself known.
func (el *Elector) MayReplace(epoch modeler.Epoch, host fleet.HostName, boot fleet.BootID) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	switch {
	case el.draining || el.watched().Epoch > el.replaced:
		return false
	case epoch <= el.replaced || el.hasStopped(host, boot, epoch+1):
		return true
	case el.replaced == 0 && !el.reported(host, boot):
		// This host has heard of no leader. The epoch is probably from before the hosts were started.
		return true
	}
	el.awaited = Leader{Epoch: epoch, Host: host, Boot: boot}
	el.checkRefusals(&el.awaited)
	if mb := el.members[host]; mb != nil {
		el.awaited.Address = mb.Address
	}
	el.leaderLastSeen, el.leaderRevisionAt, el.leaderRefuses = time.Now(), time.Time{}, false
	return false
}

// reported reports whether a message of the process has arrived. The caller holds mu.
func (el *Elector) reported(host fleet.HostName, boot fleet.BootID) bool {
	mb := el.members[host]
	return mb != nil && mb.reportedBy == boot
}

// watched returns the leader that this host expects to lead and replaces if it does not. The caller holds mu.
func (el *Elector) watched() Leader {
	if el.awaited.Epoch > el.leader.Epoch {
		return el.awaited
	}
	return el.leader
}

// successors returns the addresses of the other hosts that can lead, the preferred first.
func (el *Elector) successors() []netip.AddrPort {
	return el.reachablePeers(maxSuccessorSilence, func(one, two *member) int { return compareCandidates(&one.Member, &two.Member) })
}

// ErrNotTakenOver means that a host has not taken leadership over.
var ErrNotTakenOver = errors.New("leadership not taken over")

// HandleResignation takes leadership over from the leader, which has stopped, and returns when another host
// than the sender leads. Errors: ErrNotTakenOver if the sender is not the leader, this host cannot lead, or
// its epoch does not begin within heartbeatTimeout. It may still begin then.
func (el *Elector) HandleResignation(ctx context.Context, gr *messenger.Greeting) error {
	el.observe(gr, time.Time{})
	epoch := modeler.Epoch(gr.Epoch)
	el.mu.Lock()
	if el.leader.Epoch == epoch && el.leader.Host == fleet.HostName(gr.Host) && el.leader.Boot == fleet.BootID(gr.Boot) {
		if mb := el.members[el.leader.Host]; mb != nil {
			mb.resigned = el.leader.Boot
		}
		if el.op.StoreAge() <= storeContactTimeout {
			el.startTerm(epoch)
		}
	}
	inTerm, begun, done := el.inTerm, el.termBegun, el.termDone
	el.mu.Unlock()
	if inTerm {
		select {
		case <-begun:
		case <-done:
		case <-ctx.Done():
		case <-time.After(heartbeatTimeout):
		}
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.watched().Epoch <= epoch {
		return ErrNotTakenOver
	}
	return nil
}
