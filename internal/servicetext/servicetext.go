// Package servicetext parses and checks a service text, the JSON document with
// comments that operators publish.
package servicetext

import (
	"regexp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianpick/gentianpick/internal/jsonc"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Errors lists all errors found in a text.
type Errors = jsonc.Errors

// Error is one error found in a text.
type Error = jsonc.Error

// Limits of a text.
const (
	// MaxBytes bounds the size of a text, which is stored in a single log record
	// and sent in a single message. A text of 290 teams and some 1000 services
	// has about 500 KB.
	MaxBytes = 1 << 20
	// MaxInstances bounds the instances of one service in one data centre, to
	// catch typing errors. At the target size, a data centre runs some 700
	// service tasks in all.
	MaxInstances = 10000
	// MaxAttempts bounds the attempts per task. Work that failed ten times is
	// assumed to be faulty itself.
	MaxAttempts = 10
	// MaxBodyBytes bounds the body of a request. Bodies of batch jobs are
	// written to the log, which has to store a text of MaxBytes in any case.
	MaxBodyBytes = 1 << 20
	// MaxInteractiveDeadline bounds the deadline of interactive requests, and
	// with it the time for which a caller waits.
	MaxInteractiveDeadline = 5 * time.Minute
	// MaxJobTime bounds the deadlines and run times of jobs. Longer work has to
	// be declared as class service.
	MaxJobTime = 7 * 24 * time.Hour
	// MinWindow and MaxWindow bound the compliance window of a service level:
	// the longest burn-rate window is six hours, and the longest compliance
	// window in use is a quarter of a year.
	MinWindow = 6 * time.Hour
	MaxWindow = 92 * 24 * time.Hour
	// maxAmount bounds each resource amount, so that sums over the tasks of a
	// data centre can't overflow.
	maxAmount = int64(1) << 40
)

// namePattern allows only names that are usable in paths, stream names and metric
// labels. Names contain no slash, since a job ID starts with the name of a data
// centre and a slash.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether s is a valid name of a service, team, data centre
// or VM.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// wireText and the other wire types define the format that operators write. They
// are separate from the model, so that a change of the model can't change this
// format.
type wireText struct {
	Name         string          `json:"name"`
	DataCentres  []string        `json:"data_centres"`
	Teams        []wireTeam      `json:"teams"`
	WorkerShapes []wireResources `json:"worker_shapes"`
	Services     []wireService   `json:"services"`
}

type wireTeam struct {
	Name  string        `json:"name"`
	Quota wireResources `json:"quota"`
}

type wireResources struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
	Slots        int64 `json:"slots"`
	Connections  int64 `json:"connections"`
}

type wireService struct {
	Name         string        `json:"name"`
	Team         string        `json:"team"`
	Class        string        `json:"class"`
	DependsOn    []string      `json:"depends_on"`
	OnDown       string        `json:"on_dependency_down"`
	Resources    wireResources `json:"resources"`
	Instances    int           `json:"instances"`
	DataCentres  []string      `json:"data_centres"`
	Singleton    bool          `json:"singleton"`
	Idempotent   bool          `json:"idempotent"`
	Deadline     time.Duration `json:"deadline"`
	MaxRunTime   time.Duration `json:"max_run_time"`
	MaxAttempts  int           `json:"max_attempts"`
	MaxBodyBytes int64         `json:"max_body_bytes"`
	Level        *wireLevel    `json:"service_level"`
}

type wireLevel struct {
	Objective float64       `json:"objective"`
	Latency   time.Duration `json:"latency"`
	Window    time.Duration `json:"window"`
}

// Hash returns the hash that, together with the version, identifies a text.
func Hash(data []byte) uint64 { return xxhash.Sum64(data) }

// Parse parses and checks a text. The error is an *Errors that lists every
// error found.
func Parse(data []byte) (*model.Text, error) {
	var w wireText
	d := jsonc.Decode(data, MaxBytes, &w)
	if !d.Broken() {
		newChecker(d, &w).check()
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return w.model(), nil
}

func (w *wireText) model() *model.Text {
	t := &model.Text{Name: w.Name, DataCentres: dataCentres(w.DataCentres)}
	for _, team := range w.Teams {
		t.Teams = append(t.Teams, model.Team{Name: team.Name, Quota: model.Resources(team.Quota)})
	}
	for _, shape := range w.WorkerShapes {
		t.WorkerShapes = append(t.WorkerShapes, model.Resources(shape))
	}
	for i := range w.Services {
		t.Services = append(t.Services, w.Services[i].model())
	}
	return t
}

func (s *wireService) model() model.Service {
	m := model.Service{
		Name: s.Name, Team: s.Team, Class: model.Class(s.Class),
		DependsOn: s.DependsOn, OnDependencyDown: model.DependencyPolicy(s.OnDown),
		Resources: s.demand(),
		Instances: s.Instances, DataCentres: dataCentres(s.DataCentres), Singleton: s.Singleton,
		Idempotent: s.Idempotent, Deadline: s.Deadline, MaxRunTime: s.MaxRunTime,
		MaxAttempts: s.MaxAttempts, MaxBodyBytes: s.MaxBodyBytes,
	}
	if m.OnDependencyDown == "" {
		m.OnDependencyDown = model.DependencyHold
	}
	if m.Class == model.ClassService {
		// An instance may be started again while it is unknown whether the
		// previous one still runs, except for a singleton.
		m.Idempotent = !s.Singleton
	}
	if s.Level != nil {
		level := model.ServiceLevel(*s.Level)
		m.Level = &level
	}
	return m
}

// demand returns the resources of one task. Every task takes at least one slot.
func (s *wireService) demand() model.Resources {
	r := model.Resources(s.Resources)
	r.Slots = max(r.Slots, 1)
	return r
}

func dataCentres(names []string) []model.DataCentre {
	var dcs []model.DataCentre
	for _, name := range names {
		dcs = append(dcs, model.DataCentre(name))
	}
	return dcs
}
