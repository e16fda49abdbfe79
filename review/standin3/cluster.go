package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
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

const (
	service = "hoopworks"
	zone    = "z1"
	host    = "queue.example"
	prefix  = "/jobs/"
	// urgentPrefix is the path of a queue of the highest priority.
	urgentPrefix = "/urgent/"
	// batchPrefix is the path of a queue of the lowest priority.
	batchPrefix = "/batch/"
	// command is the line run of the deploy file.
	command = "target/gentianpick run"
)

// cluster is a small deployment: instances as processes, and stand-ins for the rest.
type cluster struct {
	rec       *record
	dir       string // temporary
	store     *store
	runs      *runLog
	network   string // the first three bytes of the loopback addresses
	instances []*instance
	stop      chan struct{}

	mu      sync.Mutex
	urgent  map[string]bool    // jobs of the urgent queue
	batch   map[string]bool    // jobs of the batch queue
	workers map[string]*worker // by place
	lives   int
}

// instance is one instance of the scheduler, as a process.
type instance struct {
	name, front, ready string
	settings           string
	store              *http.Server // the platform's store, at an address for this instance
	cmd                *exec.Cmd
	log                *os.File
}

// newCluster starts the platform and instances, and waits until they are ready.
func newCluster(rec *record, instances int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		rec: rec, dir: dir, runs: &runLog{rec: rec}, stop: make(chan struct{}), urgent: map[string]bool{}, batch: map[string]bool{}, workers: map[string]*worker{},
		network: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)),
	}
	c.store = newStore(rec)
	go c.store.expireEntries(c.stop)
	for i := range instances {
		if err := c.addInstance(i); err != nil {
			return c, err
		}
	}
	return c, nil
}

// configure writes a configuration as the operator does.
func (c *cluster) configure(version, attempts int) { c.configureQueue(version, attempts, 0) }

// configureQueue is configure with a priority of the queue; 0 comes first.
func (c *cluster) configureQueue(version, attempts, priority int) {
	c.store.put(configTopic, "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "work", "host": host, "pathPrefix": prefix, "service": service, "timeoutMs": 3000, "targetLatencyMs": 1000,
			"priority": priority, "maxAttempts": attempts, "stretch": 2.0,
		}, {
			"name": "urgent", "host": host, "pathPrefix": urgentPrefix, "service": service, "timeoutMs": 3000, "targetLatencyMs": 250,
			"priority": 0, "maxAttempts": 2, "stretch": 1.5,
		}, {
			"name": "batch", "host": host, "pathPrefix": batchPrefix, "service": service, "timeoutMs": 3000, "targetLatencyMs": 3000,
			"priority": 2, "maxAttempts": 4, "stretch": 4.0,
		}},
		"services": []map[string]any{{"name": service, "maxConns": 64, "rejectsOverload": false}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	c.rec.add("operator", "configuration %d: queue %s, %d attempts", version, prefix, attempts)
}

const settingsText = `nodeName=%[1]s
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
bootstrap=true
faultCounted=false
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
bounds.holdMaxMs=6000
bounds.stopMs=400
bounds.gangMs=3000
bounds.graceS=6
bounds.status_s=120
orders=call
platform.address=%[3]s
platform.form=log
platform.writesPerS=800
platform.readsPerS=2000
platform.parts=8
platform.appendMs=4.0
platform.keep_s=300
platform.partMb=200
platform.ttlMinMs=1000
`

func (c *cluster) addInstance(i int) error {
	ip := fmt.Sprintf("%s%d", c.network, 10+i)
	in := &instance{name: fmt.Sprintf("front-%d", i+1), front: ip + ":8161", ready: ip + ":8167"}
	ln, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", c.network, 200+i))
	if err != nil {
		return err
	}
	in.store = &http.Server{Handler: c.store.handler(in.name), ReadHeaderTimeout: time.Minute}
	go func() { _ = in.store.Serve(ln) }()
	in.settings = filepath.Join(c.dir, in.name+".conf")
	if err := os.WriteFile(in.settings, fmt.Appendf(nil, settingsText, in.name, ip, ln.Addr()), 0o600); err != nil {
		return err
	}
	c.instances = append(c.instances, in)
	return c.start(in)
}

