package lister

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/currantrouter/currantrouter/internal/provider/requester"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
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
}

// NewClient returns a client of the list at the address.
func NewClient(rr *requester.Requester, address netip.AddrPort) *Client {
	return &Client{requester: rr, address: address}
}

// List returns the hosts as they were some time ago. Errors: ErrUnavailable.
func (cl *Client) List(ctx context.Context) (Listing, error) {
	var as HostsAnswer
	err := cl.call(ctx, PathHosts, &as)
	return as.Hosts, err
}

// Workers returns the workers as they were some time ago. Errors: ErrUnavailable.
func (cl *Client) Workers(ctx context.Context) ([]supervisor.Worker, error) {
	var as WorkersAnswer
	err := cl.call(ctx, PathWorkers, &as)
	return as.Workers, err
}

func (cl *Client) call(ctx context.Context, path string, out any) error {
	if err := cl.requester.Call(ctx, cl.address, path, struct{}{}, out); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}
