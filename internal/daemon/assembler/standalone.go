package assembler

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/currantrouter/currantrouter/examples"
	"github.com/currantrouter/currantrouter/internal/config/checker"
	"github.com/currantrouter/currantrouter/internal/config/loader"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/plan/importer"
	"github.com/currantrouter/currantrouter/internal/process/pauser"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

const (
	standaloneService           = "bakedesk"
	standaloneRunnerCount       = 3
	standaloneWorkerCount       = 4
	standaloneRunnerSlots       = 8
	standaloneRunnerConnections = 64
)

// standalone is an emulated platform whose runners listen on loopback.
type standalone struct {
	platform *emulator.Platform
	runners  []modeler.Runner
	servers  []*http.Server
}

// startStandalone starts the runners, adds the workers and stores a configuration for them.
func startStandalone(ctx context.Context, st *loader.Settings) (*standalone, error) {
	sa := &standalone{platform: emulator.New(emulator.Options{})}
	for num := range standaloneRunnerCount {
		if err := sa.startRunner(num+1, st.Host.DataCentre); err != nil {
			sa.close()
			return nil, err
		}
	}
	sa.platform.Workers.Add(newStandaloneWorkers(st.Host.DataCentre)...)
	document := checker.Encode(sa.configuration(st))
	if err := PutConfiguration(ctx, sa.platform.Store, document, 0, st.Limits.StoreTimeout); err != nil {
		sa.close()
		return nil, err
	}
	return sa, nil
}

func (sa *standalone) startRunner(num int, dc modeler.DataCentreName) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("runner: %w", err)
	}
	rn := modeler.Runner{
		Name:        modeler.RunnerName(fmt.Sprintf("runner-%d", num)),
		DataCentre:  dc,
		Service:     standaloneService,
		Endpoint:    ln.Addr().(*net.TCPAddr).AddrPort(),
		Slots:       standaloneRunnerSlots,
		Connections: standaloneRunnerConnections,
	}
	em := emulator.NewRunner(sa.platform.Faults, emulator.RunnerOptions{
		Name:        rn.Name,
		Slots:       rn.Slots,
		Connections: rn.Connections,
	})
	sv := em.Server()
	// Serve returns once close closes the server.
	go func() { _ = sv.Serve(ln) }()
	sa.runners = append(sa.runners, rn)
	sa.servers = append(sa.servers, sv)
	return nil
}

func (sa *standalone) close() {
	for _, sv := range sa.servers {
		_ = sv.Close()
	}
}

func (sa *standalone) configuration(st *loader.Settings) *modeler.Configuration {
	return &modeler.Configuration{
		DataCentres: []modeler.DataCentreName{st.Host.DataCentre},
		Hosts:       []modeler.Host{{Name: st.Host.Name, DataCentre: st.Host.DataCentre, Peer: st.Listen.Peers}},
		Runners:     sa.runners,
		Services: []modeler.Service{{
			Name:       standaloneService,
			CallLimit:  modeler.DefaultCallLimit,
			Deadline:   5 * time.Second,
			QueueLimit: 1000,
			BodyLimit:  16 << 20,
		}},
		Limits: modeler.DefaultLimits,
	}
}

func newStandaloneWorkers(dc modeler.DataCentreName) []supervisor.Worker {
	const workersPerRack = 2
	wks := make([]supervisor.Worker, standaloneWorkerCount)
	for idx := range wks {
		wks[idx] = supervisor.Worker{
			Name:       modeler.WorkerName(fmt.Sprintf("worker-%d", idx+1)),
			DataCentre: dc,
			Rack:       fmt.Sprintf("rack-%d", idx/workersPerRack+1),
			Address:    netip.MustParseAddrPort("127.0.0.1:1"),
			Capacity:   supervisor.Resources{Millicores: 64_000, MemoryBytes: 250 << 30, Accelerators: 4},
		}
	}
	return wks
}

func (sa *standalone) asPlatform() Platform {
	return Platform{Store: sa.platform.Store, Workers: sa.platform.Workers, Hosts: sa.platform.Hosts}
}

// printWelcome prints the addresses and some commands to try.
func printWelcome(wr io.Writer, st *loader.Settings) {
	fmt.Fprintf(wr, `currantd runs standalone with an emulated platform. Control-C drains and exits.

  callers    http://%[1]s
  hours      http://%[1]s%[3]s/hours
  operators  http://%[2]s

The plan of today is a copy of examples/day.csv. Try:
  curl -i -d 'reel 12' 'http://%[1]s/bakedesk/checks?RunTime=50ms'
  go run ./cmd/currantctl --insecure --address %[2]s tasks
  go run ./cmd/currantctl --insecure --address %[2]s hours
`, st.Listen.Callers, st.Listen.Operators, statusPath)
}

// importExample imports the example sheet as the plan of today once the daemon is ready.
func importExample(ctx context.Context, dm *Daemon) {
	for dm.Ready() != nil {
		pauser.Sleep(ctx, 10*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
	}
	today := time.Now().UTC().Format(time.DateOnly)
	sheet := bytes.ReplaceAll(examples.Sheet, []byte(examples.Day), []byte(today))
	// The keeper logs the error.
	_, _ = dm.plans.Import(ctx, sheet, importer.Options{Expected: importer.AnyRevision})
}
