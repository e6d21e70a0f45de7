package tracker

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

const (
	// The suspect and dead timeouts are the times without heartbeats after which a host becomes
	// suspect or dead. Local hosts are those of this host's data centre.
	localSuspectTimeout  = 3 * time.Second
	localDeadTimeout     = 5 * time.Second
	remoteSuspectTimeout = 15 * time.Second
	remoteDeadTimeout    = 30 * time.Second
	// unlistedMemberTTL is the time without heartbeats after which a host that the configuration
	// does not list is removed.
	unlistedMemberTTL = 10 * time.Minute
	// predecessorWindow is the time after the start of this process in which peers may still relay
	// heartbeats of the previous process of this host.
	predecessorWindow = 10 * time.Second
	// maxOthersPerMessage bounds the digests of other hosts in a message, so that the byte rate
	// does not grow with the number of hosts.
	maxOthersPerMessage = 5
	// changeRelayPeriod is the time for which a change of boot, leadership or leaving is relayed
	// with priority.
	changeRelayPeriod = 10 * time.Second
	// maxMembers bounds the memory that bogus digests can take.
	maxMembers = 1024
	// maxHourCounts bounds the counts in a digest, which has one for each service in each of two
	// hours.
	maxHourCounts = 64
	maxBootBytes  = 64
	// maxNumber bounds the numbers and times of a digest. It leaves room for later ones.
	maxNumber = 1 << 53
	// maxBootStartedMillis is in the year 2248.
	maxBootStartedMillis = 1<<43 - 1
)

// member is another host and the bookkeeping of its digests.
type member struct {
	Peer
	// sequence is the highest sequence number received from Boot.
	sequence int64
	// lastChange is when this host learned of the last change of boot, leadership or leaving.
	lastChange time.Time
	// lastRelay is the value of Tracker.relayMessages when the member was last relayed without a
	// recent change.
	lastRelay int64
	// configured states that the configuration lists the host. Its data centre and address are then
	// those of the configuration.
	configured bool
	// answered states that the member answered the last exchange that this host began.
	answered bool
}

// validDigest reports whether a digest is well-formed and within its limits.
func validDigest(dg *messenger.HostDigest) bool {
	return dg != nil &&
		modeler.ValidName(dg.GetHost()) &&
		modeler.ValidName(dg.GetDataCentre()) &&
		dg.GetBoot() != "" && len(dg.GetBoot()) <= maxBootBytes &&
		dg.GetBootStartedMillis() > 0 && dg.GetBootStartedMillis() <= maxBootStartedMillis &&
		inRange(dg.GetSequence()) && inRange(dg.GetRevision()) && inRange(dg.GetSettledRevision()) && inRange(dg.GetLeaderEpoch()) &&
		len(dg.GetHourCounts()) <= maxHourCounts
}

func inRange(num int64) bool { return num >= 0 && num <= maxNumber }

// receive merges a message. The sender's address is not valid when the message is a peer's request.
func (trk *Tracker) receive(msg exchangeMessage, addr netip.AddrPort) {
	type report struct {
		addr netip.AddrPort
		rev  modeler.Revision
	}
	var reports []report
	var senderRev modeler.Revision
	trk.mu.Lock()
	dgs := append([]*messenger.HostDigest{msg.GetSender()}, msg.GetOthers()...)
	// Besides its sender and the relayed hosts, a response may hold a digest of a newer boot of the
	// receiver.
	for idx, dg := range dgs[:min(len(dgs), maxOthersPerMessage+2)] {
		if !validDigest(dg) {
			trk.opt.Meter.Add(meter.PeerDigestsRefused, 1)
			continue
		}
		if idx > 0 {
			addr = netip.AddrPort{}
		}
		mb := trk.mergeDigest(dg, addr, idx == 0)
		// The sender can be reached, while a relayed host may be cut off from this one.
		if mb == nil || !mb.Address.IsValid() || mb.Revision <= senderRev {
			continue
		}
		reports = append(reports, report{mb.Address, mb.Revision})
		if idx == 0 {
			senderRev = mb.Revision
		}
	}
	trk.mergeAges(msg.GetAges(), msg.GetAgeHosts())
	trk.publishSnapshots()
	trk.mu.Unlock()
	for _, rp := range reports {
		if trk.opt.OnRevision != nil {
			trk.opt.OnRevision(rp.addr, rp.rev)
		}
	}
}

