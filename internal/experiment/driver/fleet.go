package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/currantrouter/currantrouter/internal/config/checker"
	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/operator/server"
	"github.com/currantrouter/currantrouter/internal/provider/emulator"
)

const (
	service         = "tidebook"
	platformAddress = "127.0.0.1:17400"
	firstPort       = 17500
	startTimeout    = 30 * time.Second
	pollInterval    = 50 * time.Millisecond
	pauseTime       = 4 * time.Second
	storeOutage     = 6 * time.Second
)

// fleet is a set of daemons and the emulated platform, all of them processes on loopback.
type fleet struct {
	options  options
	platform *exec.Cmd
	hosts    []*host
	cfg      *modeler.Configuration
	client   *http.Client
	// propagationTime is the time from the start of a configuration change until it was in force at
	// every host, zero if it was not measured.
	propagationTime time.Duration
}

// host is the process of an entry host.
type host struct {
	name                      modeler.HostName
	dataCentre                modeler.DataCentreName
	callers, operators, peers netip.AddrPort
	cmd                       *exec.Cmd
	// outOfRotation is set while the balancer sends no calls to the host.
	outOfRotation atomic.Bool
}

func startFleet(ctx context.Context, op options) (*fleet, error) {
	fl := &fleet{options: op, client: &http.Client{Timeout: 5 * time.Second}}
	if err := fl.start(ctx); err != nil {
		fl.close()
		return nil, err
	}
	return fl, nil
}

func (fl *fleet) start(ctx context.Context) error {
	if err := fl.startPlatform(ctx); err != nil {
		return err
	}
	fl.assignAddresses()
	for _, hst := range fl.hosts {
		if err := fl.startHost(hst); err != nil {
			return err
		}
	}
	if err := fl.waitUntil(ctx, "the hosts listen", fl.allListen); err != nil {
		return err
	}
	if err := fl.putConfiguration(ctx, 0); err != nil {
		return err
	}
	return fl.waitUntil(ctx, "each data centre has a leader", fl.allHaveLeaders)
}

func (fl *fleet) startPlatform(ctx context.Context) error {
	op := fl.options
	args := []string{
		"--address", platformAddress, "--service", service, "--runners", fmt.Sprint(op.Runners),
		"--call-time", op.CallTime.String(), "--guards-off",
	}
	for num := range op.DataCentres {
		args = append(args, "--data-centre", dataCentre(num))
	}
	fl.platform = fl.command("currantstand", args...)
	if err := fl.platform.Start(); err != nil {
		return err
	}
	return fl.waitUntil(ctx, "currantstand listens", func() bool {
		var rns []modeler.Runner
		return fl.get("http://"+platformAddress+"/runners", &rns) == nil
	})
}

func dataCentre(num int) string { return fmt.Sprintf("dc-%d", num+1) }

func (fl *fleet) command(name string, args ...string) *exec.Cmd {
	// With a separator in the name, exec.Command does not search PATH.
	cmd := exec.Command(fl.options.Binaries+string(filepath.Separator)+name, args...)
	// A daemon must not outlive the experiment.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if fl.options.Verbose {
		cmd.Stderr = os.Stderr
	}
	return cmd
}

// assignAddresses names the hosts and assigns consecutive ports to them.
func (fl *fleet) assignAddresses() {
	port := uint16(firstPort)
	next := func() netip.AddrPort {
		port++
		return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	}
	for dc := range fl.options.DataCentres {
		for num := range fl.options.Hosts {
			fl.hosts = append(fl.hosts, &host{
				name:       modeler.HostName(fmt.Sprintf("%s-host-%d", dataCentre(dc), num+1)),
				dataCentre: modeler.DataCentreName(dataCentre(dc)),
				callers:    next(),
				operators:  next(),
				peers:      next(),
			})
		}
	}
}

func (fl *fleet) startHost(hst *host) error {
	args := []string{
		"--host-name", string(hst.name), "--host-data-centre", string(hst.dataCentre),
		"--listen-callers", hst.callers.String(), "--listen-operators", hst.operators.String(),
		"--listen-peers", hst.peers.String(), "--platform-store", platformAddress,
		"--platform-host-list", platformAddress, "--insecure", "true",
	}
	for _, other := range fl.hosts {
		if other != hst {
			args = append(args, "--peers-addresses", other.peers.String())
		}
	}
	hst.cmd = fl.command("currantd", args...)
	return hst.cmd.Start()
}

