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

// Errors is every error found in a text.
type Errors = jsonc.Errors

// Error is one error found in a text.
type Error = jsonc.Error

// Limits of a text.
const (
	// MaxBytes bounds a text. A text travels in one log record and in one
	// message; at 290 teams and some 1000 services it has about 500 KB.
	MaxBytes = 1 << 20
	// MaxInstances bounds the instances of one service in one data centre, to
	// catch a slip of the pen; the target size has some 700 service tasks there.
	MaxInstances = 10000
	// MaxAttempts bounds the attempts per task. Work that failed ten times is
	// at fault itself.
	MaxAttempts = 10
	// MaxBodyBytes bounds a request's body. Bodies of batch jobs travel through
	// the log, which has to carry a text of MaxBytes in any case.
	MaxBodyBytes = 1 << 20
	// MaxInteractiveDeadline is the longest that a caller can wait.
	MaxInteractiveDeadline = 5 * time.Minute
	// MaxJobTime bounds deadlines and run times of jobs. Work that takes longer
	// is a service.
	MaxJobTime = 7 * 24 * time.Hour
	// MinWindow and MaxWindow bound the compliance window of a service level:
	// the slow burn-rate window is six hours, and a quarter is the longest
	// period in use.
	MinWindow = 6 * time.Hour
	MaxWindow = 92 * 24 * time.Hour
	// maxAmount bounds each amount of a resource, so that sums over a data
	// centre's tasks can't overflow.
	maxAmount = int64(1) << 40
)

// nameForm keeps names usable in paths, stream names and metric labels. A job
// id starts with a data centre's name and a slash, so names hold no slash.
var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidName reports whether a string may name a service, team, data centre or
// VM.
func ValidName(s string) bool { return nameForm.MatchString(s) }

// The wire types are the published format. They are apart from the model, so
// that a change of the model can't change what operators write.
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

// Hash returns the hash that identifies a text together with its version.
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
		// An instance of a service may be started again while the fate of the
		// old one is open, unless there must never be two.
		m.Idempotent = !s.Singleton
	}
	if s.Level != nil {
		level := model.ServiceLevel(*s.Level)
		m.Level = &level
	}
	return m
}

// demand returns the resources of one task. Every task takes a slot.
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
