package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gentianpick/gentianpick/internal/client"
	"github.com/gentianpick/gentianpick/internal/httpjson"
	"github.com/gentianpick/gentianpick/internal/standin"
	"github.com/gentianpick/gentianpick/internal/wire"
)

// text is the first text that every cluster publishes. Deadlines are far above
// what a takeover takes on a busy machine.
const text = `{
"name": "scenario", "data_centres": [%s], "teams": [{"name": "ops", "quota": {}}],
"worker_shapes": [{"milli_cpu": 16000, "memory_mb": 32768, "slots": 8, "connections": 64}],
"services": [
{"name": "store", "team": "ops", "class": "service", "instances": 1, "resources": {"milli_cpu": 100, "memory_mb": 64}},
{"name": "check", "team": "ops", "class": "interactive", "idempotent": true, "deadline": "20s", "max_body_bytes": 65536, "resources": {"milli_cpu": 500, "memory_mb": 256, "connections": 1}},
{"name": "book", "team": "ops", "class": "interactive", "idempotent": false, "deadline": "20s", "resources": {"milli_cpu": 500, "memory_mb": 256, "connections": 1}},
{"name": "plan", "team": "ops", "class": "batch", "idempotent": true, "deadline": "1h", "max_attempts": 10, "resources": {"milli_cpu": 4000, "memory_mb": 1024}},
{"name": "night", "team": "ops", "class": "batch", "idempotent": true, "deadline": "8h", "resources": {"milli_cpu": 4000, "memory_mb": 1024}},
{"name": "gang", "team": "ops", "class": "gang", "idempotent": true, "deadline": "1h", "max_attempts": 10, "resources": {"milli_cpu": 2000, "memory_mb": 512}},
]}
`

// config is what a script can choose about its cluster.
type config struct {
	dcs       []string
	instances int // of each data centre
	workers   int // of each data centre
	guards    string
	relay     bool   // data centres reach each other through relays
	retention string // of the log
	timing    string // fields of the settings' timing
	shape     string // of workers
}

func defaultConfig() config {
	return config{dcs: []string{"tartu"}, instances: 3, workers: 4, guards: "mixed", retention: "1h"}
}

// instance is one VM with the instance that runs on it, if any.
type instance struct {
	name, dc   string
	http, peer string // IP:port
	relay      *relay // nil: reached directly
	process    *process
}

func (i *instance) url() string { return "http://" + i.http }

// group is one process with stand-in workers, which share a ledger.
type group struct {
	dc        string
	guarded   bool
	addresses []string
	names     []string
	process   *process
}

// cluster is a platform, workers and instances as separate processes.
type cluster struct {
	cfg       config
	dir       string
	platform  string // URL
	vms       []string
	others    []*process
	instances []*instance
	groups    []*group
	callers   *callers

	mu     sync.Mutex // guards the processes of instances and drains
	drains []drain
}

// drain is one graceful shutdown of an instance.
type drain struct {
	of       *instance
	from, to time.Time
}

// arrival is what a request may take to the instance; one that was sent
// earlier is in progress when the drain begins.
const arrival = 30 * time.Millisecond

// draining reports whether a try was in progress at its instance when a drain
// began.
func (c *cluster) draining(t try) bool {
	return slices.ContainsFunc(c.drains, func(d drain) bool {
		return d.of == t.via && t.sent.Add(arrival).Before(d.from) && t.ended.After(d.from) && t.sent.Before(d.to)
	})
}

// newCluster starts the platform, the workers and the instances.
func newCluster(dir string, cfg config) (*cluster, error) {
	c := &cluster{cfg: cfg, dir: dir}
	return c, c.start()
}

func (c *cluster) start() error {
	first, err := freePorts(1 + 3*c.cfg.instances*len(c.cfg.dcs))
	if err != nil {
		return err
	}
	c.platform = "http://" + loopback(first)
	for n := range c.cfg.instances * len(c.cfg.dcs) {
		port := first + 1 + 3*n
		dc := c.cfg.dcs[n/c.cfg.instances]
		i := &instance{name: fmt.Sprintf("%s-%d", dc, n%c.cfg.instances+1), dc: dc, http: loopback(port), peer: loopback(port + 1)}
		if c.cfg.relay {
			i.relay = &relay{listen: loopback(port + 2), target: i.peer, rewrite: func() map[string]string { return c.seenFrom(dc) }}
			if err := i.relay.start(); err != nil {
				return err
			}
		} else {
			c.vms = append(c.vms, "--vm", fmt.Sprintf("%s,entry,%s,%s", i.name, i.dc, i.peer))
		}
		c.instances = append(c.instances, i)
	}
	args := append([]string{"standin", "platform", "--listen", loopback(first), "--retention", c.cfg.retention, "--vm-lag", "200ms"}, c.vms...)
	p, err := launch(c.dir, "platform", args...)
	if err != nil {
		return err
	}
	c.others = append(c.others, p)
	if err := c.startWorkers(); err != nil {
		return err
	}
	for _, i := range c.instances {
		if err := c.launch(i); err != nil {
			return err
		}
	}
	return nil
}

