package standin

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/worker"
)

// defaultRun is the run time of a task whose body gives none.
const defaultRun = 10 * time.Millisecond

// throttleFactor is how many times longer a throttled task takes.
const throttleFactor = 2

// Messages of tasks that failed or were stopped.
const (
	messageWorkerFault  = "worker fault"
	messageRandomFault  = "random fault"
	messageLeaseEnded   = "lease ended"
	messageRunLimit     = "run-time limit"
	messageStopped      = "stopped by order"
	messageCheckpointed = "checkpointed"
	messageForgotten    = "result no longer held"
)

// Plan is the body of a task that tells a stand-in worker what to do. A body
// that is not a Plan runs for 10 ms and is its own result. A task of class
// service whose body gives no run time runs until it is stopped.
type Plan struct {
	RunMS    *int64           `json:"run_ms,omitempty"`
	Result   string           `json:"result,omitempty"`
	Fail     string           `json:"fail,omitempty"`      // message; the task fails at its end
	FailRate float64          `json:"fail_rate,omitempty"` // probability of failing, if not every run fails
	Usage    *model.Resources `json:"usage,omitempty"`     // observed use; default: the declared demand
}

// Progress is the content of a stand-in's checkpoint.
type Progress struct {
	DoneMS int64 `json:"done_ms"`
}

type task struct {
	status  model.TaskStatus
	usage   model.Resources
	started time.Duration // on the stand-ins' common clock, like all times below
	settled time.Duration // time that done refers to
	done    time.Duration // work done at full speed
	total   time.Duration // work to do
	endless bool          // runs until stopped
	lease   time.Duration // end of the lease
	ended   time.Duration // valid unless running
	result  []byte
	fail    string // message if the task will fail
	seq     uint64 // of its last change
	run     int    // index in the ledger
}

func newTask(req worker.StartRequest, now time.Duration, failAll bool, rng *rand.Rand) *task {
	t := &task{
		status:  model.TaskStatus{Spec: req.Spec, State: model.TaskRunning},
		usage:   req.Spec.Resources,
		started: now, settled: now, total: defaultRun, lease: now + req.Lease,
		endless: req.Spec.Class == model.ClassService,
		result:  req.Body,
	}
	var p Plan
	d := json.NewDecoder(bytes.NewReader(req.Body))
	d.DisallowUnknownFields()
	if d.Decode(&p) == nil {
		t.follow(p, rng)
	}
	var done Progress
	if json.Unmarshal(req.Resume, &done) == nil {
		t.done = min(t.total, time.Duration(done.DoneMS)*time.Millisecond)
	}
	if failAll {
		t.fail, t.endless, t.done, t.total = messageWorkerFault, false, 0, time.Millisecond
	}
	return t
}

func (t *task) follow(p Plan, rng *rand.Rand) {
	t.result = []byte(p.Result)
	if p.RunMS != nil {
		t.total, t.endless = time.Duration(*p.RunMS)*time.Millisecond, false
	}
	if p.Usage != nil {
		t.usage = *p.Usage
	}
	t.fail = p.Fail
	if p.FailRate > 0 {
		if rng.Float64() >= p.FailRate {
			t.fail = ""
		} else if t.fail == "" {
			t.fail = messageRandomFault
		}
	}
}

// settle brings the work done up to the given time.
func (t *task) settle(now time.Duration) {
	elapsed := now - t.settled
	if t.status.Throttled {
		elapsed /= throttleFactor
	}
	t.done += elapsed
	t.settled = now
}

// due returns when and how the task ends if nothing else happens.
func (t *task) due() (at time.Duration, state model.TaskState, message string) {
	at, state, message = t.lease, model.TaskStopped, messageLeaseEnded
	if limit := t.status.Spec.MaxRun; limit > 0 && t.started+limit < at {
		at, message = t.started+limit, messageRunLimit
	}
	if t.endless {
		return at, state, message
	}
	left := t.total - t.done
	if t.status.Throttled {
		left *= throttleFactor
	}
	if finish := t.settled + left; finish <= at {
		if t.fail != "" {
			return finish, model.TaskFailed, t.fail
		}
		return finish, model.TaskDone, ""
	}
	return at, state, message
}

// report returns the task's status as of now. Usage is reported once the task
// has run for lag.
func (t *task) report(now, lag time.Duration) model.TaskStatus {
	s := t.status
	end := now
	if s.State != model.TaskRunning {
		end = t.ended
	}
	s.Ran = end - t.started
	if s.Ran >= lag {
		s.Usage = t.usage
	}
	return s
}

// ranAt reports whether the task was running at the given time.
func (t *task) ranAt(at time.Duration) bool {
	return t.started <= at && (t.status.State == model.TaskRunning || at < t.ended)
}

// demand is what the task takes of its worker. Every task takes a slot.
func demand(spec model.TaskSpec) model.Resources {
	r := spec.Resources
	r.Slots = max(1, r.Slots)
	return r
}
