package limiter

import (
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Share is the part of a runner's slots and connections that one host holds. Neither is negative.
type Share struct {
	Host        modeler.HostName
	Slots       int
	Connections int
}

// Shares divides the slots and connections of a runner among its holders, in rendezvous order. The
// shares add up to exactly the limits of the runner, or to nothing when its data centre has no
// host. The result depends on the configuration alone.
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

// portion gives the remainder of the division to the first parts.
func portion(total, ix, parts int) int {
	pt := total / parts
	if ix < total%parts {
		pt++
	}
	return pt
}

// shareOf returns the share of a host, which is zero when the host is no holder.
func shareOf(shs []Share, host modeler.HostName) Share {
	for _, sh := range shs {
		if sh.Host == host {
			return sh
		}
	}
	return Share{Host: host}
}
