// Package model defines the entity types, identifiers and error codes that all
// other packages share. Its only behaviour is arithmetic on resources and time.
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

// Never is later than any reading of a clock.
const Never = Time(1<<63 - 1)

// WorkerTime is a reading of one worker's own monotonic clock, in nanoseconds.
// It is comparable only with readings of the same worker and boot.
type WorkerTime int64

// DataCentre names a data centre, for example "tartu".
type DataCentre string

// Incarnation identifies one run of one instance. It distinguishes a VM from its
// replacement under the same name or address.
type Incarnation string

// WorkerName names a worker. It is unique across data centres.
type WorkerName string

// RequestID identifies one call by a caller within the instance that received it.
type RequestID string

// Key is an idempotency key chosen by a caller. Its scope is one service.
type Key string

// JobID identifies a job. It consists of the name of the job's home data centre, a
// slash and a suffix. The home data centre owns the job: its owner decides whether
// the job may start, and also keeps the state of the job's idempotency key.
type JobID string

// TaskID identifies one attempt of one task. It is never reused.
type TaskID string

// NewTaskID returns the id of one attempt of the task with the given index.
func NewTaskID(job JobID, index, attempt int) TaskID {
	return TaskID(fmt.Sprintf("%s/%d/%d", job, index, attempt))
}

// Member describes one run of one instance to its peers.
type Member struct {
	Name        string      `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
	DataCentre  DataCentre  `json:"data_centre"`
	Address     string      `json:"address"` // IP:port of the peer listener
}
