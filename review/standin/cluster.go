package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cluster is a small deployment on loopback addresses: stand-ins of the store and of the
// workers in this process, and the instances as processes of their own.
type cluster struct {
	rec     *recorder
	dir     string // temporary folder
	command []string
	net     int // second byte of the loopback addresses
	store   *store
	workers []*worker
	nodes   []*node
	statusS int
	version int
}

// node is one instance.
type node struct {
	c    *cluster
	name string
	ip   string

	mu      sync.Mutex
	cmd     *exec.Cmd
	output  bytes.Buffer
	exited  chan struct{}
	stopped bool
}

const (
	service   = "huvo11a"
	frontPort = "8161"
	readyPort = "8167"
)

type route struct {
	name, host, prefix string
	priority, attempts int
	stretch            float64
	targetMs           int
}

// The queues of the site, without advice.
var (
	batchRoute   = route{"r-3hwrr6x", "nony24.example", "/lohu930/", 1, 4, 2.2, 1000}
	proofRoute   = route{"r-73d3zji", "ficu95.example", "/pufi791/", 2, 3, 4.0, 3000}
	previewRoute = route{"r-9n73hh2", "ficu95.example", "/pule252/", 0, 2, 1.5, 250}
)

var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

func newCluster(rec *recorder, nodes, workers, cpu int) (*cluster, error) {
	return newClusterWith(rec, nodes, workers, cpu, 120)
}

