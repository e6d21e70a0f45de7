package elector

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
