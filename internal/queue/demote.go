package queue

import (
	"slices"

	"github.com/gentianpick/gentianpick/internal/model"
)

// TasksToDemote returns the running batch tasks to stop and requeue as stragglers: tasks
// that exceeded the straggler limit while running and hold slots above the straggler
// share while other batch work waits. The last task to exceed the limit comes first, so
// that older tasks keep their progress if a task can't be checkpointed. Tasks of
// prioritized jobs and tasks that were requeued before are exempt, so that no task is
// moved more than once. A returned task is returned again by later calls until it has
// ended.
func (q *Queue) TasksToDemote(now model.Time) []model.TaskID {
	r := &q.running
	r.markOverLimit(q, now)
	r.overLimit = slices.DeleteFunc(r.overLimit, func(u *runningTask) bool { return u.ended })
	excess := r.stragglerSlots - int64(float64(r.totalSlots)*q.cfg.MaxStragglerShare)
	if q.cfg.FIFO || r.totalSlots == 0 || excess <= 0 || !q.nonStragglersWait() {
		return nil
	}
	var tasks []model.TaskID
	for i := len(r.overLimit) - 1; i >= 0 && excess > 0; i-- {
		if u := r.overLimit[i]; !q.prioritized[u.item.Job] {
			tasks = append(tasks, u.item.Task)
			excess -= taskSlots(u.item)
		}
	}
	return tasks
}

// nonStragglersWait reports whether any batch work waits that is not expected to
// straggle.
func (q *Queue) nonStragglersWait() bool {
	for _, f := range q.flowsByClass[model.ClassBatch] {
		if f.live > 0 && !f.key.straggler && !q.expectsStragglers(f.key) {
			return true
		}
	}
	return false
}
