package core_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/standin"
)

// textFormat is the published service text; its name tells versions apart.
const textFormat = `{
	"name": %q, "data_centres": ["tartu", "voru"],
	"teams": [{"name": "demo", "quota": {}}],
	"worker_shapes": [{"milli_cpu": 4000, "memory_mb": 8192, "slots": 4, "connections": 64}],
	"services": [
		{"name": "store", "team": "demo", "class": "service", "instances": 2,
			"resources": {"milli_cpu": 300, "memory_mb": 256}},
		{"name": "leader", "team": "demo", "class": "service", "instances": 1, "singleton": true, "data_centres": ["voru"],
			"resources": {"milli_cpu": 300, "memory_mb": 256}},
		{"name": "preview", "team": "demo", "class": "interactive", "idempotent": true, "deadline": "2s",
			"resources": {"milli_cpu": 500, "memory_mb": 256}},
		{"name": "booking", "team": "demo", "class": "interactive", "idempotent": false, "deadline": "4s",
			"depends_on": ["store"], "on_dependency_down": "degrade",
			"resources": {"milli_cpu": 500, "memory_mb": 256}},
		{"name": "plan", "team": "demo", "class": "batch", "idempotent": true, "deadline": "1h", "max_attempts": 10,
			"resources": {"milli_cpu": 1500, "memory_mb": 1024}},
		{"name": "simulate", "team": "demo", "class": "gang", "idempotent": true, "deadline": "1h", "max_attempts": 10,
			"resources": {"milli_cpu": 1200, "memory_mb": 1024}}
	]
}`

// attempt is one call of a caller.
type attempt struct {
	id      model.RequestID
	in      *instance
	kind    message.ForwardKind
	sub     model.Submission
	job     model.JobID
	begin   time.Duration
	end     time.Duration
	answer  *model.Answer
	answers int
	lost    bool // the instance died first
	then    func(*attempt)
}

// open reports whether the caller still waits.
func (a *attempt) open() bool { return a.answers == 0 && !a.lost }

// job is a batch or gang job that was accepted.
type job struct {
	id     model.JobID
	result string
	tasks  int
	end    *model.Answer
}

// publish is one publisher's operation, its repetitions included.
type publish struct {
	id         string
	base       uint64
	begin, end time.Duration
	answer     *core.PublishAnswer // nil: not known
}

// callers is the history of everything that was asked.
type callers struct {
	w         *world
	n         int
	all       []*attempt
	byID      map[model.RequestID]*attempt
	jobs      []*job
	cancelled map[model.JobID]bool
	publishes []*publish
	waiting   map[model.RequestID]func(*core.PublishAnswer)
	at        map[model.RequestID]*instance
	texts     []core.ActiveText
	status    map[model.Incarnation]core.StatusReport
}

func (c *callers) init(w *world) {
	*c = callers{
		w: w, byID: map[model.RequestID]*attempt{}, waiting: map[model.RequestID]func(*core.PublishAnswer){},
		at: map[model.RequestID]*instance{}, status: map[model.Incarnation]core.StatusReport{},
		cancelled: map[model.JobID]bool{},
	}
	w.after(publishAt, func() { c.publish(0, "text-0") })
	for t := faultsFrom / 2; t < callsUntil; t += 250 * time.Millisecond {
		w.after(t, func() {
			switch p := w.rng.Float64(); {
			case p < 0.45:
				c.booking()
			case p < 0.75:
				c.preview()
			case p < 0.87:
				c.batch("plan", 2+w.rng.IntN(8))
			case p < 0.92:
				c.batch("simulate", 2+w.rng.IntN(3))
			default:
				c.publishSome()
			}
		})
	}
}

// any returns an instance that takes calls, or nil.
func (c *callers) any() *instance {
	in := c.w.insts[c.w.order[c.w.rng.IntN(len(c.w.order))]]
	if in.dead || in.exited {
		return nil
	}
	return in
}

