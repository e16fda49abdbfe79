package servicetext

import (
	"slices"
	"strings"
	"time"

	"github.com/gentianpick/gentianpick/internal/jsonc"
	"github.com/gentianpick/gentianpick/internal/model"
)

func (c *checker) checkName(path, name string) {
	if c.Require(path) && !ValidName(name) {
		c.Addf(jsonc.CodeBadName, path, "%q is not a name: use 1 to 63 lower-case letters, digits and inner hyphens", name)
	}
}

// checkNames checks a list of names, which must be unique.
func (c *checker) checkNames(path string, names []string) {
	for i, name := range names {
		at := jsonc.Index(path, i)
		c.checkName(at, name)
		if slices.Contains(names[:i], name) {
			c.Addf(jsonc.CodeDuplicate, at, "%q is listed twice", name)
		}
	}
}

func (c *checker) checkNotEmpty(path string, n int) {
	if c.Has(path) && n == 0 {
		c.Addf(jsonc.CodeMissing, path, "needs at least one entry")
	}
}

func (c *checker) checkAbsent(path, field, class string) {
	if c.Has(path + "." + field) {
		c.Addf(jsonc.CodeNotApplicable, path+"."+field, "has no meaning for class %s", class)
	}
}

// checkAmounts checks the range of each resource amount.
func (c *checker) checkAmounts(path string, r wireResources) {
	c.checkRange(path, "milli_cpu", r.MilliCPU, 0, maxAmount)
	c.checkRange(path, "memory_mb", r.MemoryMB, 0, maxAmount)
	c.checkRange(path, "accelerators", r.Accelerators, 0, maxAmount)
	c.checkRange(path, "slots", r.Slots, 0, maxAmount)
	c.checkRange(path, "connections", r.Connections, 0, maxAmount)
}

func (c *checker) checkPositive(path, field string, v int64) {
	if c.Require(path+"."+field) && v == 0 {
		c.Addf(jsonc.CodeOutOfRange, path+"."+field, "must be above 0")
	}
}

// checkRange checks the range of a number if the field is present.
func (c *checker) checkRange(path, field string, v, least, most int64) {
	if c.Has(path+"."+field) && (v < least || v > most) {
		c.Addf(jsonc.CodeOutOfRange, path+"."+field, "must be between %d and %d, not %d", least, most, v)
	}
}

// checkDuration checks the range of a duration if the field is present.
func (c *checker) checkDuration(path, field string, v, least, most time.Duration) {
	if c.Has(path+"."+field) && (v < least || v > most) {
		c.Addf(jsonc.CodeOutOfRange, path+"."+field, "must be between %v and %v, not %v", least, most, v)
	}
}

// checkDependencies checks the services that a service depends on. These must be
// of class service: only a service that runs continuously can be down.
func (c *checker) checkDependencies(path string, s *wireService) {
	for i, name := range s.DependsOn {
		at := jsonc.Index(path+".depends_on", i)
		dep, ok := c.services[name]
		switch {
		case !ok:
			c.Addf(jsonc.CodeUnknownService, at, "service %q is not declared", name)
		case c.text.Services[dep].Class != string(model.ClassService):
			c.Addf(jsonc.CodeBadDependency, at, "%q is of class %s; a dependency is of class service", name, c.text.Services[dep].Class)
		case slices.Contains(s.DependsOn[:i], name):
			c.Addf(jsonc.CodeDuplicate, at, "%q is listed twice", name)
		}
	}
	switch model.DependencyPolicy(s.OnDown) {
	case model.DependencyHold, model.DependencyDegrade:
	default:
		if c.Has(path + ".on_dependency_down") {
			c.Addf(jsonc.CodeBadValue, path+".on_dependency_down", "must be hold or degrade, not %q", s.OnDown)
		}
	}
}

// checkCycles reports each dependency that closes a cycle exactly once.
func (c *checker) checkCycles() {
	const visiting, finished = 1, 2
	state := make([]int, len(c.text.Services))
	var chain []string
	var visit func(i int)
	visit = func(i int) {
		s := &c.text.Services[i]
		state[i], chain = visiting, append(chain, s.Name)
		for k, name := range s.DependsOn {
			dep, ok := c.services[name]
			switch {
			case !ok:
			case state[dep] == visiting:
				from := slices.Index(chain, name)
				c.Addf(jsonc.CodeDependencyCycle, jsonc.Index(jsonc.Index("$.services", i)+".depends_on", k),
					"dependencies form a cycle: %s -> %s", strings.Join(chain[from:], " -> "), name)
			case state[dep] == 0:
				visit(dep)
			}
		}
		state[i], chain = finished, chain[:len(chain)-1]
	}
	for i := range c.text.Services {
		if state[i] == 0 {
			visit(i)
		}
	}
}
