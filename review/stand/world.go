// Command stand starts the project's programs as processes on loopback addresses, with workers, a platform, clients and an operator of its
// own, and plays one case of the review.
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

var zones = []string{"alcantara", "oriente", "carnaxide"}

const (
	coreCount    = 3
	edgeCount    = 8
	workerCount  = 12
	cancelTime   = 3000 * time.Millisecond // cancel_ms
	ackTimeout   = 4000 * time.Millisecond // ackTimeoutMs
	contactTime  = 3000 * time.Millisecond // contactMs
	configApply  = 2000 * time.Millisecond // configApplyMs
	operatorWait = time.Second             // an operator moves on after one second without response
)

// world is one deployment in play.
type world struct {
	trouble  bool
	programs string
	folder   string
	network  int
	record   *os.File
	began    time.Time

	mutex  sync.Mutex
	starts map[string][]time.Time // by job

	core, edge []*process
	workers    []*worker
}

// process is one process of the system.
type process struct {
	name    string
	program string
	file    string
	log     *os.File

	mutex   sync.Mutex
	command *exec.Cmd
	ending  bool
	ownEnds int
}

// restartPause is after how long the platform starts a process again that has ended.
const restartPause = 500 * time.Millisecond

func (w *world) note(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, arguments...))
}

func (w *world) noteStart(task string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.starts[jobOf(task)] = append(w.starts[jobOf(task)], time.Now())
}

// startsAfter returns how many tasks of a job workers have started after a moment.
func (w *world) startsAfter(job string, moment time.Time) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	count := 0
	for _, at := range w.starts[job] {
		if at.After(moment) {
			count++
		}
	}
	return count
}

func (w *world) ip(subnet, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.network, subnet, host)
}

// The subnets of the loopback network that a play takes.
const (
	coreNet = iota + 1
	edgeNet
	platformNet
	workerNet
)