// body is a task's plan; its result is unique.
func (c *callers) body(lo, hi time.Duration) (body []byte, result string) {
	c.n++
	ms := c.w.between(lo, hi).Milliseconds()
	result = fmt.Sprintf("result-%d", c.n)
	body, _ = json.Marshal(standin.Plan{RunMS: &ms, Result: result})
	return body, result
}

// call makes one call through any instance; a caller whose instance is down
// tries again elsewhere.
func (c *callers) call(kind message.ForwardKind, sub model.Submission, id model.JobID, wait time.Duration, then func(*attempt)) {
	in := c.any()
	if in == nil {
		c.w.after(100*time.Millisecond, func() { c.call(kind, sub, id, wait, then) })
		return
	}
	c.callAt(in, kind, sub, id, wait, then)
}

// callAt makes one call through the given instance.
func (c *callers) callAt(in *instance, kind message.ForwardKind, sub model.Submission, id model.JobID, wait time.Duration, then func(*attempt)) {
	c.n++
	a := &attempt{
		id: model.RequestID(fmt.Sprintf("r%d", c.n)), in: in, kind: kind, sub: sub, job: id, begin: c.w.now(), then: then,
	}
	c.all = append(c.all, a)
	c.byID[a.id] = a
	in.deliver(core.Event{Call: &core.Call{
		Request: a.id, Kind: kind, Submission: sub, Job: id, Wait: wait, Wall: c.w.wall(),
	}})
}

func (c *callers) answered(in *instance, e *core.Answer) {
	a := c.byID[e.Request]
	if a == nil || a.in != in {
		c.w.note("answer to nobody: %s", e.Request)
		return
	}
	a.answers++
	if a.answers > 1 {
		return
	}
	ans := e.Answer
	a.answer, a.end = &ans, c.w.now()
	c.w.after(0, func() { a.then(a) })
}

// gone ends the calls at an instance that died.
func (c *callers) gone(in *instance) {
	for _, a := range c.all {
		if a.in == in && a.open() {
			a.lost, a.end = true, c.w.now()
			c.w.after(0, func() { a.then(a) })
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.at)) {
		if c.at[id] == in {
			delete(c.at, id)
			then := c.waiting[id]
			c.w.after(0, func() { then(nil) })
		}
	}
}

// booking submits a non-idempotent request until it has an end, at times by
// two callers at once or with another body.
func (c *callers) booking() { c.bookingFor(nil) }

// bookingFor is booking with its first call at one instance, if it is given.
func (c *callers) bookingFor(first *instance) {
	c.n++
	key := model.Key(fmt.Sprintf("key-%d", c.n))
	body, _ := c.body(5*time.Millisecond, 900*time.Millisecond)
	other, _ := c.body(5*time.Millisecond, 50*time.Millisecond)
	tries := 0
	var try func()
	try = func() {
		sub := model.Submission{Service: "booking", Key: key, Body: body}
		if tries > 0 && c.w.chance(0.1) {
			sub.Body = other
		}
		tries++
		then := func(a *attempt) {
			ended := a.answer != nil && (a.answer.Outcome == model.OutcomeDone || a.answer.Outcome == model.OutcomeFailed)
			if (!ended || c.w.chance(0.2)) && tries < 25 && c.w.now() < retriesUntil {
				c.w.after(c.w.between(time.Millisecond, time.Second), try)
			}
		}
		if tries == 1 && first != nil && !first.dead && !first.exited {
			c.callAt(first, message.ForwardRequest, sub, "", 0, then)
			return
		}
		c.call(message.ForwardRequest, sub, "", 0, then)
	}
	try()
	if c.w.chance(0.2) {
		c.w.after(c.w.between(0, 20*time.Millisecond)+1, try)
	}
	// Asked again when everything has settled.
	c.w.after(historyEnd-10*time.Second-c.w.now(), try)
}

func (c *callers) preview() {
	body, _ := c.body(5*time.Millisecond, 200*time.Millisecond)
	c.call(message.ForwardRequest, model.Submission{Service: "preview", Body: body}, "", 0, func(*attempt) {})
}

