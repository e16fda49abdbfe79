package servicetext

import (
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/jsonc"
	"github.com/gentianpick/gentianpick/internal/model"
)

// checker checks a decoded text and adds the errors that it finds to the document.
type checker struct {
	*jsonc.Doc
	text        *wireText
	teams       map[string]*wireTeam
	services    map[string]int // name -> index
	shapesValid bool           // demands can be compared with the worker shapes
}

func newChecker(d *jsonc.Doc, w *wireText) *checker {
	return &checker{Doc: d, text: w, teams: map[string]*wireTeam{}, services: map[string]int{}}
}

func (c *checker) check() {
	c.checkName("$.name", c.text.Name)
	for _, path := range []string{"$.data_centres", "$.teams", "$.worker_shapes", "$.services"} {
		c.Require(path)
	}
	c.checkNames("$.data_centres", c.text.DataCentres)
	c.checkNotEmpty("$.data_centres", len(c.text.DataCentres))
	errorsBefore := c.Len()
	c.checkNotEmpty("$.worker_shapes", len(c.text.WorkerShapes))
	for i, shape := range c.text.WorkerShapes {
		path := jsonc.Index("$.worker_shapes", i)
		c.checkAmounts(path, shape)
		c.checkPositive(path, "milli_cpu", shape.MilliCPU)
		c.checkPositive(path, "memory_mb", shape.MemoryMB)
		c.checkPositive(path, "slots", shape.Slots)
	}
	c.shapesValid = c.Len() == errorsBefore && len(c.text.WorkerShapes) > 0
	for i := range c.text.Teams {
		team, path := &c.text.Teams[i], jsonc.Index("$.teams", i)
		c.checkName(path+".name", team.Name)
		if c.teams[team.Name] != nil {
			c.Addf(jsonc.CodeDuplicate, path+".name", "team %q is declared twice", team.Name)
		}
		c.teams[team.Name] = team
		c.checkAmounts(path+".quota", team.Quota)
	}
	for i := range c.text.Services {
		name := c.text.Services[i].Name
		if _, ok := c.services[name]; ok {
			c.Addf(jsonc.CodeDuplicate, jsonc.Index("$.services", i)+".name", "service %q is declared twice", name)
			continue
		}
		c.services[name] = i
	}
	for i := range c.text.Services {
		c.checkService(jsonc.Index("$.services", i), &c.text.Services[i])
	}
	c.checkCycles()
}

func (c *checker) checkService(path string, s *wireService) {
	c.checkName(path+".name", s.Name)
	if c.Require(path+".team") && c.teams[s.Team] == nil {
		c.Addf(jsonc.CodeUnknownTeam, path+".team", "team %q is not declared", s.Team)
	}
	c.checkDependencies(path, s)
	c.checkResources(path, s)
	c.checkRange(path, "max_body_bytes", s.MaxBodyBytes, 1, MaxBodyBytes)
	if !c.Require(path + ".class") {
		return
	}
	switch model.Class(s.Class) {
	case model.ClassService:
		c.checkLongRunning(path, s)
	case model.ClassBatch, model.ClassGang:
		c.checkWork(path, s, MaxJobTime)
	case model.ClassInteractive:
		c.checkWork(path, s, MaxInteractiveDeadline)
	default:
		c.Addf(jsonc.CodeBadValue, path+".class", "must be service, batch, gang or interactive, not %q", s.Class)
	}
}