// seenFrom returns how addresses change in frames that enter a data centre.
func (c *cluster) seenFrom(dc string) map[string]string {
	names := map[string]string{}
	for _, i := range c.instances {
		if i.dc == dc {
			names[i.relay.listen] = i.peer
		} else {
			names[i.peer] = i.relay.listen
		}
	}
	return names
}

func (c *cluster) startWorkers() error {
	for _, dc := range c.cfg.dcs {
		split := map[string]int{"guarded": c.cfg.workers, "unguarded": 0, "mixed": c.cfg.workers / 2}[c.cfg.guards]
		for _, part := range []struct {
			from, to int
			guarded  bool
		}{{0, split, true}, {split, c.cfg.workers, false}} {
			if part.from == part.to {
				continue
			}
			first, err := freePorts(part.to - part.from)
			if err != nil {
				return err
			}
			args := []string{"standin", "workers", "--platform", c.platform, "--data-centre", dc,
				"--count", fmt.Sprint(part.to - part.from), "--first", fmt.Sprint(part.from), "--listen-base", loopback(first), "--seed", fmt.Sprint(100 * (part.from + 1))}
			if c.cfg.shape != "" {
				args = append(args, "--shape", c.cfg.shape)
			}
			if !part.guarded {
				args = append(args, "--unguarded")
			}
			g := &group{dc: dc, guarded: part.guarded}
			for n := part.from; n < part.to; n++ {
				g.addresses = append(g.addresses, loopback(first+n-part.from))
				g.names = append(g.names, fmt.Sprintf("%s-w%03d", dc, n))
			}
			if g.process, err = launch(c.dir, fmt.Sprintf("workers-%s-%d", dc, part.from), args...); err != nil {
				return err
			}
			c.groups = append(c.groups, g)
		}
	}
	return nil
}

// launch starts an instance on its VM, each time as another incarnation.
func (c *cluster) launch(i *instance) error {
	seeds := map[string][]string{}
	for _, o := range c.instances {
		address := o.peer
		if o.dc != i.dc && o.relay != nil {
			address = o.relay.listen
		}
		seeds[o.dc] = append(seeds[o.dc], address)
	}
	s, err := json.Marshal(seeds)
	if err != nil {
		return err
	}
	settings := fmt.Sprintf(`{"name": %q, "data_centre": %q, "http_listen": %q, "peer_listen": %q, "platform": %q, "seeds": %s, "timing": {%s}}`,
		i.name, i.dc, i.http, i.peer, c.platform, s, c.cfg.timing)
	file := filepath.Join(c.dir, i.name+".settings.jsonc")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	i.process, err = launch(c.dir, i.name, "serve", "--settings", file)
	return err
}

// close ends everything that the cluster started.
func (c *cluster) close() {
	if c.callers != nil {
		c.callers.stop()
	}
	for _, i := range c.instances {
		if i.process != nil {
			i.process.kill()
		}
		if i.relay != nil && i.relay.ln != nil {
			i.relay.close()
		}
	}
	for _, g := range c.groups {
		g.process.kill()
	}
	for _, p := range c.others {
		p.kill()
	}
}

// find returns the instance with the given name.
func (c *cluster) find(name string) (*instance, error) {
	for _, i := range c.instances {
		if i.name == name {
			return i, nil
		}
	}
	return nil, fmt.Errorf("no instance %q", name)
}

// act does something to the process of an instance.
func (c *cluster) act(verb string, i *instance) error {
	switch verb {
	case "start":
		return c.launch(i)
	case "crash":
		i.process.kill()
	case "drain":
		// A process that has not begun to serve has no drain to make.
		if err := until(func() error { _, err := c.status(i); return err }); err != nil {
			return err
		}
		from := time.Now()
		err := i.process.stop()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.drains = append(c.drains, drain{i, from, time.Now()})
		return err
	case "pause":
		return i.process.signal(syscall.SIGSTOP)
	case "continue":
		return i.process.signal(syscall.SIGCONT)
	case "replace":
		i.process.kill()
		return c.launch(i)
	}
	return nil
}

