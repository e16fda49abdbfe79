package queue

import (
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// TasksToDemote returns running batch tasks to stop and queue again as stragglers:
// those that turned out to be stragglers and hold slots above the stragglers'
// share while other batch work waits. The last one found comes first, so that
// the others keep their progress if a task can't be checkpointed. Tasks of
// raised jobs, and those that were queued again before, are left to run; so
// that no task is moved more than once. Until a returned task has ended, it is
// returned again.
func (q *Queue) TasksToDemote(now model.Time) []model.TaskID {
	r := &q.running
	r.promote(q, now)
	r.over = slices.DeleteFunc(r.over, func(u *run) bool { return u.ended })
	excess := r.stragglers - int64(float64(r.slots)*q.cfg.MaxStragglerShare)
	if q.cfg.FIFO || r.slots == 0 || excess <= 0 || !q.shortWaits() {
		return nil
	}
	var tasks []model.TaskID
	for i := len(r.over) - 1; i >= 0 && excess > 0; i-- {
		if u := r.over[i]; !q.raised[u.it.Job] {
			tasks = append(tasks, u.it.Task)
			excess -= slotsOf(u.it)
		}
	}
	return tasks
}

// shortWaits reports whether batch work waits that is not expected to straggle.
func (q *Queue) shortWaits() bool {
	for _, f := range q.order[model.ClassBatch] {
		if f.live > 0 && !f.key.straggler && !q.straggles(f.key) {
			return true
		}
	}
	return false
}