func (c *cluster) start(in *instance) error {
	out, err := os.OpenFile(filepath.Join(c.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	args := strings.Fields(command)
	in.cmd, in.log = exec.Command(args[0], args[1:]...), out
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "GENTIANPICK_BOOT=" + in.settings}
	in.cmd.Stdout, in.cmd.Stderr = out, out
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := in.cmd.Start(); err != nil {
		return err
	}
	c.rec.add(in.name, "process starts")
	return nil
}

// kill ends the process of an instance.
func (c *cluster) kill(in *instance) {
	c.rec.add(in.name, "process is killed")
	_ = in.cmd.Process.Kill()
	_ = in.cmd.Wait()
	_ = in.log.Close()
}

// killOwner kills the instance that was the last to write to the store under a condition, and
// starts it again after a second.
func (c *cluster) killOwner() error {
	name := c.store.writer()
	for _, in := range c.instances {
		if in.name == name {
			c.kill(in)
			time.Sleep(time.Second)
			return c.start(in)
		}
	}
	return fmt.Errorf("no instance has written")
}

// close ends everything that was started.
func (c *cluster) close() {
	for _, in := range c.instances {
		if in.cmd != nil && in.cmd.Process != nil && in.cmd.ProcessState == nil {
			c.kill(in)
		}
		_ = in.store.Close()
	}
	close(c.stop)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		w.crash()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// startWorker starts a new process of a worker at a place, under a new id.
func (c *cluster) startWorker(place int, address string) error {
	return c.startWorkerOfKind(place, address, "a")
}

func (c *cluster) startWorkerOfKind(place int, address, kind string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lives++
	if address == "" {
		address = fmt.Sprintf("%s%d:0", c.network, 100+place)
	}
	w, err := startWorker(c.rec, c.store, c.runs, fmt.Sprintf("i-%d-%d", place, c.lives), address, kind, fmt.Sprintf("r1-%d", place/8), 16000)
	if err != nil {
		return err
	}
	c.workers[fmt.Sprint(place)] = w
	return nil
}

func (c *cluster) worker(place int) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[fmt.Sprint(place)]
}

// workerOf returns the place of the worker that runs a task of a job, or -1.
func (c *cluster) workerOf(job string) int {
	for _, r := range c.runs.of(job) {
		if r.how != "" {
			continue
		}
		var place, life int
		if _, err := fmt.Sscanf(r.worker, "i-%d-%d", &place, &life); err == nil {
			return place
		}
	}
	return -1
}

// waitReady waits until all instances are ready and the workers are in use.
func (c *cluster) waitReady() error {
	for _, in := range c.instances {
		if err := waitFor(15*time.Second, func() bool {
			resp, err := http.Get("http://" + in.ready + "/-/ready")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}); err != nil {
			return fmt.Errorf("%s is not ready: %w", in.name, err)
		}
	}
	return nil
}

var errTimeout = fmt.Errorf("timed out")

func waitFor(limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errTimeout
}

// path returns the path of a job.
func (c *cluster) path(job string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.urgent[job] {
		return urgentPrefix + job
	}
	if c.batch[job] {
		return batchPrefix + job
	}
	return prefix + job
}

// setUrgent has a job belong to the urgent queue.
func (c *cluster) setUrgent(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.urgent[job] = true
}

// setBatch has a job belong to the batch queue.
func (c *cluster) setBatch(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batch[job] = true
}

// call sends a caller's request to an instance. The status is 0 if there was no answer.
func (c *cluster) call(in *instance, method, job, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.front+c.path(job), bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.rec.add("caller", "%s %s at %s: no answer: %v", method, job, in.name, err)
		return 0, ""
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	c.rec.add("caller", "%s %s at %s: %d %s", method, job, in.name, resp.StatusCode, strings.TrimSpace(string(raw)))
	return resp.StatusCode, string(raw)
}

// submit hands in a job of one step and returns whether it was accepted.
func (c *cluster) submit(in *instance, job string, tasks, cpu, ms int) bool {
	return c.submitStep(in, job, spec{Ms: ms}, map[string]any{"count": tasks, "cpu": cpu, "memMb": 256, "estimateMs": ms})
}

// submitStep hands in a job of one step.
func (c *cluster) submitStep(in *instance, job string, s spec, step map[string]any) bool {
	text, _ := json.Marshal(s)
	body, _ := json.Marshal(map[string]any{"spec": string(text), "steps": []map[string]any{step}})
	status, _ := c.call(in, http.MethodPost, job, string(body))
	return status >= 200 && status < 300
}

// state asks for the state of a job at any instance that answers.
func (c *cluster) state(job string) string {
	for _, in := range c.instances {
		status, body := c.call(in, http.MethodGet, job, "")
		if status == http.StatusGone {
			return "gone"
		}
		var out struct{ State string }
		if status == http.StatusOK && json.Unmarshal([]byte(body), &out) == nil {
			return out.State
		}
	}
	return ""
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0xa0000000+n) }
