package elector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// register retries until it has stored this host's record, and then reads those of all hosts.
func (el *Elector) register(ctx context.Context) {
	for ctx.Err() == nil {
		if err := el.writeMember(ctx); err == nil {
			el.listMembers(ctx)
			return
		}
		pauser.Sleep(ctx, probeInterval)
	}
}

// writeMember stores this host's record with an incremented Heartbeat.
func (el *Elector) writeMember(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeContactTimeout)
	defer cancel()
	el.mu.Lock()
	el.op.Self.Heartbeat++
	self, expected := el.op.Self, el.ownRevision
	el.mu.Unlock()
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	key := memberPrefix + string(self.Host)
	rev, err := el.op.Store.Put(ctx, key, value, expected)
	if errors.Is(err, storer.ErrConflict) {
		// The record was written by an earlier process of this host, or by a write of this process
		// whose answer was lost.
		var en storer.Entry
		if en, err = el.op.Store.Get(ctx, key); err == nil {
			rev, err = el.op.Store.Put(ctx, key, value, en.Revision)
		} else if errors.Is(err, storer.ErrNotFound) {
			rev, err = el.op.Store.Put(ctx, key, value, 0)
		}
	}
	if err != nil {
		return err
	}
	el.mu.Lock()
	el.ownRevision = rev
	el.mu.Unlock()
	return nil
}

// writeStoreHeartbeat rewrites this host's record while it leads. Hosts that cannot reach this one
// see from it that it leads and reaches the store.
func (el *Elector) writeStoreHeartbeat(ctx context.Context) {
	if !el.Leading() {
		return
	}
	if err := el.writeMember(ctx); err != nil && ctx.Err() == nil {
		logger.Log(el.op.Log, logger.MemberNotStored, "Error", err.Error())
	}
}

// listMembersIfDue calls listMembers at each call until it has succeeded once, and afterwards less
// often the more hosts there are, see hostsPerListInterval.
func (el *Elector) listMembersIfDue(ctx context.Context) {
	el.mu.Lock()
	el.listRounds++
	due := !el.membersRead || el.listRounds%(1+len(el.members)/hostsPerListInterval) == 0
	el.mu.Unlock()
	if due {
		el.listMembers(ctx)
	}
}

// listMembers reads the records of all hosts and drops hosts without one, unless they were heard of during the read. If
// this host's own was deleted, as the leader had not heard of it for memberRemovalTimeout, it stores it again.
func (el *Elector) listMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeContactTimeout)
	defer cancel()
	began := time.Now()
	ens, _, err := el.op.Store.Snapshot(ctx, memberPrefix)
	if err != nil {
		// An outage of the store is logged by package watcher.
		return
	}
	if !el.replaceMembers(ens, began) {
		return
	}
	if err := el.writeMember(ctx); err != nil && ctx.Err() == nil {
		logger.Log(el.op.Log, logger.MemberNotStored, "Error", err.Error())
	}
}

// replaceMembers takes over the records of all hosts, of which the read began at a time. It returns true if this
// host's own was deleted.
func (el *Elector) replaceMembers(ens []storer.Entry, began time.Time) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.membersRead, el.membersReadAt = true, later(el.membersReadAt, began)
	stored := map[fleet.HostName]bool{}
	for _, en := range ens {
		mb, err := decodeMember(en)
		if err != nil {
			el.invalid.Report(logger.MemberDamaged, meter.EntriesInvalid, en.Key, err, "Key", en.Key)
			continue
		}
		stored[mb.Host] = true
		known := el.getOrAddMember(mb.Host)
		if known.revision < en.Revision {
			known.revision, known.Member = en.Revision, mb
		}
	}
	for host, mb := range el.members {
		// The host of a message that arrived since may have stored its record too late for this read.
		if !stored[host] && later(mb.lastHeartbeat, mb.lastReply).Before(began) {
			delete(el.members, host)
		}
	}
	return el.ownRevision != 0 && !stored[el.op.Self.Host] && !el.draining
}

// ErrInvalidMember means that a host's record, or its message, has values out of bounds.
var ErrInvalidMember = errors.New("invalid host")

// decodeMember decodes a host's record in the store. Errors: ErrInvalidMember, also for a record under
// the key of another host.
func decodeMember(en storer.Entry) (Member, error) {
	var mb Member
	if err := json.Unmarshal(en.Value, &mb); err != nil {
		return Member{}, fmt.Errorf("%w: %w", ErrInvalidMember, err)
	}
	if en.Key != memberPrefix+string(mb.Host) {
		return Member{}, fmt.Errorf("%w: key %q holds host %.200q", ErrInvalidMember, en.Key, mb.Host)
	}
	return mb, mb.Check()
}

// Check returns ErrInvalidMember, wrapped with the reason, for a host that cannot be called or has
// values out of bounds.
func (mb *Member) Check() error {
	if mb.Host == "" || mb.Weight < 0 || mb.Weight > modeler.MaxWeight {
		return fmt.Errorf("%w: name %.200q, weight %d", ErrInvalidMember, mb.Host, mb.Weight)
	}
	if err := errors.Join(modeler.CheckName("host", string(mb.Host)), modeler.CheckName("boot", string(mb.Boot)), modeler.CheckName("data centre", string(mb.DataCentre)), fleet.CheckAddress(mb.Address)); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidMember, err)
	}
	return nil
}

// getOrAddMember returns the member for a host, and adds it if it is new. The caller holds mu.
func (el *Elector) getOrAddMember(host fleet.HostName) *member {
	mb := el.members[host]
	if mb == nil {
		mb = new(member)
		mb.Host = host
		el.members[host] = mb
	}
	return mb
}

// removeRecords deletes the records of hosts. It is bounded in time, as the next heartbeats wait for it.
func (el *Elector) removeRecords(ctx context.Context, mbs []*member) {
	ctx, cancel := context.WithTimeout(ctx, removalTimeout)
	defer cancel()
	for _, mb := range mbs {
		// A host that comes back stores its record again.
		if err := el.op.Store.Delete(ctx, memberPrefix+string(mb.Host), mb.revision); err == nil {
			logger.Log(el.op.Log, logger.MemberRemoved, "Host", mb.Host)
		}
	}
}
