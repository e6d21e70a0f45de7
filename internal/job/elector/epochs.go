package elector

import (
	"slices"
	"time"

	"github.com/currantrouter/currantrouter/internal/cluster/messenger"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

// maxKnownEpochs bounds the epochs that a heartbeat tells of. Leases of the leaders of earlier ones are over.
const maxKnownEpochs = 8

// knownEpoch is when a host knew an epoch.
type knownEpoch struct {
	epoch modeler.Epoch
	// at is not before the end of the host's terms of earlier epochs, in which it counts as one that confirms them.
	at time.Time
}

// addEpoch adds an epoch, or the earlier time of one that is known, and drops the earliest ones.
func addEpoch(list []knownEpoch, ke knownEpoch) []knownEpoch {
	ix, known := slices.BinarySearchFunc(list, ke.epoch, func(one knownEpoch, epoch modeler.Epoch) int { return int(one.epoch - epoch) })
	switch {
	case !known:
		list = slices.Insert(list, ix, ke)
	case ke.at.Before(list[ix].at):
		list[ix].at = ke.at
	}
	return list[max(0, len(list)-maxKnownEpochs):]
}

// knownSince returns the earliest time at which an epoch of the list that is not before the given one was known, and
// false if there is none.
func knownSince(list []knownEpoch, epoch modeler.Epoch) (time.Time, bool) {
	var since time.Time
	for _, ke := range list {
		if ke.epoch >= epoch && (since.IsZero() || ke.at.Before(since)) {
			since = ke.at
		}
	}
	return since, !since.IsZero()
}

// endOwnTerm counts later epochs as known from now, when a term of this host ends. The caller holds mu.
func (el *Elector) endOwnTerm(now time.Time) {
	for ix := range el.epochs {
		if ke := &el.epochs[ix]; ke.epoch > el.own.Epoch {
			ke.at = later(ke.at, now)
		}
	}
}

// reportedEpochs returns what a heartbeat says of the epochs up to the last one that it may name. The caller holds mu.
func (el *Elector) reportedEpochs(last modeler.Epoch) []*messenger.KnownEpoch {
	var list []*messenger.KnownEpoch
	for _, ke := range el.epochs {
		if ke.epoch <= last {
			list = append(list, &messenger.KnownEpoch{Epoch: int64(ke.epoch), Age: time.Since(ke.at).Milliseconds()})
		}
	}
	return list
}

// noteEpochs records since when the sender of a message that arrives now has known epochs, by a clock that may be fast. It
// did not know those that its last message did not name.
func (mb *member) noteEpochs(reported []*messenger.KnownEpoch, last modeler.Epoch, now time.Time) {
	for _, ke := range reported {
		age := time.Duration(float64(modeler.DurationFromMillis(ke.Age)) * (1 - maxClockDrift))
		known := knownEpoch{epoch: modeler.Epoch(ke.Epoch), at: now.Add(-age)}
		if known.epoch > mb.epoch {
			known.at = later(known.at, later(mb.lastHeartbeat, mb.lastReply))
		}
		mb.epochs = addEpoch(mb.epochs, known)
	}
	if last != 0 {
		mb.epochs = addEpoch(mb.epochs, knownEpoch{epoch: last, at: now})
	}
}

// PrecludesQuorumSince returns a time from which so many entry hosts with a record have known the given epoch, or a later
// one, that no leader of an earlier one has a quorum. It returns false while this is not known. The epoch may be an earlier
// one than that of this host's term. See PrecludesQuorum.
func (el *Elector) PrecludesQuorumSince(epoch modeler.Epoch) (time.Time, bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	if epoch == 0 || el.own.Epoch < epoch || el.membersReadAt.Before(el.epochBegunAt) {
		return time.Time{}, false
	}
	var times []time.Time
	_, hosts := el.countHosts(func(mb *member) bool {
		since, ok := knownSince(mb.epochs, epoch)
		if ok {
			times = append(times, since)
		}
		return ok
	})
	if since, ok := knownSince(el.epochs, epoch); ok {
		times = append(times, since)
	}
	needed := (hosts + 1) / 2
	if len(times) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[needed-1], true
}