// mergeDigest merges a digest into the member it describes, if the digest is newer. It returns the
// member, or nil when the digest describes this host, is of an older boot or exceeds maxMembers. A
// direct digest comes from the host itself.
func (trk *Tracker) mergeDigest(dg *messenger.HostDigest, addr netip.AddrPort, direct bool) *member {
	name := modeler.HostName(dg.GetHost())
	if name == trk.opt.Self.Name {
		trk.handleOwnNameDigest(dg)
		return nil
	}
	mb := trk.members[name]
	if mb == nil {
		if len(trk.members) >= maxMembers {
			trk.opt.Meter.Add(meter.PeerDigestsRefused, 1)
			return nil
		}
		mb = &member{Peer: Peer{Host: name}}
		trk.members[name] = mb
	}
	if !mb.configured {
		mb.DataCentre = modeler.DataCentreName(dg.GetDataCentre())
	}
	if !mb.configured && addr.IsValid() {
		mb.Address = addr
	}
	started := time.UnixMilli(dg.GetBootStartedMillis())
	boot := modeler.BootID(dg.GetBoot())
	if boot != mb.Boot {
		older := cmp.Or(started.Compare(mb.BootStarted), strings.Compare(dg.GetBoot(), string(mb.Boot))) < 0
		if mb.Boot != "" && older {
			return nil
		}
		trk.beginBoot(mb, boot)
	} else if dg.GetSequence() <= mb.sequence {
		return mb
	}
	mb.BootStarted = started
	trk.applyDigest(mb, dg)
	// A relayed digest may be old. The age of a configured host's heartbeat is relayed separately.
	if direct || !mb.configured {
		trk.recordHeartbeat(mb, time.Now())
	}
	return mb
}

// recordHeartbeat stores the time of a member's heartbeat if it is the first or most recent one,
// and marks the member as alive if that time is within the suspect timeout.
func (trk *Tracker) recordHeartbeat(mb *member, at time.Time) {
	if mb.Health != Unheard && !at.After(mb.LastHeartbeat) {
		return
	}
	mb.LastHeartbeat = at
	suspect, _ := trk.silenceTimeouts(mb)
	if time.Since(at) < suspect {
		trk.setHealth(mb, Alive)
	}
}

// silenceTimeouts returns the times without heartbeats after which a member is suspect and dead.
func (trk *Tracker) silenceTimeouts(mb *member) (suspect, dead time.Duration) {
	if mb.DataCentre == trk.opt.Self.DataCentre {
		return localSuspectTimeout, localDeadTimeout
	}
	return remoteSuspectTimeout, remoteDeadTimeout
}

// beginBoot resets a member for the first heartbeat of a new boot and keeps the last counts of the
// previous one.
func (trk *Tracker) beginBoot(mb *member, boot modeler.BootID) {
	if mb.Boot != "" {
		logger.Log(trk.opt.Log, logger.PeerRestarted, "Host", mb.Host, "Boot", boot)
		mb.PreviousBoot = mb.Boot
		mb.PreviousHourCounts = mb.HourCounts
		mb.HourCounts = nil
		mb.lastChange = time.Now()
	}
	mb.Boot = boot
	mb.sequence = 0
}

// applyDigest copies the state in a digest to a member.
func (trk *Tracker) applyDigest(mb *member, dg *messenger.HostDigest) {
	changed := mb.LeaderEpoch != modeler.Epoch(dg.GetLeaderEpoch()) || mb.Leading != dg.GetLeading() || mb.Leaving != dg.GetLeaving()
	// After the start of this host, the first digest of a member is new to this host only.
	if changed && mb.sequence > 0 {
		mb.lastChange = time.Now()
	}
	mb.sequence = dg.GetSequence()
	mb.Revision = modeler.Revision(dg.GetRevision())
	mb.SettledRevision = modeler.Revision(dg.GetSettledRevision())
	mb.LeaderEpoch = modeler.Epoch(dg.GetLeaderEpoch())
	mb.Leading = dg.GetLeading()
	mb.Load = Load{int(dg.GetFreeSlots()), int(dg.GetQueuedCalls())}
	// Relayed digests carry no counts.
	if len(dg.GetHourCounts()) > 0 {
		mb.HourCounts = dg.GetHourCounts()
	}
	if dg.GetLeaving() && !mb.Leaving {
		logger.Log(trk.opt.Log, logger.PeerLeaving, "Host", mb.Host)
	}
	mb.Leaving = dg.GetLeaving()
}

