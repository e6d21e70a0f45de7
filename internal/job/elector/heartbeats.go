package elector

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// announce sends heartbeats to all hosts while this one leads, and removes the records of hosts that it has
// not heard of for memberRemovalTimeout.
func (el *Elector) announce(ctx context.Context) {
	if !el.Leading() {
		return
	}
	el.mu.Lock()
	// Heartbeats of a time in which this process stood still may not have been handled yet.
	led := min(time.Since(el.announcedAt), 2*leaderHeartbeatInterval)
	el.announcedAt = time.Now()
	// An earlier leader may have a quorum with hosts that this one does not hear of. PrecludesQuorum needs their
	// records until then.
	removable := el.precludesQuorum(el.own.Epoch) || time.Since(el.epochBegunAt) > minRemovalTermAge
	var addrs []netip.AddrPort
	var expired []*member
	for _, mb := range el.members {
		if mb.Host == el.op.Self.Host {
			continue
		}
		addrs = append(addrs, mb.Address)
		if mb.silentFor += led; removable && mb.silentFor > memberRemovalTimeout {
			expired = append(expired, mb)
		}
	}
	if 2*len(expired) >= len(el.members) {
		// They may be a majority that this host is cut off from.
		expired = nil
	}
	el.mu.Unlock()
	el.sendHeartbeats(ctx, addrs, heartbeatTimeout)
	el.removeRecords(ctx, expired)
}

// sendHeartbeats sends a heartbeat to each address at the same time and waits for the replies.
func (el *Elector) sendHeartbeats(ctx context.Context, addrs []netip.AddrPort, timeout time.Duration) {
	var eg errgroup.Group
	for _, addr := range addrs {
		eg.Go(func() error {
			el.sendHeartbeat(ctx, addr, timeout)
			return nil
		})
	}
	// Heartbeats return no error: a host that does not reply is detected by the time of its last
	// reply.
	_ = eg.Wait()
}

// sendHeartbeat sends a heartbeat to the host at the address and records what the reply reports.
func (el *Elector) sendHeartbeat(ctx context.Context, addr netip.AddrPort, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := el.op.Dial(addr).Greet(ctx, el.newGreeting(addr))
	el.noteRefusal(addr, errors.Is(err, syscall.ECONNREFUSED), sentAt)
	if err != nil {
		return
	}
	el.observe(reply, sentAt)
}

// noteRefusal records whether the address refused the connection for a heartbeat that was sent at a time.
func (el *Elector) noteRefusal(addr netip.AddrPort, refused bool, sentAt time.Time) {
	el.mu.Lock()
	defer el.mu.Unlock()
	if addr == el.watched().Address {
		el.leaderRefuses = refused
	}
	if !refused {
		return
	}
	for _, mb := range el.members {
		if mb.Address == addr {
			mb.refusedAt = later(mb.refusedAt, sentAt)
		}
	}
}

// newGreeting returns a heartbeat for the host at the address with what this host knows now, without a later leader while
// a term of this host ends.
func (el *Elector) newGreeting(to netip.AddrPort) *messenger.Greeting {
	el.mu.Lock()
	defer el.mu.Unlock()
	// Only a leader reports zero.
	leader, sinceSeen := el.leader, max(time.Since(el.leaderLastSeen), time.Millisecond)
	if el.inTerm && el.epochBegun {
		leader, sinceSeen = el.own, 0
	}
	var fences []*messenger.WorkerFence
	if sinceSeen == 0 && el.op.WorkerFences != nil {
		fences = encodeFences(el.op.WorkerFences(to))
	}
	return &messenger.Greeting{
		Host: string(el.op.Self.Host), Boot: string(el.op.Self.Boot), Address: el.op.Self.Address.String(),
		Weight: el.op.Self.Weight, Leaving: el.draining, DataCentre: string(el.op.Self.DataCentre),
		Epoch: int64(leader.Epoch), Leader: string(leader.Host), LeaderBoot: string(leader.Boot),
		LeaderAddress: leader.Address.String(), Silence: sinceSeen.Milliseconds(),
		StoreAge: el.op.StoreAge().Milliseconds(), Revision: el.op.ConfigurationRevision(), Refused: el.leaderEnded(),
		Uptime: time.Since(el.startedAt).Milliseconds(), KnownEpochs: el.reportedEpochs(leader.Epoch),
		WorkerFences: fences,
	}
}

// checkGreeting returns what a message says of its sender and of the leader, which is zero if the
// sender knows none. Errors: ErrInvalidMember.
func checkGreeting(gr *messenger.Greeting) (sender Member, leader Leader, err error) {
	addr, err := netip.ParseAddrPort(gr.Address)
	if err != nil {
		return Member{}, Leader{}, fmt.Errorf("%w: %w", ErrInvalidMember, err)
	}
	sender = Member{Host: fleet.HostName(gr.Host), Boot: fleet.BootID(gr.Boot), Address: addr, Weight: gr.Weight, DataCentre: fleet.DataCentreName(gr.DataCentre)}
	if err := sender.Check(); err != nil {
		return Member{}, Leader{}, err
	}
	if gr.Epoch < 0 || gr.Epoch > int64(modeler.MaxEpoch) || gr.Revision < 0 || gr.Revision > modeler.MaxRevision || gr.Uptime < 0 {
		return Member{}, Leader{}, fmt.Errorf("%w: epoch %d, revision %d, uptime %d", ErrInvalidMember, gr.Epoch, gr.Revision, gr.Uptime)
	}
	for _, ke := range gr.KnownEpochs {
		if ke.Epoch <= 0 || ke.Epoch > gr.Epoch || ke.Age < 0 {
			return Member{}, Leader{}, fmt.Errorf("%w: epoch %d known for %d ms beside epoch %d", ErrInvalidMember, ke.Epoch, ke.Age, gr.Epoch)
		}
	}
	if gr.Epoch == 0 {
		return sender, Leader{}, nil
	}
	addr, err = netip.ParseAddrPort(gr.LeaderAddress)
	if err != nil {
		return Member{}, Leader{}, fmt.Errorf("%w: leader: %w", ErrInvalidMember, err)
	}
	leading := Member{Host: fleet.HostName(gr.Leader), Boot: fleet.BootID(gr.LeaderBoot), Address: addr}
	if err := leading.Check(); err != nil {
		return Member{}, Leader{}, err
	}
	return sender, Leader{Epoch: modeler.Epoch(gr.Epoch), Host: leading.Host, Boot: leading.Boot, Address: addr}, nil
}

