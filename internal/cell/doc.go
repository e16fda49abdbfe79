// Package cell decides for one cell: a set of workers and the jobs that were
// assigned to it. It is a reducer. Step takes events and returns effects, and
// reads no clock, network or random source, so a run can be replayed from its
// events.
//
// Every instance folds the cell's two streams of the store and so knows each
// job. One of them, the owner, also places tasks. An instance becomes the
// owner by a claim in the progress stream with a higher epoch, conditional on
// the stream's end that it has folded. The store and the workers refuse what
// carries a lower epoch.
//
// What keeps a task from running twice:
//   - A start is sent only after the store has the placement: task, run number
//     and worker. A successor therefore knows every worker that may run a task.
//   - A new owner uses a worker only after the worker has accepted its epoch
//     and told what it runs. A task whose worker can't be reached waits until
//     the worker's lease has certainly run out.
//   - Leases are granted in the worker's own clock, counted from the moment at
//     which the owner last knew that it still was the owner. A paused or
//     deposed owner can't extend them.
//   - A start without an answer is settled at its worker before the task is
//     placed again.
package cell