// handleOwnNameDigest handles a digest of another process of this host that started at the same
// time as this one or later. Within predecessorWindow it is attributed to the previous process,
// whose clock was ahead: this process then reports a later start, so that peers consider it the
// newer one. After the window it is attributed to a newer process, which replaces this one.
func (trk *Tracker) handleOwnNameDigest(dg *messenger.HostDigest) {
	if dg.GetBoot() == trk.self.GetBoot() || dg.GetBootStartedMillis() < trk.self.GetBootStartedMillis() {
		return
	}
	if time.Since(trk.started) < predecessorWindow {
		trk.self.BootStartedMillis = dg.GetBootStartedMillis() + 1
		return
	}
	if trk.replaced {
		return
	}
	trk.replaced = true
	logger.Log(trk.opt.Log, logger.HostReplaced, "Boot", dg.GetBoot())
	if trk.opt.OnReplaced != nil {
		go trk.opt.OnReplaced()
	}
}

// updateHealth marks members as suspect or dead by the time since their last heartbeat, and removes
// silent hosts that the configuration does not list. The caller holds mu.
func (trk *Tracker) updateHealth() {
	for name, mb := range trk.members {
		silence := time.Since(mb.LastHeartbeat)
		suspect, dead := trk.silenceTimeouts(mb)
		switch {
		case !mb.configured && silence >= unlistedMemberTTL:
			delete(trk.members, name)
		case mb.Health == Unheard:
		case silence >= dead:
			trk.setHealth(mb, Dead)
		case silence >= suspect:
			trk.setHealth(mb, Suspect)
		}
	}
}

func (trk *Tracker) setHealth(mb *member, hl Health) {
	if mb.Health == hl {
		return
	}
	mb.Health = hl
	ev := map[Health]logger.Event{
		Alive: logger.PeerAlive, Suspect: logger.PeerSuspect, Dead: logger.PeerDead,
	}[hl]
	logger.Log(trk.opt.Log, ev, "Host", mb.Host, "DataCentre", mb.DataCentre)
}

