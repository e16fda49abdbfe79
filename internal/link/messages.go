package link

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gentianpick/gentianpick/internal/cell"
	"github.com/gentianpick/gentianpick/internal/jobs"
	"github.com/gentianpick/gentianpick/internal/listing"
	"github.com/gentianpick/gentianpick/internal/model"
)

// Kinds of calls to workers.
const (
	kindStart = iota
	kindStop
	kindRenew
)

// callBatch is a message with calls for the receiver to execute. The field names of
// calls and replies are short because narrow links carry hundreds of them per second.
type callBatch struct {
	Epoch  int64         `json:"e"`
	SentMs int64         `json:"s"` // sender's clock, in milliseconds
	Calls  []callRequest `json:"c"`
}

// callRequest is one call to a worker. The callReply with the same ID answers it.
type callRequest struct {
	ID         uint64           `json:"n"`
	Kind       int              `json:"k,omitempty"`
	Worker     model.WorkerName `json:"w"`
	Address    string           `json:"a"`
	Task       taskRef          `json:"t,omitzero"`
	Run        int              `json:"r,omitempty"`
	LeaseMs    int64            `json:"l,omitempty"` // end of the lease on the worker's clock
	Checkpoint string           `json:"c,omitempty"`
	Permit     string           `json:"p,omitempty"`
	AckedEnd   int64            `json:"e,omitempty"`
	WaitMs     int64            `json:"h,omitempty"`
	TimeoutMs  int64            `json:"o"`
	// Payload is the payload of the task's job. It is nil if an earlier call on the
	// connection carried it and the receiver's payloadCache still holds it.
	Payload *string `json:"s,omitempty"`
}

func (r *callRequest) timeout() time.Duration { return time.Duration(r.TimeoutMs) * time.Millisecond }

// deliveryTimeout returns the maximum age of the call on arrival. It is the part of
// the timeout that the worker doesn't need for a long poll.
func (r *callRequest) deliveryTimeout() time.Duration {
	return time.Duration(r.TimeoutMs-r.WaitMs) * time.Millisecond
}

func (r *callRequest) lease() model.WorkerTime {
	return model.WorkerTime(r.LeaseMs) * model.WorkerTime(time.Millisecond)
}

func (r *callRequest) start(epoch int64, payload string) cell.Start {
	return cell.Start{
		Worker: r.Worker, Address: r.Address, Epoch: epoch, Task: r.Task.TaskRef, Run: r.Run, Payload: payload,
		LeaseUntil: r.lease(), Checkpoint: r.Checkpoint, Permit: r.Permit, Timeout: r.timeout(),
	}
}

func (r *callRequest) stop(epoch int64) cell.Stop {
	return cell.Stop{Worker: r.Worker, Address: r.Address, Epoch: epoch, Task: r.Task.TaskRef, Run: r.Run, Timeout: r.timeout()}
}

func (r *callRequest) renew(epoch int64) cell.Renew {
	return cell.Renew{
		Worker: r.Worker, Address: r.Address, Epoch: epoch, AckedEnd: r.AckedEnd, LeaseUntil: r.lease(),
		Wait: time.Duration(r.WaitMs) * time.Millisecond, Timeout: r.timeout(),
	}
}

// leaseMs returns a time of a worker's clock in whole milliseconds, the resolution of
// the worker protocol.
func leaseMs(t model.WorkerTime) int64 { return int64(t) / int64(time.Millisecond) }

func millis(t model.Time) int64 { return int64(t) / int64(time.Millisecond) }

// replyBatch is a message with replies to calls.
type replyBatch struct {
	Replies []callReply `json:"a"`
}

// callReply answers one callRequest. Only renewals use the fields after Verdict.
type callReply struct {
	ID      uint64       `json:"n"`
	Verdict cell.Verdict `json:"v"`
	Boot    int64        `json:"b,omitempty"`
	ClockNs int64        `json:"c,omitempty"` // worker's clock
	Running []runStatus  `json:"r,omitempty"`
	Ended   []runEnd     `json:"e,omitempty"`
	// MoreEnds means that the worker may have ended runs beyond those in Ended.
	MoreEnds bool `json:"m,omitempty"`
}

type runStatus struct {
	Task       taskRef `json:"t"`
	Run        int     `json:"r"`
	Checkpoint string  `json:"c,omitempty"`
	Percent    int     `json:"p,omitempty"`
}

