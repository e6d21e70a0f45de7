// Command standin runs a case of the review: it starts stand-ins of the platform, the runners, the policy service and the
// clients, and processes of the system, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// program is the program of deploy/system.toml.
const program = "target/currantd"

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// A reviewCase plays one case. Only its rule decides on the exit status.
type reviewCase struct {
	rule string
	play func(*world) error
}

var cases = map[string]reviewCase{
	"held": {"LOST", heldByHopeless}, "avoided": {"LOST", avoided}, "advice": {"LOST", removedAdvice}, "wide": {"LOST", wideGang}, "limit": {"LIMIT", overCapacity},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(notRun)
	}
	rc, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(notRun)
	}
	os.Exit(rc.run(os.Args[2]))
}

// trouble reports whether the case has its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// run plays the case and returns the exit status.
func (rc *reviewCase) run(record string) int {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	wd, err := newWorld(dir, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	quit := make(chan struct{})
	defer func() {
		close(quit)
		for _, ho := range wd.hosts {
			ho.end()
		}
		_ = wd.record.Close()
	}()
	go wd.run(quit)
	if err := playInTime(wd, rc.play); err != nil {
		wd.say("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	wd.mu.Lock()
	defer wd.mu.Unlock()
	status := held
	for _, vl := range wd.violations {
		fmt.Println(vl.rule + ": " + vl.text)
		if vl.rule == rc.rule {
			status = broken
		}
	}
	if status == held {
		wd.note("%s held", rc.rule)
	}
	return status
}

// maxTime bounds a case.
const maxTime = 105 * time.Second

// playInTime returns an error if the case takes too long or a signal ends it, so that its processes are ended in any event.
func playInTime(wd *world, play func(*world) error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- play(wd) }()
	select {
	case err := <-done:
		return err
	case sg := <-signals:
		return fmt.Errorf("ended by signal: %s", sg)
	case <-time.After(maxTime):
		return fmt.Errorf("not done after %s", maxTime)
	}
}

// runnerSpec describes runners of a small deployment.
type runnerSpec struct {
	count    int
	label    string
	capacity resources
}

// setUp starts the platform, the runners and the processes of a small deployment. guards is the service's admissionCheck.
func (wd *world) setUp(hosts int, guards bool, specs ...runnerSpec) error {
	storeAddr, err := serve(wd.store)
	if err != nil {
		return err
	}
	wd.policy = &policy{wd: wd, tickets: map[string]time.Time{}, allowed: allowSome}
	policyAddr, err := serve(wd.policy)
	if err != nil {
		return err
	}
	wd.pools["pool-a"] = guards
	wd.writeConfig(wd.queues...)
	for _, sp := range specs {
		for range sp.count {
			no := len(wd.runners)
			rn := &runner{
				wd: wd, id: fmt.Sprintf("w%d", no), pool: "pool-a", zone: fmt.Sprintf("zone-%d", no%2), capacity: sp.capacity, guards: guards,
				labels: []string{sp.label, fmt.Sprintf("r1-%d", no/4)},
			}
			wd.mu.Lock()
			wd.runners = append(wd.runners, rn)
			wd.mu.Unlock()
			if err := rn.start(); err != nil {
				return err
			}
		}
	}
	for ix := range hosts {
		ho, err := wd.addHost(fmt.Sprintf("edge-%d", ix), fmt.Sprintf("zone-%d", ix%2), storeAddr, policyAddr)
		if err != nil {
			return err
		}
		if err := ho.start(); err != nil {
			return err
		}
	}
	return wd.awaitReady(20 * time.Second)
}

// awaitReady waits until all processes have the config and one leads. A process that found one of its ports taken gets others.
func (wd *world) awaitReady(limit time.Duration) error {
	probe := &queue{name: "none", host: "none.example", prefix: "/none/"}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, ho := range wd.hosts {
			if ho.crashed() {
				wd.say("%s did not start: %s", ho.name, ho.lastLine())
				if err := ho.configure(); err != nil {
					return err
				}
				if err := ho.start(); err != nil {
					return err
				}
			}
			if status, _ := ho.call("GET", probe, "0000000000000000", nil, time.Second); status == 404 {
				ready++
			}
		}
		if ready == len(wd.hosts) {
			_, err := wd.leader()
			time.Sleep(3 * time.Second)
			return err
		}
	}
	for _, ho := range wd.hosts {
		wd.say("%s: %s", ho.name, ho.lastLine())
	}
	return fmt.Errorf("the processes are not ready after %s", limit)
}
