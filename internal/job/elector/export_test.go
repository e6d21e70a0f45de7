package elector

import "time"

import (
	"maps"
	"net/netip"
	"slices"
)

// KnownHosts returns the names of the known hosts, sorted.
func (el *Elector) KnownHosts() []string {
	el.mu.Lock()
	defer el.mu.Unlock()
	var names []string
	for _, host := range slices.Sorted(maps.Keys(el.members)) {
		names = append(names, string(host))
	}
	return names
}

// Successors returns the addresses of the hosts that this one would ask to take over, in their order.
func (el *Elector) Successors() []netip.AddrPort { return el.successors() }

// AddSilence adds to the time for which this host, as the leader, has not heard of the other hosts.
func (el *Elector) AddSilence(span time.Duration) {
	el.mu.Lock()
	defer el.mu.Unlock()
	for _, mb := range el.members {
		mb.silentFor += span
	}
}