// waitUntil polls a condition until it holds. It returns an error after startTimeout.
func (fl *fleet) waitUntil(ctx context.Context, what string, done func() bool) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if done() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("timed out after %s waiting until %s", startTimeout, what)
}

func (fl *fleet) allListen() bool {
	for _, hst := range fl.hosts {
		if fl.get("http://"+hst.operators.String()+"/healthz", &struct{}{}) != nil {
			return false
		}
	}
	return true
}

// allHaveLeaders reports whether every host knows a leader of every data centre.
func (fl *fleet) allHaveLeaders() bool {
	for _, hst := range fl.hosts {
		var all []server.Host
		if fl.get("http://"+hst.operators.String()+"/v1/hosts", &all) != nil {
			return false
		}
		led := map[modeler.DataCentreName]bool{}
		for _, one := range all {
			led[one.DataCentre] = led[one.DataCentre] || one.Leading
		}
		for dc := range fl.options.DataCentres {
			if !led[modeler.DataCentreName(dataCentre(dc))] {
				return false
			}
		}
	}
	return true
}

// putConfiguration stores the configuration as the next revision after the expected one.
func (fl *fleet) putConfiguration(ctx context.Context, expected modeler.Revision) error {
	if fl.cfg == nil {
		if err := fl.buildConfiguration(); err != nil {
			return err
		}
	}
	url := fmt.Sprintf("http://%s/v1/config?Expected=%d", fl.hosts[0].operators, expected)
	rq, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(checker.Encode(fl.cfg)))
	if err != nil {
		return err
	}
	rs, err := fl.client.Do(rq)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(rs.Body)
		return fmt.Errorf("put configuration: %s", text)
	}
	return nil
}

// buildConfiguration builds the configuration from the hosts and the platform's runners.
func (fl *fleet) buildConfiguration() error {
	cfg := &modeler.Configuration{Limits: modeler.DefaultLimits}
	if err := fl.get("http://"+platformAddress+"/runners", &cfg.Runners); err != nil {
		return err
	}
	for dc := range fl.options.DataCentres {
		cfg.DataCentres = append(cfg.DataCentres, modeler.DataCentreName(dataCentre(dc)))
	}
	for _, hst := range fl.hosts {
		cfg.Hosts = append(cfg.Hosts, modeler.Host{Name: hst.name, DataCentre: hst.dataCentre, Peer: hst.peers})
	}
	cfg.Services = []modeler.Service{{
		Name: service, CallLimit: 5 * time.Second, Deadline: 2 * time.Second, QueueLimit: 1000, BodyLimit: 1 << 20,
	}}
	fl.cfg = cfg
	return nil
}

func (fl *fleet) get(url string, into any) error {
	rs, err := fl.client.Get(url)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, rs.Status)
	}
	return json.NewDecoder(rs.Body).Decode(into)
}

// readOracle returns what the platform has recorded about runners and workers.
func (fl *fleet) readOracle(context.Context) (emulator.OracleAnswer, error) {
	var orc emulator.OracleAnswer
	return orc, fl.get("http://"+platformAddress+"/oracle", &orc)
}

// setFaults replaces the active faults of the platform.
func (fl *fleet) setFaults(sws ...emulator.Switch) error {
	body, err := json.Marshal(emulator.FaultsRequest{Clear: true, Set: sws})
	if err != nil {
		return err
	}
	rs, err := fl.client.Post("http://"+platformAddress+"/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("set faults: %s", rs.Status)
	}
	return nil
}

// stop drains all daemons and returns the exit codes of those that were not killed before.
func (fl *fleet) stop() map[modeler.HostName]int {
	codes := map[modeler.HostName]int{}
	for _, hst := range fl.hosts {
		if hst.cmd != nil {
			_ = hst.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, hst := range fl.hosts {
		if hst.cmd != nil {
			codes[hst.name] = exitCode(hst.cmd.Wait())
			hst.cmd = nil
		}
	}
	return codes
}

func exitCode(err error) int {
	var ee *exec.ExitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &ee):
		return ee.ExitCode()
	}
	return -1
}

// close kills the remaining processes.
func (fl *fleet) close() {
	for _, hst := range fl.hosts {
		if hst.cmd != nil && hst.cmd.Process != nil {
			_ = hst.cmd.Process.Kill()
			_ = hst.cmd.Wait()
		}
	}
	if fl.platform != nil && fl.platform.Process != nil {
		_ = fl.platform.Process.Kill()
		_ = fl.platform.Wait()
	}
}
