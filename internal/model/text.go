package model

import "time"

// Class says which policy a service's work is scheduled under.
type Class string

// The classes of work.
const (
	ClassService     Class = "service"     // runs until stopped; the count of instances is kept
	ClassBatch       Class = "batch"       // independent tasks with a deadline
	ClassGang        Class = "gang"        // all tasks start together or none
	ClassInteractive Class = "interactive" // one task while a caller waits
)

// DependencyPolicy says what a service does while one of its dependencies is
// not running.
type DependencyPolicy string

// The dependency policies.
const (
	DependencyHold    DependencyPolicy = "hold"    // start nothing new
	DependencyDegrade DependencyPolicy = "degrade" // start, marked as degraded
)

// Text is one parsed and checked service text.
type Text struct {
	Name         string       `json:"name"`
	DataCentres  []DataCentre `json:"data_centres"` // homes of idempotency keys; can't change between versions
	Teams        []Team       `json:"teams"`
	WorkerShapes []Resources  `json:"worker_shapes"` // capacities that exist; a demand that fits none is rejected
	Services     []Service    `json:"services"`
}

// Team is a group of users with a quota per data centre.
type Team struct {
	Name  string    `json:"name"`
	Quota Resources `json:"quota"` // a zero component is unlimited
}

// Service is one entry of the service text.
type Service struct {
	Name             string           `json:"name"`
	Team             string           `json:"team"`
	Class            Class            `json:"class"`
	DependsOn        []string         `json:"depends_on,omitempty"`
	OnDependencyDown DependencyPolicy `json:"on_dependency_down,omitempty"`
	Resources        Resources        `json:"resources"`              // demand of one task
	Instances        int              `json:"instances,omitempty"`    // class service: instances per data centre
	DataCentres      []DataCentre     `json:"data_centres,omitempty"` // class service: where it runs; empty means everywhere
	Singleton        bool             `json:"singleton,omitempty"`    // class service: never two at a time
	Idempotent       bool             `json:"idempotent"`
	Deadline         time.Duration    `json:"deadline,omitempty"`     // default deadline of a request or job
	MaxRunTime       time.Duration    `json:"max_run_time,omitempty"` // a task that runs longer is stopped
	MaxAttempts      int              `json:"max_attempts,omitempty"` // attempts per task; idempotent work only
	MaxBodyBytes     int64            `json:"max_body_bytes,omitempty"`
	Level            *ServiceLevel    `json:"service_level,omitempty"`
}

// ServiceLevel is the objective that the burn report is computed from.
type ServiceLevel struct {
	Objective float64       `json:"objective"`         // fraction of good requests, for example 0.999
	Latency   time.Duration `json:"latency,omitempty"` // a slower answer is not good; zero: only the outcome counts
	Window    time.Duration `json:"window"`            // compliance period
}

// Service returns the service with the given name, or nil.
func (t *Text) Service(name string) *Service {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i]
		}
	}
	return nil
}
