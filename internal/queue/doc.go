// Package queue orders the waiting work of one data centre and keeps the
// statistics that its policy needs: run times per service and operation, the
// slots that stragglers hold, the demand of interactive work and forecasts. The
// package is pure: times arrive as arguments. A Queue is not safe for
// concurrent use.
package queue
