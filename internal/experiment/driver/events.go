package driver

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/operator/server"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

// events are the faults and operations that can be injected during the load, by the value of --event.
var events = map[string]func(*fleet, context.Context) error{
	"none":       func(*fleet, context.Context) error { return nil },
	"kill-host":  (*fleet).killHost,
	"pause-host": (*fleet).pauseHost,
	"store-away": (*fleet).interruptStore,
	"config":     (*fleet).changeConfiguration,
	"roll":       (*fleet).rollingRestart,
}

// runEvent runs the event of the options after a third of the duration.
func (fl *fleet) runEvent(ctx context.Context, op options) error {
	time.Sleep(op.Duration / 3)
	return events[op.Event](fl, ctx)
}

// firstLeader returns the leader of the first data centre, whose loss has the widest effect. If it
// is not known, it returns the first host.
func (fl *fleet) firstLeader() *host {
	var all []server.Host
	if err := fl.get("http://"+fl.hosts[len(fl.hosts)-1].operators.String()+"/v1/hosts", &all); err != nil {
		return fl.hosts[0]
	}
	for _, one := range all {
		for _, hst := range fl.hosts {
			if one.Leading && one.Name == hst.name && hst.dataCentre == fl.hosts[0].dataCentre {
				return hst
			}
		}
	}
	return fl.hosts[0]
}

// killHost kills the first leader. The balancer notices after about a second.
func (fl *fleet) killHost(context.Context) error {
	hst := fl.firstLeader()
	err := hst.cmd.Process.Kill()
	_ = hst.cmd.Wait()
	hst.cmd = nil
	time.AfterFunc(time.Second, func() { hst.outOfRotation.Store(true) })
	return err
}

// pauseHost stops the first leader for pauseTime. The balancer notices after about a second.
func (fl *fleet) pauseHost(context.Context) error {
	hst := fl.firstLeader()
	if err := hst.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.AfterFunc(time.Second, func() { hst.outOfRotation.Store(true) })
	time.Sleep(pauseTime)
	defer hst.outOfRotation.Store(false)
	return hst.cmd.Process.Signal(syscall.SIGCONT)
}

// interruptStore makes the store unavailable for storeOutage.
func (fl *fleet) interruptStore(context.Context) error {
	if err := fl.setFaults(emulator.Switch{Part: emulator.PartStore, Fault: emulator.Unavailable}); err != nil {
		return err
	}
	time.Sleep(storeOutage)
	return fl.setFaults()
}

// changeConfiguration stores a new revision and measures the time until it is in force at every host.
func (fl *fleet) changeConfiguration(ctx context.Context) error {
	started := time.Now()
	if err := fl.putConfiguration(ctx, 1); err != nil {
		return err
	}
	err := fl.waitUntil(ctx, "revision 2 is in force everywhere", func() bool {
		for _, hst := range fl.hosts {
			var doc server.Document
			if fl.get("http://"+hst.operators.String()+"/v1/config", &doc) != nil || doc.Revision < modeler.Revision(2) {
				return false
			}
		}
		return true
	})
	fl.propagationTime = time.Since(started)
	return err
}

// rollingRestart restarts one host after the other, as an upgrade does.
func (fl *fleet) rollingRestart(ctx context.Context) error {
	for _, hst := range fl.hosts {
		hst.outOfRotation.Store(true)
		if err := hst.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		if code := exitCode(hst.cmd.Wait()); code != 0 {
			return fmt.Errorf("%s exited with %d", hst.name, code)
		}
		if err := fl.startHost(hst); err != nil {
			return err
		}
		if err := fl.waitUntil(ctx, "the restarted host is ready", func() bool {
			return fl.get("http://"+hst.operators.String()+"/readyz", &struct{}{}) == nil
		}); err != nil {
			return err
		}
		hst.outOfRotation.Store(false)
	}
	return nil
}

// processUsage is the resource usage of a daemon since its start.
type processUsage struct {
	host modeler.HostName
	// cpu is the processor time.
	cpu time.Duration
	// memory is the resident set size in bytes.
	memory int64
	// peerBytes is the number of bytes sent to and received from peers.
	peerBytes int64
	uptime    time.Duration
}

func (fl *fleet) readUsage() []processUsage {
	var all []processUsage
	for _, hst := range fl.hosts {
		if hst.cmd == nil {
			continue
		}
		us := processUsage{host: hst.name}
		us.cpu, us.memory = readProcess(hst.cmd.Process.Pid)
		var vars map[string]int64
		if fl.get("http://"+hst.operators.String()+"/debug/vars", &vars) == nil {
			us.peerBytes = vars["PeerBytesSent"] + vars["PeerBytesReceived"]
		}
		all = append(all, us)
	}
	return all
}

// readProcess returns the processor time and the resident set size in bytes, or zeros if the
// process has ended.
func readProcess(pid int) (cpu time.Duration, memory int64) {
	const ticksPerSecond, pageBytes = 100, 4096
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	// The command name, which is in parentheses, may contain spaces.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	var user, system, pages int64
	_, _ = fmt.Sscan(fields[11], &user)
	_, _ = fmt.Sscan(fields[12], &system)
	_, _ = fmt.Sscan(fields[21], &pages)
	return time.Duration(user+system) * time.Second / ticksPerSecond, pages * pageBytes
}
