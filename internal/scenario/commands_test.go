package scenario

import (
	"errors"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/servicetext"
	"github.com/gentianpick/gentianpick/internal/wire"
)

// script is the state of one running script.
type script struct {
	c       *cluster
	waiting sync.WaitGroup // callers in the background
	answers map[string]try
	marked  time.Time
	mu      sync.Mutex
}

type scriptKey struct{}

// commands are the scripts' own commands:
//
//	cluster starts everything, publishes a text and writes another one to text.jsonc:
//	cluster [dcs=A,B] [instances=N] [workers=N] [guards=guarded|unguarded|mixed] [relay=true] [retention=D] [timing=JSON fields]
//	start|drain|crash|pause|continue|replace NAME...
//	owner DC [NAME...]     waits for a ready owner that is none of NAME; sets $owner, $other and their URLs
//	fault platform|workers:DC|worker:NAME JSON
//	cut DC | heal          cuts a data centre off from the others
//	publishers N BASE      N concurrent publishes; exactly one must win
//	callers N              starts N callers in the background
//	request NAME INSTANCE SERVICE KEY RUN_MS [DEADLINE]      submits in the background; "-" is no key
//	answer NAME OUTCOME|OUTCOME [CODE|CODE]       waits for the answer
//	exits CODE COMMAND ARGS...
//	retry-until PATTERN COMMAND ARGS...
//	wait-status NAME|all CONDITION...
//	check-ledger           stops the callers and compares answers with runs
//	mark                   starts the time that since=mark refers to
//	check-runs MIN MAX [service=S] [key=K] [state=S] [worker=W] [since=mark]
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"cluster": cmdCluster, "owner": cmdOwner, "fault": cmdFault, "cut": cmdCut, "heal": cmdHeal,
	"start": cmdAct("start"), "drain": cmdAct("drain"), "crash": cmdAct("crash"), "pause": cmdAct("pause"),
	"continue": cmdAct("continue"), "replace": cmdAct("replace"),
	"publishers": cmdPublishers, "callers": cmdCallers, "request": cmdRequest, "answer": cmdAnswer,
	"exits": cmdExits, "retry-until": cmdRetry, "wait-status": cmdWaitStatus,
	"check-ledger": cmdCheckLedger, "check-runs": cmdCheckRuns,
	"mark": func(ts *testscript.TestScript, _ bool, _ []string) { state(ts).marked = time.Now() },
}

func state(ts *testscript.TestScript) *script { return ts.Value(scriptKey{}).(*script) }

func pairs(ts *testscript.TestScript, args []string) map[string]string {
	m := map[string]string{}
	for _, a := range args {
		name, value, ok := strings.Cut(a, "=")
		if !ok {
			ts.Fatalf("%q is not name=value", a)
		}
		m[name] = value
	}
	return m
}

func number(ts *testscript.TestScript, s string) int {
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}

func cmdCluster(ts *testscript.TestScript, _ bool, args []string) {
	cfg := defaultConfig()
	for name, value := range pairs(ts, args) {
		switch name {
		case "dcs":
			cfg.dcs = strings.Split(value, ",")
		case "instances":
			cfg.instances = number(ts, value)
		case "workers":
			cfg.workers = number(ts, value)
		case "guards":
			cfg.guards = value
		case "relay":
			cfg.relay = value == "true"
		case "retention":
			cfg.retention = value
		case "timing":
			cfg.timing = value
		default:
			ts.Fatalf("no option %q", name)
		}
	}
	s := state(ts)
	var err error
	s.c, err = newCluster(ts.MkAbs("."), cfg)
	ts.Check(err)
	_, err = servicetext.Parse([]byte(s.c.text("second")))
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("text.jsonc"), []byte(s.c.text("second")), 0o600))
	ts.Check(s.c.ready())
	for _, i := range s.c.instances {
		ts.Setenv(strings.ReplaceAll(i.name, "-", "_"), i.url())
	}
}

func cmdAct(verb string) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			i, err := state(ts).c.find(name)
			ts.Check(err)
			ts.Check(state(ts).c.act(verb, i))
		}
	}
}

func cmdOwner(ts *testscript.TestScript, _ bool, args []string) {
	c := state(ts).c
	owner, err := c.owner(args[0], args[1:]...)
	ts.Check(err)
	ts.Setenv("owner", owner.name)
	ts.Setenv("owner_url", owner.url())
	for _, i := range c.instances {
		if i.dc == owner.dc && i != owner && !slices.Contains(args[1:], i.name) {
			ts.Setenv("other", i.name)
			ts.Setenv("other_url", i.url())
		}
	}
}

func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(state(ts).c.fault(args[0], args[1]))
}

func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	for _, i := range state(ts).c.instances {
		// Both directions: relays into the data centre and relays out of it.
		if len(state(ts).c.cfg.dcs) == 2 || i.dc == args[0] {
			i.relay.block()
		}
	}
}

func cmdHeal(ts *testscript.TestScript, _ bool, _ []string) {
	for _, i := range state(ts).c.instances {
		ts.Check(i.relay.restore())
	}
}

