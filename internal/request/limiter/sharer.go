package limiter

import (
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Share is one host's part of the slots and connections of a runner. Neither is negative.
type Share struct {
	Host        modeler.HostName
	Slots       int
	Connections int
}

// Shares divides the slots and connections of a runner among its holders: the first
// Limits.HoldersPerRunner entry hosts of its data centre in rendezvous order. The shares add up to
// exactly the limits of the runner, or to zero when its data centre has no host. The result depends
// only on the configuration, so all hosts compute the same shares.
func Shares(cfg *modeler.Configuration, rn modeler.Runner) []Share {
	return divide(rn, holders(cfg, rn))
}

func holders(cfg *modeler.Configuration, rn modeler.Runner) []modeler.Host {
	hs := modeler.Rank(string(rn.Name), cfg.HostsIn(rn.DataCentre))
	limit := cfg.Limits.HoldersPerRunner
	if limit <= 0 {
		limit = modeler.DefaultLimits.HoldersPerRunner
	}
	return hs[:min(len(hs), limit)]
}

func divide(rn modeler.Runner, hs []modeler.Host) []Share {
	shs := make([]Share, len(hs))
	for ix, hst := range hs {
		shs[ix] = Share{
			Host:        hst.Name,
			Slots:       portion(rn.Slots, ix, len(hs)),
			Connections: portion(rn.Connections, ix, len(hs)),
		}
	}
	return shs
}

// portion returns the size of part ix. The first parts are larger by one when total is not divisible.
func portion(total, ix, parts int) int {
	pt := total / parts
	if ix < total%parts {
		pt++
	}
	return pt
}

// shareOf returns the share of a host, which is zero when the host is not a holder.
func shareOf(shs []Share, host modeler.HostName) Share {
	for _, sh := range shs {
		if sh.Host == host {
			return sh
		}
	}
	return Share{Host: host}
}
