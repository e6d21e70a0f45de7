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
	service      = "tidebook"
	standAddress = "127.0.0.1:17400"
	firstPort    = 17500
	startLimit   = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	pauseTime    = 4 * time.Second
	storeOutage  = 6 * time.Second
)

// fleet is the set of processes.
type fleet struct {
	options options
	stand   *exec.Cmd
	hosts   []*host
	cfg     *modeler.Configuration
	client  *http.Client
	// inForce is the time from the acceptance of a changed configuration until it was in force at
	// every host, zero when it was not measured.
	inForce time.Duration
}

// host is one daemon.
type host struct {
	name                      modeler.HostName
	dataCentre                modeler.DataCentreName
	callers, operators, peers netip.AddrPort
	cmd                       *exec.Cmd
	// out is set while a balancer would send no calls.
	out atomic.Bool
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
	if err := fl.startStand(ctx); err != nil {
		return err
	}
	fl.placeHosts()
	for _, hst := range fl.hosts {
		if err := fl.startHost(hst); err != nil {
			return err
		}
	}
	if err := fl.until(ctx, "the hosts listen", fl.allListen); err != nil {
		return err
	}
	if err := fl.put(ctx, 0); err != nil {
		return err
	}
	return fl.until(ctx, "each data centre has a leader", fl.allLed)
}

func (fl *fleet) startStand(ctx context.Context) error {
	op := fl.options
	args := []string{
		"--address", standAddress, "--service", service, "--runners", fmt.Sprint(op.Runners),
		"--call-time", op.CallTime.String(), "--guards-off",
	}
	for num := range op.DataCentres {
		args = append(args, "--data-centre", dataCentre(num))
	}
	fl.stand = fl.command("currantstand", args...)
	if err := fl.stand.Start(); err != nil {
		return err
	}
	return fl.until(ctx, "currantstand listens", func() bool {
		var rns []modeler.Runner
		return fl.get("http://"+standAddress+"/runners", &rns) == nil
	})
}

func dataCentre(num int) string { return fmt.Sprintf("dc-%d", num+1) }

func (fl *fleet) command(name string, args ...string) *exec.Cmd {
	// A path with a separator keeps the search for programs in PATH out.
	cmd := exec.Command(fl.options.Binaries+string(filepath.Separator)+name, args...)
	// A daemon must not outlive the experiment.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if fl.options.Verbose {
		cmd.Stderr = os.Stderr
	}
	return cmd
}

func (fl *fleet) placeHosts() {
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
		"--listen-peers", hst.peers.String(), "--platform-store", standAddress,
		"--platform-host-list", standAddress, "--insecure", "true",
	}
	for _, other := range fl.hosts {
		if other != hst {
			args = append(args, "--peers-addresses", other.peers.String())
		}
	}
	hst.cmd = fl.command("currantd", args...)
	return hst.cmd.Start()
}

// until polls a condition up to startLimit.
func (fl *fleet) until(ctx context.Context, what string, done func() bool) error {
	deadline := time.Now().Add(startLimit)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if done() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("waited %s in vain until %s", startLimit, what)
}

func (fl *fleet) allListen() bool {
	for _, hst := range fl.hosts {
		if fl.get("http://"+hst.operators.String()+"/healthz", &struct{}{}) != nil {
			return false
		}
	}
	return true
}

// allLed tells whether every host knows a leader of every data centre.
func (fl *fleet) allLed() bool {
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

// put stores a configuration as the successor of the expected revision.
func (fl *fleet) put(ctx context.Context, expected modeler.Revision) error {
	if fl.cfg == nil {
		if err := fl.describe(); err != nil {
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

func (fl *fleet) describe() error {
	cfg := &modeler.Configuration{Limits: modeler.DefaultLimits}
	if err := fl.get("http://"+standAddress+"/runners", &cfg.Runners); err != nil {
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

func (fl *fleet) oracle(context.Context) (emulator.OracleAnswer, error) {
	var orc emulator.OracleAnswer
	return orc, fl.get("http://"+standAddress+"/oracle", &orc)
}

// setFaults replaces the fault switches of the platform.
func (fl *fleet) setFaults(sws ...emulator.Switch) error {
	body, err := json.Marshal(emulator.FaultsRequest{Clear: true, Set: sws})
	if err != nil {
		return err
	}
	rs, err := fl.client.Post("http://"+standAddress+"/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("set faults: %s", rs.Status)
	}
	return nil
}

// stop drains all daemons and returns the exit codes of those that were not killed.
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

// close ends what is left of the processes.
func (fl *fleet) close() {
	for _, hst := range fl.hosts {
		if hst.cmd != nil && hst.cmd.Process != nil {
			_ = hst.cmd.Process.Kill()
			_ = hst.cmd.Wait()
		}
	}
	if fl.stand != nil && fl.stand.Process != nil {
		_ = fl.stand.Process.Kill()
		_ = fl.stand.Wait()
	}
}
