package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// host is one machine of the system with its process.
type host struct {
	wd       *world
	name     string
	zone     string
	front    string
	settings string
	// storeAddr and policyAddr are the addresses of the platform's services.
	storeAddr, policyAddr string
	command               *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// freeAddresses returns free addresses on loopback. All have an IP address of this process alone, so that nobody else takes
// a port before the process of the host has it.
func freeAddresses(count int) ([]string, error) {
	var list []string
	for range count {
		ln, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		list = append(list, ln.Addr().String())
	}
	return list, nil
}

// loopback is an address that other cases under way hardly have.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8%250, 1+os.Getpid()%250, 2+time.Now().Nanosecond()/1000%250)

// serve serves a handler on a free port of loopback and returns its address.
func serve(hd http.Handler) (string, error) {
	ln, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: hd}).Serve(ln) }()
	return ln.Addr().String(), nil
}

// addHost prepares a host.
func (wd *world) addHost(name, zone, storeAddr, policyAddr string) (*host, error) {
	ho := &host{wd: wd, name: name, zone: zone, storeAddr: storeAddr, policyAddr: policyAddr, settings: filepath.Join(wd.dir, name+".ini")}
	wd.hosts = append(wd.hosts, ho)
	return ho, ho.configure()
}

// configure chooses free addresses and writes the settings as deploy/settings.ini renders them.
func (ho *host) configure() error {
	addrs, err := freeAddresses(4)
	if err != nil {
		return err
	}
	wd := ho.wd
	ho.front = addrs[0]
	text := fmt.Sprintf("[Jobs]\nEnabled = true\nLongestLease = %dms\nStopLimit = %dms\nRetention = 120s\nHarmLimit = 4000ms\nRestoreTime = %dms\nFarFactor = 1.5\n"+
		"[Host]\nName = %s\nDataCentre = %s\nShare = 0.4\nSpeed = 1\n[Listen]\nCallers = %s\nReadiness = %s\nPeers = %s\nOperators = %s\n[Platform]\nStore = %s\nPolicy = %s\n"+
		"[Limits]\nDrainLimit = 6s\n[TLS]\nTrustedNetwork = true\n",
		wd.maxHold.Milliseconds(), wd.stop.Milliseconds(), wd.restore.Milliseconds(), ho.name, ho.zone, addrs[0], addrs[1], addrs[2], addrs[3], ho.storeAddr, ho.policyAddr)
	return os.WriteFile(ho.settings, []byte(text), 0o600)
}

// start starts the process of a host with the command of deploy/system.toml.
func (ho *host) start() error {
	logs, err := os.OpenFile(filepath.Join(ho.wd.dir, ho.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	cm := exec.Command(program, "--settings="+ho.settings, "--jobs-evacuation-limit=0s", "--jobs-shortage-policy=Value")
	cm.Stdout, cm.Stderr = logs, logs
	cm.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := cm.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	ho.command, ho.ended = cm, ended
	go func() {
		_ = cm.Wait()
		close(ended)
	}()
	return nil
}

func (ho *host) signal(sig syscall.Signal) {
	ho.wd.say("%s gets %s", ho.name, sig)
	_ = ho.command.Process.Signal(sig)
}

func (ho *host) end() {
	if ho.command == nil {
		return
	}
	_ = ho.command.Process.Kill()
	<-ho.ended
}

// crashed reports whether the process has ended.
func (ho *host) crashed() bool {
	select {
	case <-ho.ended:
		return true
	default:
		return false
	}
}

// lastLine returns the last line of the process's log.
func (ho *host) lastLine() string {
	data, _ := os.ReadFile(filepath.Join(ho.wd.dir, ho.name+".log"))
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// leads reports whether the process has said last that it leads.
func (ho *host) leads() bool {
	data, err := os.ReadFile(filepath.Join(ho.wd.dir, ho.name+".log"))
	if err != nil || ho.crashed() {
		return false
	}
	leads := false
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, `"leader elected"`) {
			leads = strings.Contains(line, `"Self":true`)
		}
	}
	return leads
}

// leader returns the host that leads.
func (wd *world) leader() (*host, error) {
	for range 50 {
		for _, ho := range wd.hosts {
			if ho.leads() {
				return ho, nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, errors.New("no host leads")
}

// call sends a request to the front of a host. Status 0 means no answer.
func (ho *host) call(method string, qu *queue, id string, body []byte, timeout time.Duration) (int, []byte) {
	rq, err := http.NewRequest(method, "http://"+ho.front+qu.prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	rq.Host = qu.host
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	cl := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := cl.Do(rq)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		return 0, nil
	}
	return rs.StatusCode, data
}

// submit hands a job in at one host after the other until it is accepted, and reports whether it was.
func (wd *world) submit(jb *job, first int) bool {
	wd.addJob(jb)
	body := encode(jb)
	wd.say("client: job %s: %s", jb.id, body)
	rejectedAll := true
	for at := range 5 {
		ho := wd.hosts[(first+at)%len(wd.hosts)]
		status, _ := ho.call(http.MethodPost, jb.queue, jb.id, body, 3*time.Second)
		wd.mu.Lock()
		wd.note("client: POST %s%s at %s: %d", jb.queue.prefix, jb.id, ho.name, status)
		if status/100 == 2 {
			jb.accepted = time.Now()
			wd.mu.Unlock()
			return true
		}
		if status != 429 && status != 503 && status != 404 && status != 400 {
			rejectedAll = false
		}
		jb.rejected = rejectedAll && at == 4
		wd.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// cancelJob cancels a job at one host after the other until that is acknowledged.
func (wd *world) cancelJob(jb *job, first int) bool {
	wd.mu.Lock()
	jb.cancelSent = time.Now()
	wd.mu.Unlock()
	for at := range 8 {
		ho := wd.hosts[(first+at)%len(wd.hosts)]
		status, _ := ho.call(http.MethodDelete, jb.queue, jb.id, nil, 3*time.Second)
		wd.mu.Lock()
		wd.note("client: DELETE %s%s at %s: %d", jb.queue.prefix, jb.id, ho.name, status)
		if status/100 == 2 || status == http.StatusGone {
			jb.cancelAcked = time.Now()
			wd.mu.Unlock()
			return true
		}
		wd.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// jobState asks for the state of a job until there is an answer. It returns "" for none, and "410".
func (wd *world) jobState(jb *job, first int) string {
	for at := range 5 {
		ho := wd.hosts[(first+at)%len(wd.hosts)]
		status, data := ho.call(http.MethodGet, jb.queue, jb.id, nil, 3*time.Second)
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &body) == nil {
			wd.say("client: GET %s%s at %s: %s", jb.queue.prefix, jb.id, ho.name, body.State)
			return body.State
		}
		wd.say("client: GET %s%s at %s: %d", jb.queue.prefix, jb.id, ho.name, status)
		if status == http.StatusGone {
			return "410"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}