// newClusterWith is newCluster with another status_s.
func newClusterWith(rec *recorder, nodes, workers, cpu, statusS int) (*cluster, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	m := runLine.FindSubmatch(deploy)
	if m == nil {
		return nil, errors.New("deploy/system.toml has no run line")
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, command: strings.Fields(string(m[1])), store: newStore(rec), statusS: statusS}
	var ln net.Listener
	for c.net = 60 + os.Getpid()%100; ; c.net++ {
		if ln, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.7:8169", c.net)); err == nil {
			break
		}
		if c.net > 250 {
			return nil, err
		}
	}
	go func() { _ = http.Serve(ln, c.store) }()
	for i := range workers {
		w := &worker{
			id: fmt.Sprintf("i-7f3a%04x", 0x91c2+i*0x0f1d), address: fmt.Sprintf("127.%d.2.%d:8080", c.net, i+1), service: service,
			cpu: cpu, memMb: 32768, store: c.store, rec: rec,
		}
		if err := w.start(); err != nil {
			return nil, err
		}
		c.workers = append(c.workers, w)
	}
	c.configure(batchRoute, proofRoute, previewRoute)
	for i := range nodes {
		n := &node{c: c, name: fmt.Sprintf("front-z1-%d", i+1), ip: fmt.Sprintf("127.%d.1.%d", c.net, i+1)}
		c.nodes = append(c.nodes, n)
		if err := n.start(true); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// configure writes a configuration as the operator does.
func (c *cluster) configure(routes ...route) {
	c.version += 3
	var list []map[string]any
	var names []string
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": r.host, "pathPrefix": r.prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": r.targetMs,
			"priority": r.priority, "service": service, "maxAttempts": r.attempts, "stretch": r.stretch,
		})
		names = append(names, r.prefix)
	}
	c.rec.log("operator: configuration %d with routes %v", c.version, names)
	c.store.put("keyed.op", "config", map[string]any{
		"version": c.version, "routes": list,
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "rejectsOverload": false, "spare": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

const settings = `nodeName=%[1]s
role=scheduler
machineClass=front
serves=front
ip=%[2]s
zone=z1
region=r1
zones.z1=r1
listen.front=%[2]s:8161
listen.ready=%[2]s:8167
internalPorts=7720,7735
bootstrap=%[3]v
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=virtual_ip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,platform
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.recoveryS=12
bounds.holdMaxMs=6000
bounds.stopMs=400
bounds.gangMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=%[5]d
bounds.saveS=1
bounds.restoreMs=600
bounds.enforceFencing=true
bounds.leaseMs=3000
orders=call
advice=%[4]s:8170
platform.address=%[4]s:8169
platform.form=log
platform.writesPerS=800
platform.readsPerS=2000
platform.parts=8
platform.appendMs=4.0
platform.partitionMbS=20.0
platform.readMbS=80.0
platform.recordBytes=262144
platform.callBytes=2097152
platform.keep_s=300
platform.partMb=200
platform.ttlMinMs=1000
`

// start starts the instance with the command of the deploy file.
func (n *node) start(bootstrap bool) error {
	path := filepath.Join(n.c.dir, n.name+".conf")
	text := fmt.Sprintf(settings, n.name, n.ip, bootstrap, fmt.Sprintf("127.%d.0.7", n.c.net), n.c.statusS)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(n.c.command[0], n.c.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GENTIANPICK_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = n, n
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.output.Reset()
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	n.c.rec.log("%s started", n.name)
	return nil
}

// Write keeps the instance's log. It is used to choose the instance to disturb, and is not
// judged.
func (n *node) Write(b []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f := os.Getenv("REVIEW_LOGS"); f != "" {
		if out, err := os.OpenFile(filepath.Join(f, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
			_, _ = out.Write(b)
			_ = out.Close()
		}
	}
	return n.output.Write(b)
}

func (n *node) signal(s syscall.Signal) {
	n.c.rec.log("%s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// kill ends the process and waits for it.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// terminate stops the process as the platform does.
func (n *node) terminate() {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(6 * time.Second):
		n.kill()
	}
}

func (n *node) ready() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + n.ip + ":" + readyPort + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all instances report that they are ready.
func (c *cluster) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, n := range c.nodes {
			all = all && n.ready()
		}
		if all && c.owner() != nil {
			c.rec.log("all instances are ready")
			return nil
		}
	}
	return errors.New("the instances did not become ready")
}

// owner returns the instance whose log last said that it gives the orders.
func (c *cluster) owner() *node {
	for _, n := range c.nodes {
		n.mu.Lock()
		text := n.output.String()
		n.mu.Unlock()
		got := strings.LastIndex(text, "cell ownership acquired")
		if got > max(strings.LastIndex(text, "cell ownership lost"), strings.LastIndex(text, "cell ownership released")) {
			return n
		}
	}
	return nil
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	_ = os.RemoveAll(c.dir)
}

// client is a caller that keeps its connections open.
type client struct {
	rec  *recorder
	name string
	http *http.Client
	mute bool
}

func newClient(rec *recorder, name string) *client {
	return &client{rec: rec, name: name, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}}
}

// call sends one request. The status is 0 if no answer arrived within the client's deadline
// of 3 s.
func (cl *client) call(n *node, method string, r route, id string, body any) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var in io.Reader
	if body != nil {
		raw, _ := json.Marshal(body)
		in = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.ip+":"+frontPort+r.prefix+id, in)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = r.host
	req.Header.Set("X-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if !cl.mute {
		cl.rec.log("client %s: %s %s%s to %s sent", cl.name, method, r.prefix, id, n.name)
	}
	resp, err := cl.http.Do(req)
	status, text := 0, "no answer"
	if err == nil {
		raw, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if readErr == nil {
			status, text = resp.StatusCode, strings.TrimSpace(string(raw))
		}
	}
	if !cl.mute {
		cl.rec.log("client %s: %s %s%s to %s answered %d %s", cl.name, method, r.prefix, id, n.name, status, text)
	}
	return status, text
}

// submit hands in a job, and repeats it at the other instances until it is accepted.
func (cl *client) submit(nodes []*node, r route, id string, body any, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, n := range nodes {
			if status, _ := cl.call(n, http.MethodPost, r, id, body); status/100 == 2 {
				return true
			}
		}
	}
	return false
}

func (cl *client) state(n *node, r route, id string) (int, string) {
	status, text := cl.call(n, http.MethodGet, r, id, nil)
	var out struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &out)
	return status, out.State
}
