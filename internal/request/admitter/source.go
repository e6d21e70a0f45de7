package admitter

import (
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/request/limiter"
	"github.com/currantrouter/currantrouter/internal/request/router"
)

// takeAttempts bounds the choices when other calls take the chosen slots.
const takeAttempts = 4

// slotSource takes slots that the router chooses and the limiter counts.
type slotSource struct {
	*limiter.Limiter
	rt *router.Router
}

// NewSource returns a Source over the runners of a router, whose accounts are those of the limiter.
func NewSource(rt *router.Router, lim *limiter.Limiter) Source { return slotSource{lim, rt} }

// Take implements Source.
func (ss slotSource) Take(svc modeler.ServiceName, cl router.Class, avoidSlow bool) (Grant, bool) {
	for range takeAttempts {
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

// Accounts adapts the accounts of a limiter to a router.
func Accounts(lim *limiter.Limiter) func(modeler.RunnerName) router.Account {
	return func(name modeler.RunnerName) router.Account {
		ac := lim.Account(name)
		if ac == nil {
			return nil
		}
		return ac
	}
}
