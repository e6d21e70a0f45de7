// Package meter holds the metrics of a daemon as expvar variables. The tables in this package are
// the source of docs/metrics.md.
package meter

import (
	"encoding/json"
	"expvar"
	"net/http"
)

// Metric describes one published variable: a number of Metrics or a histogram of Timers.
type Metric struct {
	Name string
	// Unit is empty for plain counts.
	Unit string
	// Help is the help text in docs/metrics.md.
	Help string
}

// Registry holds the metrics of one daemon. Unlike the registry of package expvar it is not
// global, so that several daemons fit into one process. It is safe for concurrent use.
type Registry struct {
	// vars has one variable for each metric of the table and is never changed after New.
	vars map[Metric]*expvar.Int
	// timers has one timer for each of Timers and is never changed after New.
	timers map[Metric]*timer
	// extra holds the variables that are published in addition, by name.
	extra map[string]expvar.Var
}

// New returns a registry with zero values. The variables in extra are published in addition, under
// the keys of the map.
func New(extra map[string]expvar.Var) *Registry {
	rg := &Registry{vars: make(map[Metric]*expvar.Int, len(Metrics)), timers: map[Metric]*timer{}, extra: extra}
	for _, mt := range Metrics {
		rg.vars[mt] = new(expvar.Int)
	}
	for _, mt := range Timers {
		rg.timers[mt] = newTimer()
	}
	return rg
}

// Add adds a delta to a metric of the table. It panics on a metric that is not in the table.
func (rg *Registry) Add(mt Metric, delta int64) { rg.vars[mt].Add(delta) }

// Set sets a metric of the table. It panics on a metric that is not in the table.
func (rg *Registry) Set(mt Metric, value int64) { rg.vars[mt].Set(value) }

// Value returns the value of a metric of the table. It panics on a metric that is not in the table.
func (rg *Registry) Value(mt Metric) int64 { return rg.vars[mt].Value() }

// ServeHTTP writes all metrics as one JSON object.
func (rg *Registry) ServeHTTP(wr http.ResponseWriter, _ *http.Request) {
	out := make(map[string]json.RawMessage, len(rg.vars)+len(rg.extra))
	for mt, vr := range rg.vars {
		out[mt.Name] = json.RawMessage(vr.String())
	}
	for mt, tm := range rg.timers {
		out[mt.Name] = json.RawMessage(tm.String())
	}
	for name, vr := range rg.extra {
		out[name] = json.RawMessage(vr.String())
	}
	wr.Header().Set("Content-Type", "application/json; charset=utf-8")
	// A write fails only when the client has disconnected, which is no fault of the daemon.
	_ = json.NewEncoder(wr).Encode(out)
}
