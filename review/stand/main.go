// Command stand plays one case of the review: it starts the stand-ins of the platform and the
// processes of the system, and checks one rule by what clients and runners see. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// timeLimit bounds a case, which may take 120 s.
const timeLimit = 110 * time.Second

// world is what a case works with.
type world struct {
	root, dir string
	record    *record
	store     *store
	fleet     *fleet
	hosts     []*host
	// trouble is unset for a run without the disruption.
	trouble bool
}

// errBlocked is a case that could not run.
type errBlocked struct{ reason string }

func (eb errBlocked) Error() string { return eb.reason }

func blocked(format string, args ...any) error { return errBlocked{fmt.Sprintf(format, args...)} }

var cases = map[string]func(*world) (broken bool, err error){
	"label":   labelCase,
	"late":    lateCase,
	"pending": pendingCase,
	"relapse": relapseCase,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT RECORD")
		return 2
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	wd := &world{root: root, dir: dir, record: &record{file: file, began: time.Now()}, store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	wd.fleet = newFleet(wd.store, wd.record)
	time.AfterFunc(timeLimit, func() {
		wd.record.write("the case could not run within %s", timeLimit)
		_ = os.RemoveAll(dir)
		// The processes that were started end with this one.
		os.Exit(2)
	})
	defer func() {
		for _, hs := range wd.hosts {
			hs.kill()
		}
	}()
	broken, err := cases[os.Args[1]](wd)
	switch {
	case err != nil:
		wd.record.write("the case could not run: %s", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		wd.record.write("the rule was broken")
		fmt.Println("broken")
		return 1
	}
	wd.record.write("the rule held")
	fmt.Println("held")
	return 0
}

// startHosts starts processes of the system one after the other and waits until each is ready. A process
// whose ports were taken meanwhile is started again with others.
func (wd *world) startHosts(count int) error {
	for ix := range count {
		name := fmt.Sprintf("edge-%d", ix+1)
		for try := 1; ; try++ {
			hs, err := startHost(wd.root, wd.dir, name, wd.store.listen())
			if err != nil {
				return blocked("%s", err)
			}
			if hs.ready(8 * time.Second) {
				wd.hosts = append(wd.hosts, hs)
				break
			}
			hs.kill()
			if try == 3 {
				return blocked("%s does not become ready", name)
			}
		}
	}
	return nil
}

// configure writes the config with one queue at /q/.
func (wd *world) configure(version int64) {
	wd.store.put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "q", "host": "jobs.example", "prefix": "/q/", "backend": "pool", "attempts": 3, "stretch": 2.0, "targetLatencyMs": 1000, "priority": 0,
		}},
		"backends": []map[string]any{{"name": "pool", "healthPath": "/health", "admissionCheck": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
	})
}

// submit hands in a job of one step at a host and returns the status.
func (wd *world) submit(at *host, id string, count int, cpu int64, runTime time.Duration) int {
	wd.fleet.expect(id, 0, cpu)
	status, _ := call("POST", at.front, "/q/"+id, map[string]any{
		"spec":  fmt.Sprint(runTime.Milliseconds()),
		"steps": []map[string]any{{"count": count, "cpu": cpu, "memMb": 100, "estimateMs": runTime.Milliseconds()}},
	})
	wd.record.write("POST %s at %s: %d", id, at.name, status)
	return status
}
