package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The deployment: a small one like mensagem-comum, with fewer workers.
const (
	coreCount   = 3
	edgeCount   = 8
	clientHost  = "ficu95.example"
	corePort    = 8146
	frontPort   = 8144
	readyPort   = 8140
	platformURL = 8142

	contactTime     = 3000 * time.Millisecond // contactMs
	configApplyTime = 2000 * time.Millisecond // configApplyMs
)

var zones = []string{"alcantara", "oriente", "carnaxide"}

// The loopback subnets of the machines, by the third number of the address.
const (
	coreSubnet = iota + 1
	edgeSubnet
	platformSubnet
	workerSubnet
)

// cluster is the running deployment.
type cluster struct {
	programs string
	trouble  bool
	folder   string
	network  int // second number of all addresses
	lock     net.Listener
	began    time.Time
	base     int // version of the newest acknowledged configuration

	mutex  sync.Mutex
	record *os.File
	starts []startSeen
	// largeBegun and largeEnded count the runs of tasks that ask for nothing. They are too many for a line each.
	largeBegun, largeEnded int
	core                   []*machine
	edge                   []*machine
	workers                []*worker
}

// startSeen is a task that a worker has begun.
type startSeen struct {
	at            time.Duration
	task, service string
	worker        string
}

// machine is one process of the system.
type machine struct {
	name, ip string
	command  *exec.Cmd
}

func newCluster(programs string, record *os.File, trouble bool) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{programs: programs, trouble: trouble, folder: folder, record: record, began: time.Now()}
	for try := range 100 {
		c.network = 100 + (os.Getpid()+try)%100
		if c.lock, err = net.Listen("tcp", c.address(platformSubnet, 250, 7659)); err == nil {
			return c, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network: %w", err)
}

func (c *cluster) ip(subnet, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.network, subnet, host)
}

func (c *cluster) address(subnet, host, port int) string {
	return fmt.Sprintf("%s:%d", c.ip(subnet, host), port)
}

func (c *cluster) now() time.Duration { return time.Since(c.began) }

func (c *cluster) logf(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	fmt.Fprintf(c.record, "%8.3f  %s\n", c.now().Seconds(), fmt.Sprintf(format, arguments...))
}

// noteStart records a task that a worker has begun.
func (c *cluster) noteStart(task string, w *worker) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.starts = append(c.starts, startSeen{at: c.now(), task: task, service: w.service, worker: w.id})
}

// startsOf returns the tasks of a job that workers have begun.
func (c *cluster) startsOf(job string) []startSeen {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var found []startSeen
	for _, s := range c.starts {
		if len(s.task) > len(job) && s.task[:len(job)] == job {
			found = append(found, s)
		}
	}
	return found
}

