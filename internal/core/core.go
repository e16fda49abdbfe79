package core

import "github.com/gentianpick/gentianpick/internal/model"

// Core is the state of one instance. It is not safe for concurrent use.
type Core struct {
	cfg Config
}

// New returns the state of an instance that has just started.
func New(cfg Config) *Core { return &Core{cfg: cfg} }

// Step applies one event at the given time of the instance's monotonic clock
// and returns the effects in the order in which they must be carried out.
func (c *Core) Step(now model.Time, ev Event) []Effect { return nil }
