package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (rc *record) write(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	fmt.Fprintf(rc.file, "%8.3f  %s\n", time.Since(rc.began).Seconds(), fmt.Sprintf(format, args...))
}

// host is a process of the system, as deploy/system.toml starts it.
type host struct {
	name      string
	front     string
	readiness string
	settings  string
	command   *exec.Cmd
	logs      *os.File
}

// settingsOf renders deploy/settings.ini for a small deployment.
func settingsOf(template string, values map[string]string) string {
	for key, value := range values {
		template = strings.ReplaceAll(template, "{{"+key+"}}", value)
	}
	// The policy service is not used.
	if first, rest, ok := strings.Cut(template, "{{#advice}}"); ok {
		_, rest, _ = strings.Cut(rest, "{{/advice}}")
		template = first + rest
	}
	return template
}

// startHost starts currantd with settings in a folder.
func startHost(root, dir, name, store string) (*host, error) {
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.ini"))
	if err != nil {
		return nil, err
	}
	ports := freePorts(4)
	hs := &host{name: name, front: addr(ports[0]), readiness: addr(ports[1]), settings: filepath.Join(dir, name+".ini")}
	text := settingsOf(string(template), map[string]string{
		"bounds.maxHoldMs": "10000", "bounds.stopMs": "400", "bounds.status_s": "120", "bounds.harmMs": "4000", "bounds.restoreMs": "100",
		"bounds.farFactor": "1.5", "bounds.graceS": "6", "node": name, "zone": "zone-1", "limits.cpuShare": "0.4", "limits.cores": "1",
		"listen.front": hs.front, "listen.readiness": hs.readiness, "ip": "127.0.0.1",
		"portRange.0": fmt.Sprint(ports[2]), "portRange.1": fmt.Sprint(ports[3]), "platform.address": store,
	})
	if err := os.WriteFile(hs.settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	if hs.logs, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	return hs, hs.start(root)
}

func (hs *host) start(root string) error {
	hs.command = exec.Command(filepath.Join(root, "target", "currantd"), "--settings="+hs.settings)
	hs.command.Stdout, hs.command.Stderr = hs.logs, hs.logs
	// The process ends with this one.
	hs.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return hs.command.Start()
}

func (hs *host) kill() {
	_ = hs.command.Process.Kill()
	_ = hs.command.Wait()
}

func addr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// freePorts returns free ports on loopback.
func freePorts(count int) []int {
	var ports []int
	var open []net.Listener
	for range count {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		open = append(open, ln)
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	for _, ln := range open {
		_ = ln.Close()
	}
	return ports
}

var client = &http.Client{Timeout: 3 * time.Second}

// call sends a request of a client and returns the status, zero for no answer, and the body.
func call(method, address, path string, body any) (int, []byte) {
	var rd io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		rd = bytes.NewReader(data)
	}
	rq, err := http.NewRequest(method, "http://"+address+path, rd)
	if err != nil {
		panic(err)
	}
	rq.Host = "jobs.example"
	rq.Header.Set("Timeout-Ms", "3000")
	if body != nil {
		rq.Header.Set("Content-Type", "application/json")
	}
	rs, err := client.Do(rq)
	if err != nil {
		return 0, nil
	}
	defer rs.Body.Close()
	data, _ := io.ReadAll(rs.Body)
	return rs.StatusCode, data
}

// ready waits until the host reports itself ready.
func (hs *host) ready(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := call(http.MethodGet, hs.readiness, "/v1/ready", nil); status == http.StatusOK {
			return true
		}
	}
	return false
}