// reserve takes a loopback network that nobody uses.
func (w *world) reserve() (io.Closer, error) {
	for i := range 150 {
		w.network = 70 + (os.Getpid()+i)%150
		if listener, err := net.Listen("tcp", w.ip(platformNet, 2)+":7659"); err == nil {
			return listener, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network")
}

func (w *world) platform() error {
	listener, err := net.Listen("tcp", w.ip(platformNet, 1)+":8142")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(out http.ResponseWriter, _ *http.Request) {
		var list []map[string]any
		for _, worker := range w.workers {
			worker.mutex.Lock()
			instance := worker.instance
			worker.mutex.Unlock()
			list = append(list, map[string]any{"backend": worker.service, "address": worker.address, "zone": worker.zone, "version": "v1", "capacity": 8,
				"state": "ready", "coldRemainingMs": 0, "allocatable": map[string]int{"cpu": worker.cpu, "memMb": 65536, "gpus": 0},
				"labels": worker.labels, "id": instance})
		}
		out.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(map[string]any{"instances": list, "nextPageToken": nil})
	})
	go func() { _ = http.Serve(listener, mux) }()
	return nil
}

// settings writes the settings file of a process. The figures are those of mensagem-comum.
func (w *world) settings(name, role, class, ip, zone string, bootstrap bool) (string, error) {
	var b bytes.Buffer
	core := class == "core"
	fmt.Fprintf(&b, "nodeName = %q\nrole = %q\nmachineClass = %q\nip = %q\nzone = %q\nregion = \"lisboa\"\n", name, role, class, ip, zone)
	fmt.Fprintf(&b, "ephemeralPorts = [7660,7675]\nseedNodes = [%q,%q,%q]\n", w.ip(coreNet, 1)+":8146", w.ip(coreNet, 2)+":8146", w.ip(coreNet, 3)+":8146")
	fmt.Fprintf(&b, "bootstrap = %v\ncountsForQuorum = %v\ndiscovery = \"cloud_api\"\nentrypoint = \"vip\"\nheartbeatIntervalMs = 1500\ncommands = \"invocation\"\n", bootstrap, core)
	fmt.Fprintf(&b, "invariants = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\n")
	if core {
		fmt.Fprintf(&b, "serves = [\"control\"]\ndataDir = %q\n", filepath.Join(w.folder, name))
	} else {
		fmt.Fprintf(&b, "serves = [\"edge\"]\n")
	}
	fmt.Fprintf(&b, "[zones]\nalcantara = \"lisboa\"\noriente = \"lisboa\"\ncarnaxide = \"lisboa\"\n[bindAddresses]\n")
	if core {
		fmt.Fprintf(&b, "controlPlane = %q\n[limits]\ncpuQuota = 0.768\nmemoryMb = 280\nmaxOpenFiles = 4096\ndiskMb = 128\n", ip+":8146")
	} else {
		fmt.Fprintf(&b, "frontend = %q\nreadiness = %q\n[limits]\ncpuQuota = 0.4\nmemoryMb = 284\nmaxOpenFiles = 4100\ndiskMb = 0\n", ip+":8144", ip+":8140")
	}
	fmt.Fprintf(&b, "cores = 1\nbandwidthMbps = 1000.0\n[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n")
	fmt.Fprintf(&b, "seedLagS = 3\naddressReuseS = 2\ncontactMs = 3000\nackTimeoutMs = 4000\ncatchUpS = 4\ndrainTimeoutMs = 3000\ngracePeriodS = 6\nlossSlackMs = 200\n")
	fmt.Fprintf(&b, "configApplyMs = 2000\ndowngradeSlackMs = 250\nmaxSkewMs = 5000\nrecoveryS = 12\nmaxHoldMs = 6000\nstop_ms = 400\ngang_ms = 3000\ncancel_ms = 3000\n")
	fmt.Fprintf(&b, "visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfar_x = 1.5\nsave_s = 2\nrestore_ms = 250\n")
	fmt.Fprintf(&b, "[cloudProvider]\naddress = %q\nratePerS = 50.0\nduties = []\nmaxLagMs = 800\n", w.ip(platformNet, 1)+":8142")
	path := filepath.Join(w.folder, name+".toml")
	return path, os.WriteFile(path, b.Bytes(), 0o644)
}

// startProcess starts a process. As the platform does, it starts it again whenever it has ended by itself.
func (w *world) startProcess(p *process) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ending {
		return nil
	}
	command := exec.Command(p.program, "run")
	command.Env = append(os.Environ(), "GAUGESLIP_NODE_FILE="+p.file)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return err
	}
	p.command = command
	go func() {
		err := command.Wait()
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if p.ending {
			return
		}
		p.ownEnds++
		w.note("process %s has ended by itself, the %d. time: %v", p.name, p.ownEnds, err)
		time.AfterFunc(restartPause, func() {
			if err := w.restartProcess(p); err != nil {
				w.note("%s doesn't start again: %v", p.name, err)
			}
		})
	}()
	return nil
}

// restartProcess starts a process again, with the settings of a later start.
func (w *world) restartProcess(p *process) error {
	content, err := os.ReadFile(p.file)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.file, bytes.Replace(content, []byte("bootstrap = true"), []byte("bootstrap = false"), 1), 0o644); err != nil {
		return err
	}
	return w.startProcess(p)
}

func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_ = p.command.Process.Signal(s)
}