type runEnd struct {
	Seq        int64        `json:"n"`
	Task       taskRef      `json:"t"`
	Run        int          `json:"r"`
	Outcome    jobs.Outcome `json:"o"`
	Checkpoint string       `json:"c,omitempty"`
}

func newRenewReply(id uint64, r *cell.Renewed) callReply {
	reply := callReply{ID: id, Verdict: r.Verdict, Boot: r.Boot, ClockNs: int64(r.Clock)}
	for _, s := range r.Running {
		reply.Running = append(reply.Running, runStatus{Task: taskRef{s.Task}, Run: s.Run, Checkpoint: s.Checkpoint, Percent: s.Percent})
	}
	reply.MoreEnds = !r.Ended.IsWhole()
	for _, e := range r.Ended.Entries() {
		reply.Ended = append(reply.Ended, runEnd{Seq: e.Seq, Task: taskRef{e.Task}, Run: e.Run, Outcome: e.Outcome, Checkpoint: e.Checkpoint})
	}
	return reply
}

func (reply *callReply) renewed(w model.WorkerName) cell.Renewed {
	r := cell.Renewed{Worker: w, Verdict: reply.Verdict, Boot: reply.Boot, Clock: model.WorkerTime(reply.ClockNs)}
	for _, s := range reply.Running {
		r.Running = append(r.Running, cell.RunStatus{Task: s.Task.TaskRef, Run: s.Run, Checkpoint: s.Checkpoint, Percent: s.Percent})
	}
	ends := make([]cell.RunEnd, 0, len(reply.Ended))
	for _, e := range reply.Ended {
		ends = append(ends, cell.RunEnd{Seq: e.Seq, Task: e.Task.TaskRef, Run: e.Run, Outcome: e.Outcome, Checkpoint: e.Checkpoint})
	}
	if r.Ended = listing.Whole(ends...); reply.MoreEnds {
		r.Ended = listing.Part(ends...)
	}
	return r
}

// taskRef is a jobs.TaskRef that is encoded as JOB.OCCURRENCE.STEP.INDEX.
type taskRef struct{ jobs.TaskRef }

// errInvalidTaskRef reports a text that is not an encoded taskRef.
var errInvalidTaskRef = errors.New("invalid task reference")

// MarshalText implements encoding.TextMarshaler.
func (t taskRef) MarshalText() ([]byte, error) {
	b := append([]byte(t.Job), '.')
	b = append(strconv.AppendInt(b, int64(t.Occurrence), 10), '.')
	b = append(strconv.AppendInt(b, int64(t.Step), 10), '.')
	return strconv.AppendInt(b, int64(t.Index), 10), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *taskRef) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), ".")
	if len(parts) != 4 {
		return errInvalidTaskRef
	}
	t.Job = jobs.ID(parts[0])
	for i, field := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return errors.CombineErrors(errInvalidTaskRef, err)
		}
		if n < 0 {
			return errInvalidTaskRef
		}
		*field = n
	}
	return nil
}

// maxCachedPayloadBytes bounds the payloads that each end of a connection caches. It
// is a few times the size of the payloads in a burst of jobs.
const maxCachedPayloadBytes = 64 << 10

// payloadCache holds the newest payloads sent over a connection, so that the calls of
// one job carry its payload once. Both ends update their caches in the order of the
// calls, and so evict the same payloads.
type payloadCache struct {
	byJob map[jobs.ID]string
	order []jobs.ID // oldest first
	bytes int
}

// put adds a job's payload and evicts the oldest ones above the size limit. It returns
// false if the cache held the same payload already.
func (p *payloadCache) put(job jobs.ID, payload string) bool {
	if p.byJob == nil {
		p.byJob = map[jobs.ID]string{}
	}
	if old, known := p.byJob[job]; known {
		if old == payload {
			return false
		}
		// A new job has the ID of one that has been deleted.
		p.bytes += len(payload) - len(old)
		p.byJob[job] = payload
		return true
	}
	p.byJob[job] = payload
	p.order = append(p.order, job)
	p.bytes += len(payload) + len(job)
	for p.bytes > maxCachedPayloadBytes && len(p.order) > 1 {
		oldest := p.order[0]
		p.bytes -= len(p.byJob[oldest]) + len(oldest)
		delete(p.byJob, oldest)
		p.order = p.order[1:]
	}
	return true
}

// get returns a job's payload, and whether the cache holds it.
func (p *payloadCache) get(job jobs.ID) (string, bool) {
	payload, known := p.byJob[job]
	return payload, known
}
