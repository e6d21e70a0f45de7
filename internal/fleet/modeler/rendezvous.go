package modeler

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders the hosts for an item by rendezvous hashing, the preferred host first. The order of
// the other hosts does not change when one host is added or removed.
func Rank(item string, hosts []Host) []Host {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(
			cmp.Compare(weight(item, string(b.Name)), weight(item, string(a.Name))),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return ranked
}

// HomeDataCentre chooses the data centre that owns an item by rendezvous hashing. It returns an
// empty name when there are no data centres.
func HomeDataCentre(item string, dcs []DataCentreName) DataCentreName {
	var home DataCentreName
	var best uint64
	for _, dc := range dcs {
		if wt := weight(item, string(dc)); home == "" || wt > best {
			home, best = dc, wt
		}
	}
	return home
}

func weight(item, node string) uint64 {
	var dg xxhash.Digest
	dg.Reset()
	// Digest.WriteString never fails.
	_, _ = dg.WriteString(item)
	_, _ = dg.WriteString("\x00")
	_, _ = dg.WriteString(node)
	return dg.Sum64()
}