func cmdPublishers(ts *testscript.TestScript, _ bool, args []string) {
	c, n, base := state(ts).c, number(ts, args[0]), number(ts, args[1])
	results := make([]wire.PublishResult, n)
	errs := make([]error, n)
	var wg sync.WaitGroup
	for k := range n {
		wg.Go(func() {
			id := "racer-" + strconv.Itoa(base) + "-" + strconv.Itoa(k)
			results[k], errs[k] = c.publish(c.instances[k%len(c.instances)], uint64(base), id, c.text(id))
		})
	}
	wg.Wait()
	ts.Check(errors.Join(errs...))
	winners := 0
	for _, p := range results {
		if p.Accepted {
			winners++
		} else if p.Code != model.CodeVersionConflict {
			ts.Fatalf("publish: %s %s", p.Code, p.Message)
		}
		if p.Version != uint64(base)+1 {
			ts.Fatalf("version %d is in force, not %d", p.Version, base+1)
		}
	}
	if winners != 1 {
		ts.Fatalf("%d of %d publishers won", winners, n)
	}
}

func cmdCallers(ts *testscript.TestScript, _ bool, args []string) {
	c := state(ts).c
	c.callers = startCallers(c, number(ts, args[0]), 1)
}

func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	s := state(ts)
	i, err := s.c.find(args[1])
	ts.Check(err)
	result := "result " + args[0]
	if args[3] != "-" {
		result = "result " + args[3] // a retry repeats the body
	}
	r := &request{result: result, submit: wire.Submit{Service: args[2], BodyText: `{"run_ms":` + args[4] + `,"result":"` + result + `"}`}}
	if args[3] != "-" {
		r.submit.Key = model.Key(args[3])
	}
	if len(args) > 5 {
		r.submit.Deadline = args[5]
	}
	s.waiting.Go(func() {
		t := send(i, r)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.answers == nil {
			s.answers = map[string]try{}
		}
		if t.answer.Outcome == model.OutcomeDone && t.answer.ResultText != result {
			t.answer.Outcome = "foreign" // another caller's result
		}
		s.answers[args[0]] = t
	})
}

// cmdAnswer accepts the outcome "broken" for a connection that ended without
// an answer.
func cmdAnswer(ts *testscript.TestScript, _ bool, args []string) {
	s := state(ts)
	var t try
	ts.Check(until(func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		var ok bool
		if t, ok = s.answers[args[0]]; !ok {
			return errors.New("no answer to " + args[0])
		}
		return nil
	}))
	outcome := string(t.answer.Outcome)
	if t.err != nil {
		outcome = "broken"
	}
	ts.Logf("%s: %s %s %s %v, after %v", args[0], outcome, t.answer.Code, t.answer.Message, t.err, t.ended.Sub(t.sent))
	if !slices.Contains(strings.Split(args[1], "|"), outcome) {
		ts.Fatalf("outcome is %q", outcome)
	}
	if len(args) > 2 && !slices.Contains(strings.Split(args[2], "|"), string(t.answer.Code)) {
		ts.Fatalf("code is %q", t.answer.Code)
	}
}

func cmdExits(ts *testscript.TestScript, _ bool, args []string) {
	code := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			ts.Fatalf("%v", err)
		}
		code = exit.ExitCode()
	}
	if code != number(ts, args[0]) {
		ts.Fatalf("exit code is %d", code)
	}
}

func cmdRetry(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile("(?m)" + args[0])
	ts.Check(until(func() error {
		_ = ts.Exec(args[1], args[2:]...)
		if out := ts.ReadFile("stdout") + ts.ReadFile("stderr"); !pattern.MatchString(out) {
			return errors.New("output does not match: " + out)
		}
		return nil
	}))
}

func cmdWaitStatus(ts *testscript.TestScript, _ bool, args []string) {
	c := state(ts).c
	for _, i := range c.instances {
		if i.name == args[0] || args[0] == "all" {
			ts.Check(c.waitStatus(i, args[1:]...))
		}
	}
}

func cmdCheckLedger(ts *testscript.TestScript, _ bool, _ []string) {
	n, err := state(ts).c.check()
	ts.Logf("%v", n)
	ts.Check(err)
	if c := state(ts).c.callers; c != nil && n.done == 0 {
		ts.Fatalf("no request was answered done")
	}
}

func cmdCheckRuns(ts *testscript.TestScript, _ bool, args []string) {
	runs, _, err := state(ts).c.ledger()
	ts.Check(err)
	n, want := 0, pairs(ts, args[2:])
	for _, r := range runs {
		if want["since"] != "" && r.Start < time.Duration(state(ts).marked.UnixNano()) {
			continue
		}
		have := map[string]string{"since": want["since"], "service": r.Service, "key": string(r.Key), "state": string(r.State), "worker": string(r.Worker)}
		same := true
		for name, value := range want {
			same = same && have[name] == value
		}
		if same {
			n++
			ts.Logf("%+v", r)
		}
	}
	if n < number(ts, args[0]) || n > number(ts, args[1]) {
		ts.Fatalf("%d runs", n)
	}
}
