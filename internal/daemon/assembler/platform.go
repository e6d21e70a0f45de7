package assembler

import (
	"context"

	"github.com/currantrouter/currantrouter/internal/batch/scheduler"
	"github.com/currantrouter/currantrouter/internal/config/loader"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/lister"
	"github.com/currantrouter/currantrouter/internal/provider/requester"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// Store is the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
	Delete(ctx context.Context, key string, expected int64) error
	List(ctx context.Context, prefix, after string, limit int) ([]storer.Entry, error)
	Wait(ctx context.Context, prefix string, after int64) ([]storer.Entry, int64, error)
}

// HostList is the platform's list of hosts.
type HostList interface {
	List(ctx context.Context) (lister.Listing, error)
	Workers(ctx context.Context) ([]supervisor.Worker, error)
}

// Platform has clients of the platform's services.
type Platform struct {
	Store   Store
	Workers scheduler.Workers
	Hosts   HostList
}

// remotePlatform returns clients of the platform's services at the addresses of the settings.
func remotePlatform(rr *requester.Requester, st *loader.Settings) Platform {
	return Platform{
		Store:   storer.NewClient(rr, st.Platform.Store),
		Workers: supervisor.NewClient(rr),
		Hosts:   lister.NewClient(rr, st.Platform.HostList),
	}
}

// workersIn returns the workers of one data centre.
func workersIn(dc modeler.DataCentreName, all []supervisor.Worker) []supervisor.Worker {
	var wks []supervisor.Worker
	for _, wk := range all {
		if wk.DataCentre == dc {
			wks = append(wks, wk)
		}
	}
	return wks
}
