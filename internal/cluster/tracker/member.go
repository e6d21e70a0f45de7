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

// Limits of silence and sizes.
const (
	suspectAfter       = 3 * time.Second
	deadAfter          = 5 * time.Second
	remoteSuspectAfter = 15 * time.Second
	remoteDeadAfter    = 30 * time.Second
	// forgetAfter removes a silent host that the configuration does not list.
	forgetAfter = 10 * time.Minute
	// predecessorWindow is the time after the start in which heartbeats of the process before may
	// still be passed on by peers.
	predecessorWindow = 10 * time.Second
	// othersPerMessage bounds the hosts that a message passes on, so that the rate does not grow
	// with their number.
	othersPerMessage = 5
	// changeAge is the time for which a change of boot, leadership or leaving is passed on.
	changeAge = 10 * time.Second
	// maxMembers bounds the memory that wrong digests can take.
	maxMembers = 1024
	// maxHourCounts bounds the counts of one digest: a count for each service and two hours.
	maxHourCounts = 64
	maxBootBytes  = 64
)

// member is a host with what this host needs to keep track of it.
type member struct {
	Peer
	// sequence is that of the newest heartbeat of Boot.
	sequence int64
	// changed is the time of the last change of boot, leadership or leaving.
	changed time.Time
	// passedOn numbers the last message that passed the member on without a change.
	passedOn int64
	// configured states that the configuration lists the host. Its data centre and address then
	// come from there.
	configured bool
}

// valid reports that a digest may be merged.
func valid(dg *messenger.HostDigest) bool {
	return dg != nil &&
		modeler.ValidName(dg.GetHost()) &&
		modeler.ValidName(dg.GetDataCentre()) &&
		dg.GetBoot() != "" && len(dg.GetBoot()) <= maxBootBytes &&
		dg.GetBootStartedMillis() > 0 &&
		dg.GetSequence() >= 0 &&
		dg.GetRevision() >= 0 && dg.GetSettledRevision() >= 0 && dg.GetLeaderEpoch() >= 0 &&
		len(dg.GetHourCounts()) <= maxHourCounts
}

// receive merges a message. The sender's address is not valid when a peer has called this host.
func (trk *Tracker) receive(msg message, addr netip.AddrPort) {
	type report struct {
		addr netip.AddrPort
		rev  modeler.Revision
	}
	var reports []report
	trk.mu.Lock()
	dgs := append([]*messenger.HostDigest{msg.GetSender()}, msg.GetOthers()...)
	// A message has room for the digest of another boot of the receiver.
	for idx, dg := range dgs[:min(len(dgs), othersPerMessage+2)] {
		if !valid(dg) {
			trk.opt.Meter.Add(meter.PeerDigestsRefused, 1)
			continue
		}
		if idx > 0 {
			addr = netip.AddrPort{}
		}
		if mb := trk.merge(dg, addr, idx == 0); mb != nil && mb.Address.IsValid() {
			reports = append(reports, report{mb.Address, mb.Revision})
		}
	}
	trk.mergeAges(msg.GetAges(), msg.GetAgeHosts())
	trk.publish()
	trk.mu.Unlock()
	for _, rp := range reports {
		if trk.opt.Learned != nil {
			trk.opt.Learned(rp.addr, rp.rev)
		}
	}
}

// merge stores a digest if it is newer than what is known. It returns nil for this host and for
// digests that are not merged. A direct one comes from the host itself.
func (trk *Tracker) merge(dg *messenger.HostDigest, addr netip.AddrPort, direct bool) *member {
	name := modeler.HostName(dg.GetHost())
	if name == trk.opt.Self.Name {
		trk.meetOwnName(dg)
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
		trk.reboot(mb, boot)
	} else if dg.GetSequence() <= mb.sequence {
		return mb
	}
	mb.BootStarted = started
	trk.update(mb, dg)
	// The digest of a listed host may be old when a peer passes it on; its age comes beside it.
	if direct || !mb.configured {
		trk.hear(mb, time.Now())
	}
	return mb
}