// publish publishes a text through an instance.
func (c *cluster) publish(i *instance, base uint64, id, text string) (wire.PublishResult, error) {
	cl, err := client.New(i.url())
	if err != nil {
		return wire.PublishResult{}, err
	}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return cl.Publish(ctx, base, id, []byte(text))
}

// text returns the first text with a comment that makes it another one.
func (c *cluster) text(comment string) string {
	names := make([]string, len(c.cfg.dcs))
	for n, dc := range c.cfg.dcs {
		names[n] = fmt.Sprintf("%q", dc)
	}
	return fmt.Sprintf(text, strings.Join(names, ",")) + "// " + comment + "\n"
}

// ready publishes the first text and waits until every instance is ready and
// every data centre has a ready owner of all its workers.
func (c *cluster) ready() error {
	err := until(func() error {
		p, err := c.publish(c.instances[0], 0, "first", c.text("first"))
		if err == nil && !p.Accepted {
			err = fmt.Errorf("publish: %s %s", p.Code, p.Message)
		}
		return err
	})
	for _, dc := range c.cfg.dcs {
		_, ownerErr := c.owner(dc)
		err = errors.Join(err, ownerErr)
	}
	for _, i := range c.instances {
		err = errors.Join(err, c.waitStatus(i, "ready==true"))
	}
	return err
}

func (c *cluster) status(i *instance) (wire.Status, error) {
	cl, err := client.New(i.url())
	if err != nil {
		return wire.Status{}, err
	}
	defer cl.Close()
	// A paused instance must not delay the check of the others.
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return cl.Status(ctx)
}

// owner waits until an instance of the data centre is a ready owner that
// reaches every worker, and returns it.
func (c *cluster) owner(dc string, but ...string) (found *instance, err error) {
	err = until(func() error {
		for _, i := range c.instances {
			if i.dc != dc || slices.Contains(but, i.name) {
				continue
			}
			s, err := c.status(i)
			if err != nil || !s.Acting || !s.OwnerReady {
				continue
			}
			found = i
			if n := values(s)["reachable"]; n != fmt.Sprint(c.cfg.workers) {
				return fmt.Errorf("owner %s reaches %s of %d workers", i.name, n, c.cfg.workers)
			}
			return nil
		}
		return fmt.Errorf("data centre %s has no settled owner", dc)
	})
	return found, err
}

// fault sets switches of the platform, of "workers:DC" or of "worker:NAME".
func (c *cluster) fault(target, body string) error {
	if target == "platform" {
		return post(c.platform+"/faults", body)
	}
	kind, name, _ := strings.Cut(target, ":")
	found := false
	for _, g := range c.groups {
		for n, address := range g.addresses {
			if kind == "workers" && g.dc == name || kind == "worker" && g.names[n] == name {
				found = true
				if err := post("http://"+address+"/faults", body); err != nil {
					return err
				}
			}
		}
	}
	if !found {
		return fmt.Errorf("no fault target %q", target)
	}
	return nil
}

var control = httpjson.NewClient(4)

func post(url, body string) error { return call(http.MethodPost, url, []byte(body), &struct{}{}) }

func call(method, url string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	resp, err := httpjson.Do(ctx, control, httpjson.Request{Method: method, URL: url, Body: body})
	if err != nil {
		return err
	}
	return resp.Decode(out)
}

// ledger returns the runs of all workers, and the violations that they saw
// except a second run of a task's key, which the caller counts over all.
func (c *cluster) ledger() (runs []standin.Run, found []standin.Violation, err error) {
	for _, g := range c.groups {
		var a standin.LedgerAnswer
		if err := call(http.MethodGet, "http://"+g.addresses[0]+"/ledger", nil, &a); err != nil {
			return nil, nil, err
		}
		runs, found = append(runs, a.Runs...), append(found, a.Violations...)
		for _, address := range g.addresses {
			var n standin.Counters
			if err := call(http.MethodGet, "http://"+address+"/counters", nil, &n); err != nil {
				return nil, nil, err
			}
			found = append(found, n.Violations...)
		}
	}
	return runs, found, nil
}
