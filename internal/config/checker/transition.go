package checker

import (
	"net/netip"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// Transition returns why a configuration must not follow another one, as a FaultList, or nil. A runner
// stays in its data centre: the entry hosts of the old and of the new one do not hear each other's
// acknowledgements, and could both use its slots until all of them have the revision.
func Transition(from, to *modeler.Configuration) error {
	byName := make(map[modeler.RunnerName]modeler.DataCentreName, len(from.Runners))
	byEndpoint := make(map[netip.AddrPort]modeler.DataCentreName, len(from.Runners))
	for _, rn := range from.Runners {
		byName[rn.Name] = rn.DataCentre
		byEndpoint[rn.Endpoint] = rn.DataCentre
	}
	var fl FaultList
	for _, rn := range to.Runners {
		for _, before := range []modeler.DataCentreName{byName[rn.Name], byEndpoint[rn.Endpoint]} {
			if before == "" || before == rn.DataCentre {
				continue
			}
			fl = append(fl, Fault{
				Section: "Runner " + string(rn.Name),
				Key:     "DataCentre",
				Value:   string(rn.DataCentre),
				Allowed: "a runner or endpoint that was in " + string(before) + " is first removed, and added once the removal is in force everywhere",
			})
			break
		}
	}
	if len(fl) == 0 {
		return nil
	}
	return fl
}
