package relayer

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	fleet "github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/job/modeler"
)

const (
	// maxWorkersPerCore is the number of workers for each core of the leader up to which it sends all
	// requests itself.
	maxWorkersPerCore = 500
	// workersPerRelayCore is the number of workers for each core of the relays together.
	workersPerRelayCore = 200
	// maxRelays bounds the relays, as each costs the leader an exchange at every interval.
	maxRelays = 48
)

// Host is an entry host that can be a relay.
type Host struct {
	Name       fleet.HostName
	DataCentre fleet.DataCentreName
	Address    netip.AddrPort
	// Weight is the processor share in thousandths of a core.
	Weight int64
}

// chooseRelays returns the hosts that relay for a leader with the weight, none if the fleet is small enough for
// the leader alone. It spreads them over the data centres, and prefers hosts with more processor time. It answers the
// load of fleets that need more requests to workers than one host can send.
func chooseRelays(hosts []Host, weight int64, workers int) []Host {
	if int64(workers)*1000 <= maxWorkersPerCore*weight {
		return nil
	}
	ranked := slices.SortedFunc(slices.Values(hosts), func(one, two Host) int {
		return cmp.Or(cmp.Compare(two.Weight, one.Weight), cmp.Compare(tieBreaker(string(one.Name)), tieBreaker(string(two.Name))))
	})
	// rankIn is the number of hosts of the same data centre that are ranked above the host.
	rankIn, seen := map[fleet.HostName]int{}, map[fleet.DataCentreName]int{}
	for _, hs := range ranked {
		rankIn[hs.Name] = seen[hs.DataCentre]
		seen[hs.DataCentre]++
	}
	slices.SortStableFunc(ranked, func(one, two Host) int { return cmp.Compare(rankIn[one.Name], rankIn[two.Name]) })
	var sum int64
	for ix, hs := range ranked {
		if sum*workersPerRelayCore >= int64(workers)*1000 || ix == maxRelays {
			return ranked[:ix]
		}
		sum += hs.Weight
	}
	return ranked
}

// Assign returns the index of the host for a worker among the usable ones, one in its data centre if there is
// any, or -1. Without a host, the workers of the others keep theirs.
func Assign(id modeler.WorkerID, dataCentre fleet.DataCentreName, hosts []Host, usable func(ix int) bool) int {
	best, bestNear, bestHash := -1, false, uint64(0)
	for ix := range hosts {
		near := hosts[ix].DataCentre == dataCentre
		if !usable(ix) || bestNear && !near {
			continue
		}
		hash := tieBreaker(string(id) + " " + string(hosts[ix].Name))
		if best < 0 || near && !bestNear || hash > bestHash {
			best, bestNear, bestHash = ix, near, hash
		}
	}
	return best
}

func tieBreaker(text string) uint64 { return xxhash.Sum64String(text) }
