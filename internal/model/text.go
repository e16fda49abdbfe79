package model

import "time"

// Class selects the policy by which a service's work is scheduled.
type Class string

// The classes of work.
const (
	ClassService     Class = "service"     // runs until stopped; the number of instances is kept constant
	ClassBatch       Class = "batch"       // independent tasks with a deadline
	ClassGang        Class = "gang"        // all tasks start together, or none does
	ClassInteractive Class = "interactive" // one task whose caller waits for the result
)

// DependencyPolicy selects what happens to a service while one of its
// dependencies is not running.
type DependencyPolicy string

// The dependency policies.
const (
	DependencyHold    DependencyPolicy = "hold"    // start no new tasks
	DependencyDegrade DependencyPolicy = "degrade" // start tasks, marked as degraded
)

// Text is a parsed and validated service text.
type Text struct {
	Name         string       `json:"name"`
	DataCentres  []DataCentre `json:"data_centres"` // idempotency keys are distributed over these; can't change between versions
	Teams        []Team       `json:"teams"`
	WorkerShapes []Resources  `json:"worker_shapes"` // existing worker capacities; a demand that fits none is rejected
	Services     []Service    `json:"services"`
}

// Team is a group of users with a quota per data centre.
type Team struct {
	Name  string    `json:"name"`
	Quota Resources `json:"quota"` // zero component: no limit
}

// Service is one service of the service text.
type Service struct {
	Name             string           `json:"name"`
	Team             string           `json:"team"`
	Class            Class            `json:"class"`
	DependsOn        []string         `json:"depends_on,omitempty"`
	OnDependencyDown DependencyPolicy `json:"on_dependency_down,omitempty"`
	Resources        Resources        `json:"resources"`              // demand of one task
	Instances        int              `json:"instances,omitempty"`    // class service: instances per data centre
	DataCentres      []DataCentre     `json:"data_centres,omitempty"` // class service: where it runs; empty means everywhere
	Singleton        bool             `json:"singleton,omitempty"`    // class service: at most one instance at a time
	Idempotent       bool             `json:"idempotent"`
	Deadline         time.Duration    `json:"deadline,omitempty"`     // default deadline of a request or job
	MaxRunTime       time.Duration    `json:"max_run_time,omitempty"` // a longer-running task is stopped
	MaxAttempts      int              `json:"max_attempts,omitempty"` // per task; only for idempotent work
	MaxBodyBytes     int64            `json:"max_body_bytes,omitempty"`
	Level            *ServiceLevel    `json:"service_level,omitempty"`
}

// ServiceLevel is the service-level objective behind the burn report.
type ServiceLevel struct {
	Objective float64       `json:"objective"`         // fraction of good requests, for example 0.999
	Latency   time.Duration `json:"latency,omitempty"` // a slower answer is not good; zero: latency is not considered
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
