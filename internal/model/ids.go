// Package model holds the entity types, identifiers and typed error codes
// that all other packages share. It has no behaviour beyond arithmetic on
// resources and time.
package model

import (
	"fmt"
	"time"
)

// Time is a reading of an instance's monotonic clock, in nanoseconds since an
// arbitrary start. Readings of two processes can't be compared.
type Time int64

// Add returns the time d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Never is a time that no clock reaches.
const Never = Time(1<<63 - 1)

// WorkerTime is a reading of one worker's own monotonic clock, in nanoseconds.
// It is comparable only with readings of the same worker and boot.
type WorkerTime int64

// DataCentre names a data centre, for example "tartu".
type DataCentre string

// Incarnation identifies one run of one instance. A VM that is replaced under
// the same name or address has another incarnation.
type Incarnation string

// WorkerName names a worker. It is unique across data centres.
type WorkerName string

// RequestID identifies one call of a caller at the instance that received it.
type RequestID string

// Key is an idempotency key given by a caller. It is scoped to one service.
type Key string

// JobID identifies a job. It starts with its home data centre and a slash.
type JobID string

// TaskID identifies one attempt at one task. It is never used twice.
type TaskID string

// NewTaskID returns the id of one attempt at the task with the given index.
func NewTaskID(job JobID, index, attempt int) TaskID {
	return TaskID(fmt.Sprintf("%s/%d/%d", job, index, attempt))
}

// Member is one run of one instance as its peers know it.
type Member struct {
	Name        string      `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
	DataCentre  DataCentre  `json:"data_centre"`
	Address     string      `json:"address"` // IP:port of the peer listener
}