// hear stores the time of a heartbeat.
func (trk *Tracker) hear(mb *member, at time.Time) {
	if mb.Health != Unheard && !at.After(mb.Heard) {
		return
	}
	mb.Heard = at
	suspect, _ := trk.limits(mb)
	if time.Since(at) < suspect {
		trk.setHealth(mb, Alive)
	}
}

// limits returns the silence after which a host is suspect and dead.
func (trk *Tracker) limits(mb *member) (suspect, dead time.Duration) {
	if mb.DataCentre == trk.opt.Self.DataCentre {
		return suspectAfter, deadAfter
	}
	return remoteSuspectAfter, remoteDeadAfter
}

// reboot prepares a member for the first heartbeat of a new process.
func (trk *Tracker) reboot(mb *member, boot modeler.BootID) {
	if mb.Boot != "" {
		logger.Log(trk.opt.Log, logger.PeerRestarted, "Host", mb.Host, "Boot", boot)
		mb.FormerBoot = mb.Boot
		mb.FormerCounts = mb.HourCounts
		mb.HourCounts = nil
		mb.changed = time.Now()
	}
	mb.Boot = boot
	mb.sequence = 0
}

func (trk *Tracker) update(mb *member, dg *messenger.HostDigest) {
	differs := mb.LeaderEpoch != modeler.Epoch(dg.GetLeaderEpoch()) || mb.Leading != dg.GetLeading() || mb.Leaving != dg.GetLeaving()
	// What a host learns after its own start is news to itself only.
	if differs && mb.sequence > 0 {
		mb.changed = time.Now()
	}
	mb.sequence = dg.GetSequence()
	mb.Revision = modeler.Revision(dg.GetRevision())
	mb.SettledRevision = modeler.Revision(dg.GetSettledRevision())
	mb.LeaderEpoch = modeler.Epoch(dg.GetLeaderEpoch())
	mb.Leading = dg.GetLeading()
	mb.Load = Load{int(dg.GetFreeSlots()), int(dg.GetQueuedCalls())}
	// Digests that are passed on carry no counts.
	if len(dg.GetHourCounts()) > 0 {
		mb.HourCounts = dg.GetHourCounts()
	}
	if dg.GetLeaving() && !mb.Leaving {
		logger.Log(trk.opt.Log, logger.PeerLeaving, "Host", mb.Host)
	}
	mb.Leaving = dg.GetLeaving()
}

// meetOwnName handles a heartbeat under this host's own name. Shortly after the start it belongs
// to the process before, whose clock may have been ahead: this process then moves the start it
// reports behind it, so that peers take it for the newer one. Later it belongs to a newer process.
func (trk *Tracker) meetOwnName(dg *messenger.HostDigest) {
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
	if trk.opt.Replaced != nil {
		go trk.opt.Replaced()
	}
}

