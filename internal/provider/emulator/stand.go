package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/provider/lister"
	"github.com/currantrouter/currantrouter/internal/provider/supervisor"
)

// standOptions are the flags of currantstand. The default sizes are those of a rack host of the
// larger deployment.
type standOptions struct {
	Address     string        `long:"address" default:"127.0.0.1:7400" description:"Address of the platform's interface, on loopback"`
	DataCentres []string      `long:"data-centre" default:"dc1" description:"Data centre, repeatable"`
	Service     string        `long:"service" default:"bakedesk" description:"Service of the runners"`
	Runners     int           `long:"runners" default:"4" description:"Runners per data centre"`
	Workers     int           `long:"workers" default:"4" description:"Workers per data centre"`
	Slots       int           `long:"slots" default:"8" description:"Slots per runner"`
	Connections int           `long:"connections" default:"64" description:"Connections per runner"`
	Cores       int64         `long:"cores" default:"64" description:"Cores per worker"`
	MemoryGB    int64         `long:"memory-gb" default:"250" description:"Memory per worker"`
	RackSize    int           `long:"rack-size" default:"6" description:"Workers per rack"`
	CallTime    time.Duration `long:"call-time" default:"20ms" description:"Time of a call on a runner"`
	TaskTime    time.Duration `long:"task-time" default:"30s" description:"Time of a task on an idle worker"`
	ReportLag   time.Duration `long:"report-lag" default:"2s" description:"Age of the usage in reports"`
	ListLag     time.Duration `long:"list-lag" default:"2s" description:"Age of the host list"`
	GuardsOff   bool          `long:"guards-off" description:"Accept work above the limits and old epochs"`
}

// RunStand serves an emulated platform until the context ends. It writes one line with its address
// to out. It accepts only a loopback address, because the interface has no access control.
func RunStand(ctx context.Context, args []string, out io.Writer) error {
	var op standOptions
	if _, err := flags.NewParser(&op, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(op.Address)
	if err != nil {
		return err
	}
	if !address.Addr().IsLoopback() {
		return fmt.Errorf("%s is not a loopback address", address)
	}
	ln, err := net.Listen("tcp", op.Address)
	if err != nil {
		return err
	}
	pf, err := op.platform(netip.MustParseAddrPort(ln.Addr().String()))
	if err != nil {
		return err
	}
	defer pf.Close()
	fmt.Fprintf(out, "currantstand listens on %s\n", ln.Addr())
	return serve(ctx, ln, pf.Handler())
}

func serve(ctx context.Context, ln net.Listener, hd http.Handler) error {
	sv := &http.Server{Handler: hd, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = sv.Close() })
	defer stop()
	if err := sv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (op standOptions) platform(address netip.AddrPort) (*Platform, error) {
	pf := New(Options{ListLag: op.ListLag, Behaviour: Behaviour{
		RunTime:   func(supervisor.StartCommand) time.Duration { return op.TaskTime },
		ReportLag: op.ReportLag, CheckpointTime: time.Second, GuardsOff: op.GuardsOff,
	}})
	for _, dc := range op.DataCentres {
		if err := op.addRunners(pf, modeler.DataCentreName(dc)); err != nil {
			pf.Close()
			return nil, err
		}
		op.addWorkers(pf, modeler.DataCentreName(dc), address)
	}
	return pf, nil
}

func (op standOptions) addRunners(pf *Platform, dc modeler.DataCentreName) error {
	for number := range op.Runners {
		_, err := pf.AddRunner(dc, modeler.ServiceName(op.Service), RunnerOptions{
			Name:  modeler.RunnerName(fmt.Sprintf("%s-runner-%d", dc, number+1)),
			Slots: op.Slots, Connections: op.Connections, GuardsOff: op.GuardsOff,
			RunTime: func(*http.Request) time.Duration { return op.CallTime },
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (op standOptions) addWorkers(pf *Platform, dc modeler.DataCentreName, address netip.AddrPort) {
	for number := range op.Workers {
		name := modeler.WorkerName(fmt.Sprintf("%s-worker-%d", dc, number+1))
		pf.Workers.Add(supervisor.Worker{
			Name: name, DataCentre: dc, Address: address,
			Rack:     fmt.Sprintf("%s-rack-%d", dc, number/max(1, op.RackSize)+1),
			Capacity: supervisor.Resources{Millicores: op.Cores * 1000, MemoryBytes: op.MemoryGB << 30},
		})
		pf.Hosts.Set(string(name), lister.Live)
	}
}
