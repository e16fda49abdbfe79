package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/gentianpick/gentianpick/internal/wire"
)

// values returns what conditions can refer to.
func values(s wire.Status) map[string]string {
	v := map[string]string{
		"ready": fmt.Sprint(s.Ready), "acting": fmt.Sprint(s.Acting), "settled": fmt.Sprint(s.OwnerReady), "log_ok": fmt.Sprint(s.LogOK),
		"text": fmt.Sprint(s.TextVersion), "epoch": fmt.Sprint(s.Epoch), "keys": fmt.Sprint(s.Keys), "in_doubt": fmt.Sprint(s.InDoubt),
		"owner": "none",
	}
	if s.Owner != nil {
		v["owner"] = s.Owner.Name
	}
	n := map[string]int{"alive": 0, "reachable": 0, "leaving": 0, "quarantined": 0, "tasks": 0}
	add := func(name string, set bool) {
		if set {
			n[name]++
		}
	}
	for _, m := range s.Members {
		add("alive", m.Alive && m.Member.DataCentre == s.Self.DataCentre)
	}
	for _, w := range s.Workers {
		add("reachable", w.Reachable)
		add("leaving", w.Leaving)
		add("quarantined", w.Quarantined)
		n["tasks"] += w.Tasks
		n["tasks:"+string(w.Name)] = w.Tasks
	}
	for _, q := range s.Queues {
		n["waiting:"+string(q.Class)], n["running:"+string(q.Class)] = q.Waiting, q.Running
	}
	for _, x := range s.Services {
		n["service:"+x.Name] = x.Running
	}
	for name, count := range n {
		v[name] = strconv.Itoa(count)
	}
	return v
}

// holds reports whether a condition such as text>=2 or owner==tartu-1 holds.
func holds(v map[string]string, condition string) (bool, error) {
	for _, op := range []string{"==", "!=", ">=", "<="} {
		name, want, ok := strings.Cut(condition, op)
		if !ok {
			continue
		}
		have := v[name]
		switch op {
		case "==":
			return have == want, nil
		case "!=":
			return have != want, nil
		}
		h, err := strconv.Atoi(have)
		w, err2 := strconv.Atoi(want)
		if err != nil || err2 != nil {
			return false, nil // not a number yet
		}
		return op == ">=" && h >= w || op == "<=" && h <= w, nil
	}
	return false, fmt.Errorf("condition %q has no operator", condition)
}

// waitStatus waits until all conditions hold at once.
func (c *cluster) waitStatus(i *instance, conditions ...string) error {
	return until(func() error {
		s, err := c.status(i)
		if err != nil {
			return fmt.Errorf("status of %s: %w", i.name, err)
		}
		v := values(s)
		for _, condition := range conditions {
			if ok, err := holds(v, condition); err != nil || !ok {
				return fmt.Errorf("%s: %s does not hold (%v): %v", i.name, condition, err, v)
			}
		}
		return nil
	})
}
