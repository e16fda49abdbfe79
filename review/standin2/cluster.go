//go:build review2

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cluster is a small deployment: instances of the system as processes, and stand-ins of the
// store, the workers and the operator.
type cluster struct {
	dir     string // temporary
	binary  string
	log     *recorder
	st      *store
	workers []*worker
	nodes   []*instance

	mu     sync.Mutex
	claims []claim // in the order in which the store has accepted them
}

type claim struct {
	Epoch    int64  `json:"epoch"`
	Owner    string `json:"owner"`
	Released bool   `json:"released"`
}

type instance struct {
	c        *cluster
	name     string
	ip       string
	front    string
	settings string // path of the settings file
	lines    string // of that file, without bootstrap
	gate     *gate
	proxy    *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	out *os.File
}

// newCluster prepares the stand-ins and the settings of n instances.
func newCluster(dir, binary string, n, workers int, log *recorder) (*cluster, error) {
	c := &cluster{dir: dir, binary: binary, log: log, st: newStore()}
	c.st.onAppend = c.appended
	c.configure(3, "q", "r")
	var err error
	if c.workers, err = newWorkers(workers, c.st, log); err != nil {
		return nil, err
	}
	// Addresses of the loopback network, which differ between runs at the same time.
	net := os.Getpid() % 60000
	for i := range n {
		node := &instance{c: c, name: fmt.Sprintf("front-a-%d", i+1), ip: fmt.Sprintf("127.%d.%d.%d", 1+net/250, 1+net%250, i+1), gate: &gate{next: c.st}}
		_, address, err := serve("127.0.0.1:0", node.gate)
		if err != nil {
			return nil, err
		}
		if node.proxy, err = newProxy(address); err != nil {
			return nil, err
		}
		address = node.proxy.ln.Addr().String()
		node.front = node.ip + ":8161"
		node.settings = filepath.Join(dir, node.name+".conf")
		lines := []string{
			"nodeName=" + node.name, "role=scheduler", "machineClass=front", "serves=front", "ip=" + node.ip, "zone=a", "region=r", "zones.a=r",
			"listen.front=" + node.front, "listen.ready=" + node.ip + ":8167", "internalPorts=7720,7735", "seeds=", "faultCounted=false",
			"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
			"discovery=platform", "entry=virtual_ip", "heartbeatMs=1500", "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
			"bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.holdMaxMs=6000", "bounds.stopMs=200", "bounds.gangMs=3000",
			"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.finish_s=14", "bounds.status_s=120", "bounds.enforceFencing=true", "bounds.leaseMs=3000",
			"orders=call", "advice=127.0.0.1:9", "platform.address=" + address, "platform.form=log", "platform.writesPerS=800", "platform.readsPerS=2000",
			"platform.parts=8", "platform.appendMs=4.0", "platform.recordBytes=262144", "platform.callBytes=2097152", "platform.keep_s=300", "platform.partMb=200",
		}
		node.lines = strings.Join(lines, "\n") + "\n"
		c.nodes = append(c.nodes, node)
	}
	return c, nil
}

// configure writes a configuration with a route for each of the given queues, in the form NAME or
// NAME=PREFIX. Without a prefix, the name is the first part of the path.
func (c *cluster) configure(version int, queues ...string) {
	routes := []any{}
	for i, queue := range queues {
		name, prefix, found := strings.Cut(queue, "=")
		if !found {
			prefix = "/" + name + "/"
		}
		routes = append(routes, map[string]any{
			"name": name, "host": "q.example", "pathPrefix": prefix, "service": "svc", "timeoutMs": 3000, "targetLatencyMs": 250, "priority": i, "maxAttempts": 4, "stretch": 1.5,
		})
	}
	c.st.put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": []any{map[string]any{"name": "svc", "maxConns": 64}}, "limits": map[string]any{"maxBodyBytes": 262144},
	})
	c.log.event("operator: configuration %d with the routes %v", version, queues)
}

