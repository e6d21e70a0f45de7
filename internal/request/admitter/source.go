package admitter

import (
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/request/limiter"
	"github.com/currantrouter/currantrouter/internal/request/router"
)

// maxTakeAttempts bounds how often a runner is picked when concurrent calls take the picked slots.
const maxTakeAttempts = 4

// slotSource takes slots of runners that the router picks and whose calls the limiter counts.
type slotSource struct {
	*limiter.Limiter
	rt *router.Router
}

// NewSource returns a Source of slots of the router's runners. The router must use the accounts of the
// limiter; see Accounts.
func NewSource(rt *router.Router, lim *limiter.Limiter) Source { return slotSource{lim, rt} }

// Take implements Source.
func (ss slotSource) Take(svc modeler.ServiceName, cl router.Class, avoidSlow bool) (Grant, bool) {
	for range maxTakeAttempts {
		tg, ok := ss.rt.Pick(svc, cl, avoidSlow)
		if !ok {
			return Grant{}, false
		}
		if sl, ok := tg.Account().(*limiter.Account).Acquire(); ok {
			return Grant{tg, sl}, true
		}
		tg.CancelProbe()
	}
	return Grant{}, false
}

// Capacity implements Source.
func (ss slotSource) Capacity(svc modeler.ServiceName) int { return ss.rt.Capacity(svc) }

// Accounts returns the accounts of a limiter in the form of router.Options.Account.
func Accounts(lim *limiter.Limiter) func(modeler.RunnerName) router.Account {
	return func(name modeler.RunnerName) router.Account {
		ac := lim.Account(name)
		if ac == nil {
			return nil
		}
		return ac
	}
}