// age moves the health of all members by the time since their last heartbeat.
func (trk *Tracker) age() {
	for name, mb := range trk.members {
		silent := time.Since(mb.Heard)
		suspect, dead := trk.limits(mb)
		switch {
		case !mb.configured && silent >= forgetAfter:
			delete(trk.members, name)
		case mb.Health == Unheard:
		case silent >= dead:
			trk.setHealth(mb, Dead)
		case silent >= suspect:
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

// publish replaces the copies that are read without a lock. The caller holds mu, or is New.
func (trk *Tracker) publish() {
	vw := make([]Peer, 0, len(trk.members))
	alive := int64(0)
	for _, mb := range trk.members {
		vw = append(vw, mb.Peer)
		if mb.Health == Alive {
			alive++
		}
	}
	slices.SortFunc(vw, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	trk.view.Store(&vw)
	trk.opt.Meter.Set(meter.PeersAlive, alive)
	trk.own.Store(&Peer{
		Host: trk.opt.Self.Name, DataCentre: trk.opt.Self.DataCentre, Address: trk.opt.Self.Peer,
		Boot: trk.opt.Boot, BootStarted: time.UnixMilli(trk.self.GetBootStartedMillis()),
		Health: Alive, Heard: time.Now(), Leaving: trk.self.GetLeaving(),
		Revision:        modeler.Revision(trk.self.GetRevision()),
		SettledRevision: modeler.Revision(trk.self.GetSettledRevision()),
		LeaderEpoch:     modeler.Epoch(trk.self.GetLeaderEpoch()),
		Leading:         trk.self.GetLeading(),
		Load:            Load{int(trk.self.GetFreeSlots()), int(trk.self.GetQueuedCalls())},
	})
}

// sender returns this host's digest for a message to a data centre. Counts are sent only within
// the own one.
func (trk *Tracker) sender(dc modeler.DataCentreName) *messenger.HostDigest {
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

// others returns digests for a message to a host: the hosts that changed last, own data centre
// first, and one other in turn.
func (trk *Tracker) others(receiver modeler.HostName, dc modeler.DataCentreName) []*messenger.HostDigest {
	trk.messages++
	var changed, own, far []*member
	for _, mb := range trk.members {
		switch {
		case mb.Boot == "" || mb.Health == Dead || mb.Host == receiver:
		case time.Since(mb.changed) < changeAge:
			changed = append(changed, mb)
		case mb.DataCentre == trk.opt.Self.DataCentre:
			own = append(own, mb)
		// A message to another data centre brings it nothing on its own hosts.
		case mb.DataCentre != dc:
			far = append(far, mb)
		}
	}
	slices.SortFunc(changed, func(a, b *member) int {
		return cmp.Or(trk.distance(a)-trk.distance(b), b.changed.Compare(a.changed), cmp.Compare(a.Host, b.Host))
	})
	picked := changed[:min(len(changed), othersPerMessage)]
	if len(picked) < othersPerMessage {
		picked = append(picked, trk.refreshed(own, far)...)
	}
	dgs := make([]*messenger.HostDigest, 0, len(picked)+1)
	for _, mb := range picked {
		dgs = append(dgs, mb.digest())
	}
	return dgs
}

// refreshed returns one host that has not changed. It refreshes load and revision and tells
// restarted hosts of all others. One is enough: ages refresh health, and two took messages of a
// host that spreads changes to within 4% of their budget.
func (trk *Tracker) refreshed(own, far []*member) []*member {
	if len(far) == 0 || len(own) > 0 && trk.messages%2 == 0 {
		return trk.inTurn(own, 1, false)
	}
	// Callers' keys are sent to the leaders of other data centres; every fourth message refreshes
	// one of these, so that a restarted host knows them soon.
	return trk.inTurn(far, 1, trk.messages%4 == 1)
}

// distance is 0 for the own data centre and 1 for others.
func (trk *Tracker) distance(mb *member) int {
	if mb.DataCentre == trk.opt.Self.DataCentre {
		return 0
	}
	return 1
}

// inTurn returns the members that were not passed on for the longest time, leaders first if asked.
func (trk *Tracker) inTurn(mbs []*member, limit int, leaders bool) []*member {
	rank := func(mb *member) int {
		if leaders && !mb.Leading {
			return 1
		}
		return 0
	}
	slices.SortFunc(mbs, func(a, b *member) int {
		return cmp.Or(rank(a)-rank(b), cmp.Compare(a.passedOn, b.passedOn), cmp.Compare(a.Host, b.Host))
	})
	mbs = mbs[:min(len(mbs), limit)]
	for _, mb := range mbs {
		mb.passedOn = trk.messages
	}
	return mbs
}

// digest returns a member's digest without counts.
func (mb *member) digest() *messenger.HostDigest {
	return &messenger.HostDigest{
		Host: string(mb.Host), Boot: string(mb.Boot), Sequence: mb.sequence,
		Revision: int64(mb.Revision), SettledRevision: int64(mb.SettledRevision),
		LeaderEpoch: int64(mb.LeaderEpoch), Leading: mb.Leading, Leaving: mb.Leaving,
		FreeSlots: int32(mb.Load.FreeSlots), QueuedCalls: int32(mb.Load.QueuedCalls),
		BootStartedMillis: mb.BootStarted.UnixMilli(), DataCentre: string(mb.DataCentre),
	}
}
