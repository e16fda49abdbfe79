package core

import "github.com/gentianpick/gentianpick/internal/model"

// Core is the state of one instance. It is not safe for concurrent use.
type Core struct {
	cfg   Config
	parse func([]byte) (*model.Text, error)
}

// New returns the state of an instance that has just started. It parses the
// service texts that it folds with parse, which must be a pure function.
func New(cfg Config, parse func([]byte) (*model.Text, error)) *Core {
	return &Core{cfg: cfg, parse: parse}
}

// Step applies one event at the given time of the instance's monotonic clock
// and returns the effects in the order in which they must be carried out.
func (c *Core) Step(now model.Time, ev Event) []Effect { return nil }