// checkLongRunning checks the rules of class service.
func (c *checker) checkLongRunning(path string, s *wireService) {
	for _, field := range []string{"deadline", "max_run_time", "max_attempts", "max_body_bytes", "idempotent", "service_level"} {
		c.checkAbsent(path, field, s.Class)
	}
	if c.Require(path + ".instances") {
		c.checkRange(path, "instances", int64(s.Instances), 1, MaxInstances)
	}
	c.checkNames(path+".data_centres", s.DataCentres)
	for i, dc := range s.DataCentres {
		if !slices.Contains(c.text.DataCentres, dc) {
			c.Addf(jsonc.CodeUnknownDataCentre, jsonc.Index(path+".data_centres", i), "data centre %q is not declared", dc)
		}
	}
	if !s.Singleton {
		return
	}
	if s.Instances > 1 {
		c.Addf(jsonc.CodeOutOfRange, path+".instances", "a singleton has one instance, not %d", s.Instances)
	}
	// Data centres place tasks independently of each other, so that only a
	// single data centre can guarantee that there are never two instances.
	if n := len(s.DataCentres); n > 1 || n == 0 && len(c.text.DataCentres) > 1 {
		c.Addf(jsonc.CodeOutOfRange, path+".data_centres", "a singleton names exactly one data centre")
	}
}

// checkWork checks the rules of the classes that run requests and jobs.
func (c *checker) checkWork(path string, s *wireService, maxDeadline time.Duration) {
	for _, field := range []string{"instances", "singleton", "data_centres"} {
		c.checkAbsent(path, field, s.Class)
	}
	if c.Require(path + ".deadline") {
		c.checkDuration(path, "deadline", s.Deadline, time.Millisecond, maxDeadline)
	}
	c.checkDuration(path, "max_run_time", s.MaxRunTime, time.Millisecond, MaxJobTime)
	// Required, since an omitted field must not decide whether work may run twice.
	if c.Require(path+".idempotent") && !s.Idempotent && c.Has(path+".max_attempts") {
		c.Addf(jsonc.CodeNotApplicable, path+".max_attempts", "non-idempotent work is attempted once")
	} else {
		c.checkRange(path, "max_attempts", int64(s.MaxAttempts), 1, MaxAttempts)
	}
	if l := s.Level; l != nil {
		path += ".service_level"
		if c.Require(path+".objective") && !(l.Objective > 0 && l.Objective < 1) {
			c.Addf(jsonc.CodeOutOfRange, path+".objective", "must lie between 0 and 1, both excluded")
		}
		if c.Require(path + ".window") {
			c.checkDuration(path, "window", l.Window, MinWindow, MaxWindow)
		}
		c.checkDuration(path, "latency", l.Latency, time.Millisecond, MaxJobTime)
	}
}

// checkResources checks that a task fits one of the worker shapes, and that a
// task, or all instances of class service, fit the team's quota.
func (c *checker) checkResources(path string, s *wireService) {
	at := path + ".resources"
	if !c.Require(at) {
		return
	}
	c.checkAmounts(at, s.Resources)
	c.checkPositive(at, "milli_cpu", s.Resources.MilliCPU)
	c.checkPositive(at, "memory_mb", s.Resources.MemoryMB)
	if c.Has(at + ".slots") {
		c.checkPositive(at, "slots", s.Resources.Slots)
	}
	demand := s.demand()
	if c.shapesValid && !slices.ContainsFunc(c.text.WorkerShapes, func(shape wireResources) bool {
		return demand.Fits(model.Resources(shape))
	}) {
		c.Addf(jsonc.CodeNeverFits, at, "no declared worker shape holds this demand")
	}
	if team := c.teams[s.Team]; team != nil {
		n := int64(1)
		if s.Class == string(model.ClassService) {
			n = min(max(int64(s.Instances), 1), MaxInstances)
		}
		if !demand.Scale(n).Fits(effectiveQuota(team.Quota)) {
			c.Addf(jsonc.CodeOverQuota, at, "%d of these are above the quota of team %q", n, s.Team)
		}
	}
}

// effectiveQuota replaces each zero component of a quota, which means no limit, by
// an amount that no demand reaches.
func effectiveQuota(quota wireResources) model.Resources {
	limit := func(v int64) int64 {
		if v <= 0 {
			return maxAmount * MaxInstances
		}
		return v
	}
	return model.Resources{
		MilliCPU: limit(quota.MilliCPU), MemoryMB: limit(quota.MemoryMB),
		Accelerators: limit(quota.Accelerators), Slots: limit(quota.Slots), Connections: limit(quota.Connections),
	}
}
