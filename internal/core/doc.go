// Package core implements one scheduler instance as a deterministic reducer. Core.Step
// takes one event and returns the resulting effects. It reads no clock, socket or
// random source, so replaying the recorded events of a run reproduces the same effects.
package core