// publishSnapshots replaces the copies that are read without a lock. The caller holds mu or is New.
func (trk *Tracker) publishSnapshots() {
	vw := make([]Peer, 0, len(trk.members))
	alive := int64(0)
	for _, mb := range trk.members {
		vw = append(vw, mb.Peer)
		if mb.Health == Alive {
			alive++
		}
	}
	slices.SortFunc(vw, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	trk.peersSnapshot.Store(&vw)
	trk.opt.Meter.Set(meter.PeersAlive, alive)
	trk.selfSnapshot.Store(&Peer{
		Host: trk.opt.Self.Name, DataCentre: trk.opt.Self.DataCentre, Address: trk.opt.Self.Peer,
		Boot: trk.opt.Boot, BootStarted: time.UnixMilli(trk.self.GetBootStartedMillis()),
		Health: Alive, LastHeartbeat: time.Now(), Leaving: trk.self.GetLeaving(),
		Revision:        modeler.Revision(trk.self.GetRevision()),
		SettledRevision: modeler.Revision(trk.self.GetSettledRevision()),
		LeaderEpoch:     modeler.Epoch(trk.self.GetLeaderEpoch()),
		Leading:         trk.self.GetLeading(),
		Load:            Load{int(trk.self.GetFreeSlots()), int(trk.self.GetQueuedCalls())},
	})
}

// selfDigest returns this host's digest for a message to a host in the data centre dc. Hour counts
// are sent only within this host's own data centre. The caller holds mu.
func (trk *Tracker) selfDigest(dc modeler.DataCentreName) *messenger.HostDigest {
	dg := &messenger.HostDigest{
		Host: trk.self.Host, Boot: trk.self.Boot, Sequence: trk.self.Sequence,
		Revision: trk.self.Revision, SettledRevision: trk.self.SettledRevision,
		LeaderEpoch: trk.self.LeaderEpoch, Leading: trk.self.Leading, Leaving: trk.self.Leaving,
		FreeSlots: trk.self.FreeSlots, QueuedCalls: trk.self.QueuedCalls,
		BootStartedMillis: trk.self.BootStartedMillis, DataCentre: trk.self.DataCentre,
	}
	if dc == trk.opt.Self.DataCentre && trk.opt.HourCounts != nil {
		counts := trk.opt.HourCounts()
		dg.HourCounts = counts[:min(len(counts), maxHourCounts)]
	}
	return dg
}

// relayedDigests returns the digests of other hosts for a message to a host in the data centre dc:
// the hosts that changed within changeRelayPeriod, those of this host's data centre first and then
// the most recent ones, and, if there is room, one other host in turn. The caller holds mu.
func (trk *Tracker) relayedDigests(receiver modeler.HostName, dc modeler.DataCentreName) []*messenger.HostDigest {
	trk.relayMessages++
	var changed, local, remote []*member
	for _, mb := range trk.members {
		switch {
		case mb.Boot == "" || mb.Health == Dead || mb.Host == receiver:
		case time.Since(mb.lastChange) < changeRelayPeriod:
			changed = append(changed, mb)
		case mb.DataCentre == trk.opt.Self.DataCentre:
			local = append(local, mb)
		// Hosts of the receiver's data centre are left out, since it knows them better.
		case mb.DataCentre != dc:
			remote = append(remote, mb)
		}
	}
	slices.SortFunc(changed, func(a, b *member) int {
		return cmp.Or(trk.dataCentreRank(a)-trk.dataCentreRank(b), b.lastChange.Compare(a.lastChange), cmp.Compare(a.Host, b.Host))
	})
	picked := changed[:min(len(changed), maxOthersPerMessage)]
	if len(picked) < maxOthersPerMessage {
		picked = append(picked, trk.unchangedMember(local, remote)...)
	}
	dgs := make([]*messenger.HostDigest, 0, len(picked)+1)
	for _, mb := range picked {
		dgs = append(dgs, mb.digest())
	}
	return dgs
}

// unchangedMember returns at most one member without a recent change. Relaying it refreshes its
// load and revision at the receiver, and lets restarted receivers learn of all hosts. One per
// message is enough, since ages refresh health; with two, the traffic of a host that announces
// changes came within 4% of its budget.
func (trk *Tracker) unchangedMember(local, remote []*member) []*member {
	if len(remote) == 0 || len(local) > 0 && trk.relayMessages%2 == 0 {
		return trk.leastRecentlyRelayed(local, 1, false)
	}
	// Callers' idempotency keys are sent to the leaders of other data centres. Every fourth message
	// prefers such a leader, so that a restarted host soon knows them.
	return trk.leastRecentlyRelayed(remote, 1, trk.relayMessages%4 == 1)
}

// dataCentreRank returns 0 for members of this host's data centre and 1 for others, to sort by.
func (trk *Tracker) dataCentreRank(mb *member) int {
	if mb.DataCentre == trk.opt.Self.DataCentre {
		return 0
	}
	return 1
}

// leastRecentlyRelayed returns up to limit members that were not relayed for the longest time, with
// leadersFirst those that lead before others. It updates their lastRelay and sorts mbs.
func (trk *Tracker) leastRecentlyRelayed(mbs []*member, limit int, leadersFirst bool) []*member {
	rank := func(mb *member) int {
		if leadersFirst && !mb.Leading {
			return 1
		}
		return 0
	}
	slices.SortFunc(mbs, func(a, b *member) int {
		return cmp.Or(rank(a)-rank(b), cmp.Compare(a.lastRelay, b.lastRelay), cmp.Compare(a.Host, b.Host))
	})
	mbs = mbs[:min(len(mbs), limit)]
	for _, mb := range mbs {
		mb.lastRelay = trk.relayMessages
	}
	return mbs
}

// digest returns the digest that relays a member, which has no hour counts.
func (mb *member) digest() *messenger.HostDigest {
	return &messenger.HostDigest{
		Host: string(mb.Host), Boot: string(mb.Boot), Sequence: mb.sequence,
		Revision: int64(mb.Revision), SettledRevision: int64(mb.SettledRevision),
		LeaderEpoch: int64(mb.LeaderEpoch), Leading: mb.Leading, Leaving: mb.Leaving,
		FreeSlots: int32(mb.Load.FreeSlots), QueuedCalls: int32(mb.Load.QueuedCalls),
		BootStartedMillis: mb.BootStarted.UnixMilli(), DataCentre: string(mb.DataCentre),
	}
}