// open starts everything and waits until all machines serve the first configuration. services holds the number of workers of each service.
func (c *cluster) open(first configuration, services map[string]int) error {
	number := 0
	for _, r := range first.services() {
		for range services[r] {
			number++
			w, err := startWorker(c, number, r)
			if err != nil {
				return err
			}
			c.workers = append(c.workers, w)
		}
	}
	if err := c.servePlatform(); err != nil {
		return err
	}
	for i := range coreCount {
		m, err := c.startMachine(fmt.Sprintf("core-%d", i+1), "controlplane", c.ip(coreSubnet, i+1), zones[i], true)
		if err != nil {
			return err
		}
		c.core = append(c.core, m)
	}
	for i := range edgeCount {
		m, err := c.startMachine(fmt.Sprintf("edge-%d", i+1), "dataplane", c.ip(edgeSubnet, i+1), zones[i%len(zones)], false)
		if err != nil {
			return err
		}
		c.edge = append(c.edge, m)
	}
	if err := c.change(first); err != nil {
		return err
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range c.edge {
		for !c.ready(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.logf("all machines serve")
	return nil
}

func (c *cluster) ready(m *machine) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", m.ip, readyPort))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (c *cluster) startMachine(name, program, ip, zone string, core bool) (*machine, error) {
	settings := filepath.Join(c.folder, name+".toml")
	if err := os.WriteFile(settings, c.settings(name, ip, zone, core), 0o644); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(c.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer output.Close()
	m := &machine{name: name, ip: ip, command: exec.Command(filepath.Join(c.programs, program), "run")}
	m.command.Env = append(os.Environ(), "GAUGESLIP_NODE_FILE="+settings)
	m.command.Stdout, m.command.Stderr = output, output
	if err := m.command.Start(); err != nil {
		return nil, err
	}
	return m, nil
}

// settings returns the settings file of a process, with the figures of mensagem-comum.
func (c *cluster) settings(name, ip, zone string, core bool) []byte {
	var b bytes.Buffer
	line := func(format string, arguments ...any) { fmt.Fprintf(&b, format+"\n", arguments...) }
	role, class, serves := "dispatcher", "edge", "edge"
	if core {
		role, class, serves = "replica", "core", "control"
	}
	line("nodeName = %q\nrole = %q\nmachineClass = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"lisboa\"", name, role, class, serves, ip, zone)
	line("ephemeralPorts = [7660,7675]")
	line("seedNodes = [%q,%q,%q]", c.address(coreSubnet, 1, corePort), c.address(coreSubnet, 2, corePort), c.address(coreSubnet, 3, corePort))
	line("bootstrap = true\ncountsForQuorum = %v\ndiscovery = \"cloud_api\"\nentrypoint = \"vip\"\nheartbeatIntervalMs = 1500", core)
	line("invariants = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\ncommands = \"invocation\"")
	if core {
		line("dataDir = %q", filepath.Join(c.folder, name))
	}
	line("[zones]\nalcantara = \"lisboa\"\noriente = \"lisboa\"\ncarnaxide = \"lisboa\"\n[bindAddresses]")
	if core {
		line("controlPlane = \"%s:%d\"", ip, corePort)
		line("[limits]\ncpuQuota = 0.768\ncores = 1\nmemoryMb = 280\nmaxOpenFiles = 4096\nbandwidthMbps = 1000.0\ndiskMb = 128")
	} else {
		line("frontend = \"%s:%d\"\nreadiness = \"%s:%d\"", ip, frontPort, ip, readyPort)
		line("[limits]\ncpuQuota = 0.4\ncores = 1\nmemoryMb = 284\nmaxOpenFiles = 4100\nbandwidthMbps = 1000.0\ndiskMb = 0")
	}
	line("[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\naddressReuseS = 2\ncontactMs = 3000\nackTimeoutMs = 4000")
	line("catchUpS = 4\ndrainTimeoutMs = 3000\ngracePeriodS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\ndowngradeSlackMs = 250\nmaxSkewMs = 5000")
	line("recoveryS = 12\nmaxHoldMs = 6000\nstop_ms = 400\ngang_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14")
	line("status_s = 120\nfar_x = 1.5\nsave_s = 2\nrestore_ms = 250")
	line("[cloudProvider]\naddress = %q\nratePerS = 50.0\nduties = []\nmaxLagMs = 800", c.address(platformSubnet, 1, platformURL))
	return b.Bytes()
}

// servePlatform serves the list of workers.
func (c *cluster) servePlatform() error {
	listener, err := net.Listen("tcp", c.address(platformSubnet, 1, platformURL))
	if err != nil {
		return err
	}
	list := func(out http.ResponseWriter, _ *http.Request) {
		instances := []map[string]any{}
		for _, w := range c.workers {
			instances = append(instances, w.listed())
		}
		out.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(map[string]any{"instances": instances, "nextPageToken": nil})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", list)
	go func() { _ = http.Serve(listener, mux) }()
	return nil
}

// close ends all processes, also stopped ones, and removes the folder.
func (c *cluster) close() {
	for _, m := range append(append([]*machine{}, c.core...), c.edge...) {
		_ = m.command.Process.Kill()
		_ = m.command.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
	_ = c.lock.Close()
}

func (c *cluster) signal(m *machine, s syscall.Signal) {
	_ = m.command.Process.Signal(s)
	c.logf("%s gets %s", m.name, s)
}

// reply is the answer to an HTTP call. Status 0 means that none came.
type reply struct {
	status int
	text   string
}

func httpCall(client *http.Client, method, url, host string, header map[string]string, body []byte, patience time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return reply{text: err.Error()}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{text: "no answer"}
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
	return reply{response.StatusCode, string(bytes.TrimSpace(text))}
}

// caller is a client at one dispatcher.
type caller struct {
	cluster *cluster
	machine *machine
	http    *http.Client
}

// keptClient returns a client that keeps its connection open.
func (c *cluster) keptClient(m *machine) *caller {
	return &caller{cluster: c, machine: m, http: &http.Client{Transport: &http.Transport{}}}
}

func (k *caller) call(method, path string, body []byte, patience time.Duration) reply {
	c, m := k.cluster, k.machine
	c.logf("client sends %s %s to %s", method, path, m.name)
	header := map[string]string{"X-Gaugeslip-Deadline": fmt.Sprint(patience.Milliseconds())}
	answer := httpCall(k.http, method, fmt.Sprintf("http://%s:%d%s", m.ip, frontPort, path), clientHost, header, body, patience)
	c.logf("client gets for %s %s from %s: %d %s", method, path, m.name, answer.status, answer.text)
	return answer
}

// client makes a client's call at a dispatcher, on a connection of its own.
func (c *cluster) client(m *machine, method, path string, body []byte, patience time.Duration) reply {
	one := &caller{cluster: c, machine: m, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	return one.call(method, path, body, patience)
}

// change sends a configuration until it is acknowledged, to one core machine after the other.
func (c *cluster) change(next configuration) error {
	body := next.encode()
	deadline := time.Now().Add(20 * time.Second)
	for try := 0; time.Now().Before(deadline); try++ {
		m := c.core[try%len(c.core)]
		header := map[string]string{"X-Gaugeslip-Base-Version": fmt.Sprint(c.base)}
		answer := httpCall(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, http.MethodPost, fmt.Sprintf("http://%s:%d/Config.Replace", m.ip, corePort), "", header, body, time.Second)
		c.logf("operator sends version %d on %d to %s: %d %s", next.version, c.base, m.name, answer.status, answer.text)
		if answer.status == http.StatusOK {
			c.base = next.version
			c.logf("version %d is %s", next.version, body)
			return nil
		}
		if answer.status == http.StatusBadRequest {
			return fmt.Errorf("version %d is refused: %s", next.version, answer.text)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("version %d isn't acknowledged", next.version)
}

// route is one queue of a configuration.
type route struct {
	name, prefix, service string
	timeoutMs             int
}

type configuration struct {
	version int
	routes  []route
	idleMs  int
}

func (c configuration) services() []string {
	var names []string
	seen := map[string]bool{}
	for _, r := range c.routes {
		if !seen[r.service] {
			seen[r.service] = true
			names = append(names, r.service)
		}
	}
	return names
}

func (c configuration) encode() []byte {
	routes, services := []map[string]any{}, []map[string]any{}
	for _, r := range c.routes {
		one := map[string]any{"host": clientHost, "pathPrefix": r.prefix, "type": "non_idempotent", "timeoutMs": r.timeoutMs,
			"targetLatencyMs": 1000, "priority": 1, "backend": r.service, "maxRetries": 3, "extension": 2.2}
		if r.name != "" {
			one["name"] = r.name
		}
		routes = append(routes, one)
	}
	for _, name := range c.services() {
		services = append(services, map[string]any{"name": name, "healthCheck": "/healthz", "maxConnections": 64, "protocol": "h1",
			"tls": false, "preconditions": true})
	}
	idle := 15000
	if c.idleMs > 0 {
		idle = c.idleMs
	}
	limits := map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idle}
	body, _ := json.Marshal(map[string]any{"version": c.version, "routes": routes, "services": services, "limits": limits})
	return body
}

// job returns the body of a job of one step. Each task works for the given time; the spec tells the workers so.
func job(count, ms int) []byte {
	spec := fmt.Sprintf("work %d", ms)
	body, _ := json.Marshal(map[string]any{"spec": spec, "stages": []map[string]any{
		{"count": count, "cpu": 1000, "memMb": 256, "estimatedMs": ms}}})
	return body
}

// asksNothing ends the spec of a task that asks for no cpu.
const asksNothing = ", no cpu"

// jobWithoutNeed is job for tasks that ask for nothing but their turn.
func jobWithoutNeed(count, ms int) []byte {
	spec := fmt.Sprintf("work %d", ms) + asksNothing
	body, _ := json.Marshal(map[string]any{"spec": spec, "stages": []map[string]any{{"count": count, "estimatedMs": ms}}})
	return body
}

// countLarge counts runs of tasks that ask for nothing.
func (c *cluster) countLarge(begun, ended int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.largeBegun += begun
	c.largeEnded += ended
}

// logLarge notes these counts once a second.
func (c *cluster) logLarge() {
	for range time.Tick(time.Second) {
		c.mutex.Lock()
		begun, ended := c.largeBegun, c.largeEnded
		c.mutex.Unlock()
		c.logf("runs of the large jobs so far: %d begun, %d ended", begun, ended)
	}
}