// observe records what another host reported in a heartbeat, or in the reply to one that was sent at a time.
func (el *Elector) observe(gr *messenger.Greeting, repliedTo time.Time) {
	if gr.Host == string(el.op.Self.Host) {
		return
	}
	sender, leader, err := checkGreeting(gr)
	if err != nil {
		el.invalid.Report(logger.PeerInvalid, meter.ReportsInvalid, gr.Address+" "+gr.Host, err, "Peer", fmt.Sprintf("%.100q", gr.Address))
		return
	}
	if gr.Revision > el.op.ConfigurationRevision() {
		el.op.OnHigherRevision(sender.Address, gr.Revision)
	}
	el.observeFences(gr)
	el.mu.Lock()
	defer el.mu.Unlock()
	now := time.Now()
	mb := el.getOrAddMember(sender.Host)
	mb.Boot, mb.Address, mb.Weight, mb.DataCentre = sender.Boot, sender.Address, sender.Weight, cmp.Or(sender.DataCentre, mb.DataCentre)
	// A process never stops draining. Its messages may arrive in another order.
	mb.draining = gr.Leaving || mb.draining && mb.reportedBy == sender.Boot
	if mb.reportedBy != sender.Boot {
		mb.formerSeenAt = later(mb.lastHeartbeat, mb.lastReply)
		mb.processSeenAt, mb.startedBy, mb.confirmedAt = now, now, time.Time{}
	}
	mb.noteUptime(modeler.DurationFromMillis(gr.Uptime), now)
	mb.noteEpochs(gr.KnownEpochs, leader.Epoch, now)
	mb.reportedBy, mb.epoch = sender.Boot, leader.Epoch
	mb.sinceLeaderSeen = modeler.DurationFromMillis(gr.Silence)
	mb.storeAge = modeler.DurationFromMillis(gr.StoreAge)
	mb.leaderRefuses, mb.silentFor = gr.Refused, 0
	mb.leading = gr.Leader == gr.Host && gr.LeaderBoot == gr.Boot && gr.Silence == 0
	if repliedTo.IsZero() {
		mb.lastHeartbeat = now
	} else {
		mb.lastReply = now
		if leader.Epoch <= el.own.Epoch {
			mb.confirmedAt = later(mb.confirmedAt, repliedTo)
		}
	}
	el.observeLeader(leader, mb, now)
}

// noteUptime records for how long, by its own clock, the sender of a message that arrives now has been up. The time under
// way makes startedBy later than it was.
func (mb *member) noteUptime(uptime time.Duration, now time.Time) {
	started := later(now.Add(-time.Duration(float64(uptime)*(1-maxClockDrift))), mb.formerSeenAt)
	if started.Before(mb.startedBy) {
		mb.startedBy = started
	}
}

// observeLeader follows a leader with a higher epoch, and ends this host's own term then. Otherwise
// it updates leaderLastSeen if the sender is the current leader. The caller holds mu.
func (el *Elector) observeLeader(leader Leader, mb *member, now time.Time) {
	if leader.Epoch > el.leader.Epoch {
		el.checkRefusals(&leader)
		el.leader = leader
		el.epochs = addEpoch(el.epochs, knownEpoch{epoch: leader.Epoch, at: now})
		el.leaderKnownAt, el.leaderLastSeen, el.leaderRevisionAt, el.noLeaderSince, el.leaderRefuses = now, now, time.Time{}, time.Time{}, false
		logger.Log(el.op.Log, logger.LeaderElected, "Epoch", leader.Epoch, "Leader", leader.Host, "Self", false)
		if el.inTerm && el.epochBegun {
			el.cancelTerm()
		}
		return
	}
	// The leader counts as seen if it reaches the store, or if this host does not reach it either.
	// Otherwise the suspicion timeout goes on, so that the leader is replaced.
	counts := mb.storeAge < storeContactTimeout || el.op.StoreAge() > storeContactTimeout
	if leader.Epoch == el.leader.Epoch && mb.leading && mb.Boot == el.leader.Boot && counts {
		el.leaderLastSeen, el.noLeaderSince = later(el.leaderLastSeen, now), time.Time{}
	}
}

// HandleGreeting records another host's heartbeat and returns the reply.
func (el *Elector) HandleGreeting(gr *messenger.Greeting) *messenger.Greeting {
	el.observe(gr, time.Time{})
	// An address that is none is told of no worker.
	addr, _ := netip.ParseAddrPort(gr.Address)
	return el.newGreeting(addr)
}

// later returns the later of two times.
func later(one, two time.Time) time.Time {
	if two.After(one) {
		return two
	}
	return one
}
