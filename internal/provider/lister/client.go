package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"

	"github.com/currantrouter/currantrouter/internal/provider/requester"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
	"github.com/currantrouter/currantrouter/internal/telemetry/logger"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
	"github.com/currantrouter/currantrouter/internal/telemetry/reporter"
)

// Paths of the host list's HTTP interface, see docs/platform.md.
const (
	PathHosts   = "/hosts/v1/list"
	PathWorkers = "/hosts/v1/workers"
)

// Bodies of the answers. The calls have an empty document.
type (
	// HostsAnswer has all listed hosts.
	HostsAnswer struct{ Hosts Listing }
	// WorkersAnswer has all workers.
	WorkersAnswer struct{ Workers []supervisor.Worker }
)

// Client reads the host list over HTTP. It is safe for concurrent use.
type Client struct {
	requester *requester.Requester
	address   netip.AddrPort
	// invalid is nil until ReportTo is called.
	invalid *reporter.Reporter
}

// NewClient returns a client of the list at the address. Hosts and workers that cannot be decoded are
// left out.
func NewClient(rr *requester.Requester, address netip.AddrPort) *Client {
	return &Client{requester: rr, address: address}
}

// ReportTo makes the client report what it leaves out. It is called once, before the first read.
func (cl *Client) ReportTo(invalid *reporter.Reporter) { cl.invalid = invalid }

// List returns the hosts as they were some time ago. Errors: ErrUnavailable.
func (cl *Client) List(ctx context.Context) (Listing, error) {
	var answer json.RawMessage
	if err := cl.call(ctx, PathHosts, &answer); err != nil {
		return nil, err
	}
	return DecodeHosts(answer, cl.invalid)
}

// Workers returns the workers as they were some time ago. Errors: ErrUnavailable.
func (cl *Client) Workers(ctx context.Context) ([]supervisor.Worker, error) {
	var answer json.RawMessage
	if err := cl.call(ctx, PathWorkers, &answer); err != nil {
		return nil, err
	}
	return DecodeWorkers(answer, cl.invalid)
}

// DecodeHosts returns the hosts of an answer, and reports those that it leaves out. Errors:
// ErrUnavailable.
func DecodeHosts(answer []byte, invalid *reporter.Reporter) (Listing, error) {
	var as HostsAnswer
	if json.Unmarshal(answer, &as) != nil {
		var rows struct{ Hosts map[string]json.RawMessage }
		if err := json.Unmarshal(answer, &rows); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		as.Hosts = make(Listing, len(rows.Hosts))
		for name, text := range rows.Hosts {
			as.Hosts[name] = decodeState(text)
		}
	}
	for name, state := range as.Hosts {
		if state != Live && state != Leaving {
			report(invalid, name, fmt.Errorf("state %.200q", state))
			delete(as.Hosts, name)
		}
	}
	return as.Hosts, nil
}

// decodeState returns a state, or the text itself if it is none.
func decodeState(text []byte) HostState {
	var state HostState
	if json.Unmarshal(text, &state) != nil {
		return HostState(text)
	}
	return state
}

// DecodeWorkers returns the workers of an answer, and reports those that it leaves out. Errors:
// ErrUnavailable.
func DecodeWorkers(answer []byte, invalid *reporter.Reporter) ([]supervisor.Worker, error) {
	var as WorkersAnswer
	if json.Unmarshal(answer, &as) != nil {
		// One at a time is slower, but an odd worker does not hide the others.
		var rows struct{ Workers []json.RawMessage }
		if err := json.Unmarshal(answer, &rows); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		as.Workers = as.Workers[:0]
		for _, text := range rows.Workers {
			var wk supervisor.Worker
			if err := json.Unmarshal(text, &wk); err != nil {
				report(invalid, string(wk.Name), err)
				continue
			}
			as.Workers = append(as.Workers, wk)
		}
	}
	return slices.DeleteFunc(as.Workers, func(wk supervisor.Worker) bool {
		err := wk.Check()
		if err != nil {
			report(invalid, string(wk.Name), err)
		}
		return err != nil
	}), nil
}

func report(invalid *reporter.Reporter, name string, err error) {
	if invalid != nil {
		invalid.Report(logger.ListedHostInvalid, meter.EntriesInvalid, name, err, "Name", fmt.Sprintf("%.200s", name))
	}
}

func (cl *Client) call(ctx context.Context, path string, out any) error {
	if err := cl.requester.Call(ctx, cl.address, path, struct{}{}, out); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}
