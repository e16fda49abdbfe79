// Package core is the reducer of one instance. Step takes one event and
// returns the effects that follow from it; it reads no clock, socket or
// random source, so that the events of a run replay to the same effects.
package core
