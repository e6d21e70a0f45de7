package modeler

import (
	"slices"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Electorate is the set of processes that may confirm a leader while the store does not. A leader relies on them if they are
// more than half of the hosts together with itself.
type Electorate struct {
	// Leader is the process that is confirmed.
	Leader Voter
	// Hosts is the number of hosts of which more than half have to confirm the leader. It is greater than the number of
	// Voters.
	Hosts int
	// Voters are processes of different other hosts, in the order of the hosts' names.
	Voters []Voter
}

// Voter is a process of an entry host.
type Voter struct {
	Host fleet.HostName
	Boot fleet.BootID
}

// maxHosts bounds Electorate.Hosts.
const maxHosts = 1 << 16

// Valid reports whether the voters are of different hosts and fewer than all.
func (et Electorate) Valid() bool {
	hosts := map[fleet.HostName]bool{et.Leader.Host: true}
	for _, vt := range et.Voters {
		if vt.Boot == "" || hosts[vt.Host] {
			return false
		}
		hosts[vt.Host] = true
	}
	return et.Leader.Boot != "" && len(et.Voters) < et.Hosts && et.Hosts <= maxHosts
}

// Has reports whether a process is one of the voters.
func (et Electorate) Has(vt Voter) bool { return slices.Contains(et.Voters, vt) }

// Equal reports whether two electorates are the same.
func (et Electorate) Equal(other Electorate) bool {
	return et.Leader == other.Leader && et.Hosts == other.Hosts && slices.Equal(et.Voters, other.Voters)
}

// Intersect returns the electorate of the same leader whose voters are those of both, and whose majority is one in both.
func (et Electorate) Intersect(other Electorate) Electorate {
	common := slices.DeleteFunc(slices.Clone(et.Voters), func(vt Voter) bool { return !other.Has(vt) })
	return Electorate{Leader: et.Leader, Hosts: max(et.Hosts, other.Hosts), Voters: common}
}
