package link

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/model"
)

// The kinds of calls to workers.
const (
	kindStart = iota
	kindStop
	kindRenew
)

// callBatch is a message with calls to make. Its rows, and those of answers, have
// short names: hundreds a second go over a narrow link.
type callBatch struct {
	Epoch  int64     `json:"e"`
	SentMs int64     `json:"s"` // on the sender's clock, in milliseconds
	Calls  []callRow `json:"c"`
}

// callRow is one call. It is answered by the answerRow with the same number.
type callRow struct {
	Number     uint64           `json:"n"`
	Kind       int              `json:"k,omitempty"`
	Worker     model.WorkerName `json:"w"`
	Address    string           `json:"a"`
	Task       taskName         `json:"t,omitzero"`
	Run        int              `json:"r,omitempty"`
	LeaseMs    int64            `json:"l,omitempty"` // of the worker's clock
	Checkpoint string           `json:"c,omitempty"`
	Permit     string           `json:"p,omitempty"`
	AckedEnd   int64            `json:"e,omitempty"`
	WaitMs     int64            `json:"h,omitempty"`
	TimeoutMs  int64            `json:"o"`
	// Payload is that of the task's job. It is nil if an earlier row on the
	// connection had it, and payloads still holds it.
	Payload *string `json:"s,omitempty"`
}

func (r *callRow) timeout() time.Duration { return time.Duration(r.TimeoutMs) * time.Millisecond }

// patience is how old the call may be when it arrives.
func (r *callRow) patience() time.Duration {
	return time.Duration(r.TimeoutMs-r.WaitMs) * time.Millisecond
}

func (r *callRow) lease() model.WorkerTime {
	return model.WorkerTime(r.LeaseMs) * model.WorkerTime(time.Millisecond)
}

func (r *callRow) start(epoch int64, payload string) cell.Start {
	return cell.Start{
		Worker: r.Worker, Address: r.Address, Epoch: epoch, Task: r.Task.TaskRef, Run: r.Run, Payload: payload,
		LeaseUntil: r.lease(), Checkpoint: r.Checkpoint, Permit: r.Permit, Timeout: r.timeout(),
	}
}

func (r *callRow) stop(epoch int64) cell.Stop {
	return cell.Stop{Worker: r.Worker, Address: r.Address, Epoch: epoch, Task: r.Task.TaskRef, Run: r.Run, Timeout: r.timeout()}
}

func (r *callRow) renew(epoch int64) cell.Renew {
	return cell.Renew{
		Worker: r.Worker, Address: r.Address, Epoch: epoch, AckedEnd: r.AckedEnd, LeaseUntil: r.lease(),
		Wait: time.Duration(r.WaitMs) * time.Millisecond, Timeout: r.timeout(),
	}
}

// leaseMs returns a time of a worker's clock in whole milliseconds, which is what
// workers are told.
func leaseMs(t model.WorkerTime) int64 { return int64(t) / int64(time.Millisecond) }

func millis(t model.Time) int64 { return int64(t) / int64(time.Millisecond) }

// answerBatch is a message with answers.
type answerBatch struct {
	Answers []answerRow `json:"a"`
}

// answerRow is the answer to one call. All but the verdict belong to renewals.
type answerRow struct {
	Number  uint64       `json:"n"`
	Verdict cell.Verdict `json:"v"`
	Boot    int64        `json:"b,omitempty"`
	ClockNs int64        `json:"c,omitempty"` // of the worker
	Running []runRow     `json:"r,omitempty"`
	Ended   []endRow     `json:"e,omitempty"`
}

type runRow struct {
	Task       taskName `json:"t"`
	Run        int      `json:"r"`
	Checkpoint string   `json:"c,omitempty"`
	Percent    int      `json:"p,omitempty"`
}

type endRow struct {
	Seq        int64        `json:"n"`
	Task       taskName     `json:"t"`
	Run        int          `json:"r"`
	Outcome    jobs.Outcome `json:"o"`
	Checkpoint string       `json:"c,omitempty"`
}

func renewedRow(number uint64, r *cell.Renewed) answerRow {
	a := answerRow{Number: number, Verdict: r.Verdict, Boot: r.Boot, ClockNs: int64(r.Clock)}
	for _, s := range r.Running {
		a.Running = append(a.Running, runRow{Task: taskName{s.Task}, Run: s.Run, Checkpoint: s.Checkpoint, Percent: s.Percent})
	}
	for _, e := range r.Ended {
		a.Ended = append(a.Ended, endRow{Seq: e.Seq, Task: taskName{e.Task}, Run: e.Run, Outcome: e.Outcome, Checkpoint: e.Checkpoint})
	}
	return a
}

func (a *answerRow) renewed(w model.WorkerName) cell.Renewed {
	r := cell.Renewed{Worker: w, Verdict: a.Verdict, Boot: a.Boot, Clock: model.WorkerTime(a.ClockNs)}
	for _, s := range a.Running {
		r.Running = append(r.Running, cell.RunStatus{Task: s.Task.TaskRef, Run: s.Run, Checkpoint: s.Checkpoint, Percent: s.Percent})
	}
	for _, e := range a.Ended {
		r.Ended = append(r.Ended, cell.RunEnd{Seq: e.Seq, Task: e.Task.TaskRef, Run: e.Run, Outcome: e.Outcome, Checkpoint: e.Checkpoint})
	}
	return r
}

// taskName is a task in its short text form, JOB.OCCURRENCE.STEP.INDEX.
type taskName struct{ jobs.TaskRef }

// errTaskName reports a task that can't be read.
var errTaskName = errors.New("not a task")

// MarshalText implements encoding.TextMarshaler.
func (t taskName) MarshalText() ([]byte, error) {
	b := append([]byte(t.Job), '.')
	b = append(strconv.AppendInt(b, int64(t.Occurrence), 10), '.')
	b = append(strconv.AppendInt(b, int64(t.Step), 10), '.')
	return strconv.AppendInt(b, int64(t.Index), 10), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *taskName) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), ".")
	if len(parts) != 4 {
		return errTaskName
	}
	t.Job = jobs.ID(parts[0])
	for i, to := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return errors.CombineErrors(errTaskName, err)
		}
		*to = n
	}
	return nil
}

// payloadBytes bounds the payloads that both ends of a connection remember. It is
// a few times what a burst of jobs needs.
const payloadBytes = 64 << 10

// payloads are the newest payloads that went over a connection. Both ends keep
// them in the order of the rows, so they drop the same ones.
type payloads struct {
	byJob map[jobs.ID]string
	order []jobs.ID // oldest first
	bytes int
}

// put remembers a job's payload. It returns false if it was known already.
func (p *payloads) put(job jobs.ID, payload string) bool {
	if p.byJob == nil {
		p.byJob = map[jobs.ID]string{}
	}
	if old, known := p.byJob[job]; known {
		if old == payload {
			return false
		}
		// Another job under the name of one that was forgotten.
		p.bytes += len(payload) - len(old)
		p.byJob[job] = payload
		return true
	}
	p.byJob[job] = payload
	p.order = append(p.order, job)
	p.bytes += len(payload) + len(job)
	for p.bytes > payloadBytes && len(p.order) > 1 {
		oldest := p.order[0]
		p.bytes -= len(p.byJob[oldest]) + len(oldest)
		delete(p.byJob, oldest)
		p.order = p.order[1:]
	}
	return true
}

// get returns a job's payload.
func (p *payloads) get(job jobs.ID) (string, bool) {
	payload, known := p.byJob[job]
	return payload, known
}
