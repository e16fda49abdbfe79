// Package cell implements the scheduling domain of one cell: a set of workers and
// the jobs assigned to it. It is a reducer. Step takes events and returns effects,
// and reads no clock, network or random source, so that a run can be replayed from
// its events.
//
// Every instance replays the cell's two streams from the store, submissions and
// progress, and so knows each job. One instance, the owner, also places tasks. An
// instance becomes the owner by appending a claim with a higher epoch to the
// progress stream, on condition that the stream still ends where the instance has
// read it to. The store and the workers reject requests with a lower epoch.
//
// These rules keep a task from running twice:
//   - A start is sent only once its placement (task, run number and worker) is in
//     the store. A successor therefore knows every worker that may run a task.
//   - A new owner uses a worker only after the worker has accepted its epoch and
//     listed its runs. A task whose worker can't be reached waits until the
//     worker's lease has certainly expired.
//   - Leases are granted in the worker's own clock, counted from the moment at
//     which the owner's ownership was last confirmed. A paused or deposed owner
//     can't extend them.
//   - The outcome of a start without an answer is resolved with its worker before
//     the task is placed again.
package cell