// previewAt submits an idempotent request through one instance.
func (c *callers) previewAt(in *instance) {
	body, _ := c.body(50*time.Millisecond, 400*time.Millisecond)
	c.callAt(in, message.ForwardRequest, model.Submission{Service: "preview", Body: body}, "", 0, func(*attempt) {})
}

// batch submits a job and asks for it until it has ended.
func (c *callers) batch(service string, tasks int) {
	body, result := c.body(50*time.Millisecond, 1500*time.Millisecond)
	sub := model.Submission{Service: service, Body: body, Tasks: tasks}
	if c.w.chance(0.5) {
		c.n++
		sub.Key = model.Key(fmt.Sprintf("job-%d", c.n))
	}
	var submit func()
	submit = func() {
		c.call(message.ForwardJob, sub, "", 0, func(a *attempt) {
			switch {
			case a.answer != nil && (a.answer.Outcome == model.OutcomeAccepted || a.answer.Outcome == model.OutcomeRunning):
				j := &job{id: a.answer.Job, result: result, tasks: tasks}
				c.jobs = append(c.jobs, j)
				c.poll(j)
			case a.answer != nil && a.answer.Outcome == model.OutcomeDone:
				c.jobs = append(c.jobs, &job{id: a.answer.Job, result: result, tasks: tasks, end: a.answer})
			case sub.Key != "" && c.w.now() < callsUntil:
				c.w.after(c.w.between(time.Millisecond, time.Second), submit)
			}
		})
	}
	submit()
}

func (c *callers) poll(j *job) {
	c.call(message.ForwardQuery, model.Submission{}, j.id, time.Second, func(a *attempt) {
		if a.answer != nil && a.answer.Outcome.Final() {
			j.end = a.answer
			return
		}
		if c.w.now() < historyEnd-10*time.Second {
			c.w.after(c.w.between(10*time.Millisecond, time.Second), func() { c.poll(j) })
		}
	})
}

// cancelSome cancels most of the jobs that have not ended.
func (c *callers) cancelSome() {
	for _, j := range c.jobs {
		if j.end == nil && c.w.chance(0.8) {
			c.cancelled[j.id] = true // a key's job may have two callers
			c.call(message.ForwardCancel, model.Submission{}, j.id, 0, func(*attempt) {})
		}
	}
}

// publishSome publishes on top of what some instance has in force, at times
// against another publisher.
func (c *callers) publishSome() {
	for range 1 + c.w.rng.IntN(2) {
		if in := c.any(); in != nil && len(in.versions) > 0 {
			c.n++
			c.publish(in.versions[len(in.versions)-1], fmt.Sprintf("text-%d", c.n))
		}
	}
}

// publish repeats a publish, with the same id, until its result is known.
func (c *callers) publish(base uint64, id string) {
	p := &publish{id: id, base: base, begin: c.w.now()}
	c.publishes = append(c.publishes, p)
	tries := 0
	var try func()
	try = func() {
		in := c.any()
		tries++
		if in == nil || in.paused > c.w.now() {
			c.w.after(200*time.Millisecond, try)
			return
		}
		c.n++
		req := model.RequestID(fmt.Sprintf("r%d", c.n))
		c.at[req] = in
		c.waiting[req] = func(a *core.PublishAnswer) {
			if a != nil && (a.Accepted || a.Code == model.CodeVersionConflict) {
				p.answer, p.end = a, c.w.now()
				return
			}
			if tries < 40 {
				c.w.after(c.w.between(10*time.Millisecond, 500*time.Millisecond), try)
			}
		}
		in.deliver(core.Event{Publish: &core.Publish{
			Request: req, ID: id, Base: base, Text: fmt.Appendf(nil, textFormat, id),
		}})
	}
	try()
}

func (c *callers) published(in *instance, e *core.PublishAnswer) {
	then := c.waiting[e.Request]
	if then == nil || c.at[e.Request] != in {
		c.w.note("publish answer to nobody: %s", e.Request)
		return
	}
	delete(c.at, e.Request)
	delete(c.waiting, e.Request)
	c.w.after(0, func() { then(e) })
}
