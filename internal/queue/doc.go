// Package queue orders the waiting work of one data centre and keeps the statistics that
// the scheduling policy needs: run times per service and operation, slots held by
// stragglers, demand of interactive work, and forecasts. The package is pure: callers
// pass the current time as an argument. A Queue is not safe for concurrent use.
package queue