// appended notes the claims that the store accepts.
func (c *cluster) appended(part string, records []record) {
	for _, r := range records {
		if part != "keyed.progress/0" || r.key != "owner" {
			continue
		}
		var cl claim
		if json.Unmarshal(r.value, &cl) != nil {
			continue
		}
		c.mu.Lock()
		if len(c.claims) == 0 || c.claims[len(c.claims)-1] != cl {
			c.claims = append(c.claims, cl)
			c.log.event("store: owner record of %s, epoch %d, released %v", cl.Owner, cl.Epoch, cl.Released)
		}
		c.mu.Unlock()
	}
}

// owner returns the instance that last wrote to the store under a condition, if its process
// is the one that did.
func (c *cluster) owner() (*instance, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.claims) == 0 {
		return nil, 0
	}
	last := c.claims[len(c.claims)-1]
	for _, n := range c.nodes {
		if strings.HasPrefix(last.Owner, n.name+"-") {
			return n, last.Epoch
		}
	}
	return nil, 0
}

// start starts the program as the deploy file says.
func (n *instance) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	first := n.out == nil
	if first {
		f, err := os.Create(filepath.Join(n.c.dir, n.name+".log"))
		if err != nil {
			return err
		}
		n.out = f
	}
	if err := os.WriteFile(n.settings, fmt.Appendf(nil, "%sbootstrap=%v\n", n.lines, first), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(n.c.binary, "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GENTIANPICK_BOOT=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.out, n.out
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd = cmd
	n.c.log.event("%s starts", n.name)
	return nil
}

// signal sends a signal to the process.
func (n *instance) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
		n.c.log.event("%s gets %s", n.name, s)
	}
}

// kill kills the process and waits for its end.
func (n *instance) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	n.cmd = nil
	n.c.log.event("%s is killed", n.name)
}

func (n *instance) alive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil
}

// powerOff kills all instances at the same moment.
func (c *cluster) powerOff() {
	for _, n := range c.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range c.nodes {
		n.kill()
	}
}

// close ends all processes and servers.
func (c *cluster) close() {
	for _, n := range c.nodes {
		n.kill()
	}
	for _, w := range c.workers {
		w.crash()
	}
}

var httpClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready reports whether an instance says that it takes requests.
func (n *instance) ready() bool {
	resp, err := httpClient.Get("http://" + n.ip + ":8167/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call makes a request of a client for a path, QUEUE/ID, and returns the status and the body.
// The status is zero without an answer.
func (n *instance) call(method, path string, body any) (int, map[string]any) {
	raw, _ := json.Marshal(body)
	var in io.Reader
	if body != nil {
		in = strings.NewReader(string(raw))
	}
	req, err := http.NewRequest(method, "http://"+n.front+"/"+path, in)
	if err != nil {
		return 0, nil
	}
	req.Host = "q.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	out := map[string]any{}
	data, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(data, &out)
	return resp.StatusCode, out
}

// chain returns a job of steps that run one after the other.
func chain(steps, tasks, ms int) map[string]any {
	out := []any{}
	for i := range steps {
		s := map[string]any{"count": tasks, "cpu": 1000, "memMb": 256, "estimateMs": ms}
		if i > 0 {
			s["after"] = []int{i - 1}
		}
		out = append(out, s)
	}
	return map[string]any{"spec": fmt.Sprintf("ms=%d", ms), "steps": out}
}

// submit submits a job and retries for a while.
func (n *instance) submit(path string, job any) bool {
	for range 10 {
		status, _ := n.call(http.MethodPost, path, job)
		n.c.log.event("client: POST %s at %s: %d", path, n.name, status)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job. It is empty without an answer.
func (n *instance) state(path string) (int, string) {
	status, body := n.call(http.MethodGet, path, nil)
	s, _ := body["state"].(string)
	return status, s
}

var errNotReady = errors.New("the system does not get ready")

// startAll starts all instances and waits until they are ready.
func (c *cluster) startAll() error {
	for _, n := range c.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

// awaitReady waits until all instances are ready and one owns the cell.
func (c *cluster) awaitReady() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range c.nodes {
			if n.ready() {
				ready++
			}
		}
		if o, _ := c.owner(); ready == len(c.nodes) && o != nil {
			c.log.event("all %d instances are ready", ready)
			return nil
		}
	}
	return errNotReady
}
