package checker

import (
	"net/netip"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
)

// ValidateTransition returns an error when a configuration must not replace another one. A runner
// and its endpoint must not move to another data centre: entry hosts receive acknowledgements of a
// revision only from their own data centre, so that hosts of both could use the runner's slots
// until all of them have the revision. Error: ErrInvalid, as a FaultList.
func ValidateTransition(from, to *modeler.Configuration) error {
	byName := make(map[modeler.RunnerName]modeler.DataCentreName, len(from.Runners))
	byEndpoint := make(map[netip.AddrPort]modeler.DataCentreName, len(from.Runners))
	for _, rnr := range from.Runners {
		byName[rnr.Name] = rnr.DataCentre
		byEndpoint[rnr.Endpoint] = rnr.DataCentre
	}
	var fl FaultList
	for _, rnr := range to.Runners {
		for _, old := range []modeler.DataCentreName{byName[rnr.Name], byEndpoint[rnr.Endpoint]} {
			if old == "" || old == rnr.DataCentre {
				continue
			}
			fl = append(fl, Fault{
				Section: "Runner " + string(rnr.Name),
				Key:     "DataCentre",
				Value:   string(rnr.DataCentre),
				Allowed: "a runner or endpoint that was in " + string(old) + " is first removed, and added once the removal is in force everywhere",
			})
			break
		}
	}
	if len(fl) == 0 {
		return nil
	}
	return fl
}