// panics returns the lines of the process's log that begin a panic.
func (p *process) panics() []string {
	content, _ := os.ReadFile(p.log.Name())
	var found []string
	for line := range strings.Lines(string(content)) {
		if strings.HasPrefix(line, "panic:") {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// end kills a process for good, also a stopped one.
func (p *process) end() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ending = true
	if p.command != nil {
		_ = p.command.Process.Kill()
	}
}

func (w *world) addProcess(name, program, role, class, ip, zone string) (*process, error) {
	file, err := w.settings(name, role, class, ip, zone, class == "core")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, program: filepath.Join(w.programs, program), file: file, log: log}
	return p, w.startProcess(p)
}

// open starts the stand-ins and all processes, and waits until every process serves the first configuration.
func (w *world) open(first []byte, services ...string) error {
	if err := w.platform(); err != nil {
		return err
	}
	for i := range workerCount {
		worker, err := newWorker(w, i, services[i%len(services)], w.ip(workerNet, i+1))
		if err != nil {
			return err
		}
		w.workers = append(w.workers, worker)
	}
	for i := range coreCount {
		p, err := w.addProcess(fmt.Sprintf("core-%d", i+1), "controlplane", "replica", "core", w.ip(coreNet, i+1), zones[i])
		if err != nil {
			return err
		}
		w.core = append(w.core, p)
	}
	for i := range edgeCount {
		p, err := w.addProcess(fmt.Sprintf("edge-%d", i+1), "dataplane", "dispatcher", "edge", w.ip(edgeNet, i+1), zones[i%len(zones)])
		if err != nil {
			return err
		}
		w.edge = append(w.edge, p)
	}
	deadline := time.Now().Add(20 * time.Second)
	for number := 0; ; number++ {
		status, _ := w.replace(number%coreCount, 0, first)
		if status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the first configuration isn't taken: %d", status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for i := range w.edge {
		for !w.ready(i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", w.edge[i].name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("all machines serve")
	return nil
}

func (w *world) ready(edge int) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + w.ip(edgeNet, edge+1) + ":8140/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *world) close() {
	for _, p := range append(append([]*process{}, w.core...), w.edge...) {
		p.end()
	}
	time.Sleep(200 * time.Millisecond)
}

// call makes one HTTP call on a connection of its own, and closes that after the given time at the latest. Status 0: no answer.
func call(method, url, host string, header map[string]string, body []byte, patience time.Duration) (int, string) {
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "no answer"
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 64<<10))
	return response.StatusCode, string(bytes.TrimSpace(text))
}

// client makes a client's call at a dispatcher.
func (w *world) client(edge int, method, prefix, id string, body []byte, patience time.Duration) (int, string) {
	header := map[string]string{"X-Gaugeslip-Deadline": fmt.Sprint(patience.Milliseconds())}
	status, text := call(method, "http://"+w.ip(edgeNet, edge+1)+":8144"+prefix+id, "ficu95.example", header, body, patience)
	w.note("client %-6s %s%s at %s: %d %s", method, prefix, id, w.edge[edge].name, status, text)
	return status, text
}

// replace sends a configuration to a core machine.
func (w *world) replace(core int, base int, body []byte) (int, string) {
	header := map[string]string{"X-Gaugeslip-Base-Version": fmt.Sprint(base)}
	status, text := call(http.MethodPost, "http://"+w.ip(coreNet, core+1)+":8146/Config.Replace", "", header, body, operatorWait)
	var sent struct {
		Version int `json:"version"`
	}
	_ = json.Unmarshal(body, &sent)
	w.note("operator sends version %d on %d to core-%d: %d %s", sent.Version, base, core+1, status, text)
	return status, text
}

// read reads the configuration in force, and returns its version.
func (w *world) read(core int) int {
	status, text := call(http.MethodGet, "http://"+w.ip(coreNet, core+1)+":8146/Config.Read", "", nil, nil, operatorWait)
	var found struct {
		Version int `json:"version"`
	}
	_ = json.Unmarshal([]byte(text), &found)
	w.note("operator reads at core-%d: %d, version %d", core+1, status, found.Version)
	return found.Version
}

// route is a queue of a configuration.
type route struct {
	name, prefix string
	timeoutMs    int
	service      string
}

func config(version int, routes ...route) []byte {
	var list []map[string]any
	services := map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{"name": r.name, "host": "ficu95.example", "pathPrefix": r.prefix, "type": "non_idempotent", "timeoutMs": r.timeoutMs,
			"targetLatencyMs": 1000, "priority": 1, "backend": r.service, "maxRetries": 3, "extension": 2.2})
		services[r.service] = true
	}
	var known []map[string]any
	for name := range services {
		known = append(known, map[string]any{"name": name, "healthCheck": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": false, "preconditions": true})
	}
	body, _ := json.Marshal(map[string]any{"version": version, "routes": list, "services": known,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	return body
}

// stage is one step of a job, in the words of the page.
type stage map[string]any

// job returns the body of a job. Its spec tells the workers how long the tasks of each step work, in milliseconds, and how they end.
func job(end string, ms []int, stages ...stage) []byte {
	spec, _ := json.Marshal(plan{Ms: ms, CPU: 1000, End: end})
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "stages": stages})
	return body
}

func tasks(count, ms int) stage {
	return stage{"count": count, "cpu": 1000, "memMb": 512, "estimatedMs": ms}
}

func (s stage) with(name string, value any) stage {
	s[name] = value
	return s
}
