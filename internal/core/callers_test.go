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

// serviceTextFormat is the published service text; its name distinguishes versions.
const serviceTextFormat = `{
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

// apiCall is one call by an API caller, with its answer.
type apiCall struct {
	id          model.RequestID
	instance    *instance
	kind        message.ForwardKind
	sub         model.Submission
	jobID       model.JobID
	begin       time.Duration
	end         time.Duration
	answer      *model.Answer
	answerCount int
	lost        bool // the instance stopped before it answered
	onEnd       func(*apiCall)
}

// pending reports whether the caller still waits for an answer.
func (a *apiCall) pending() bool { return a.answerCount == 0 && !a.lost }

// acceptedJob is a batch or gang job that was accepted.
type acceptedJob struct {
	id     model.JobID
	result string
	tasks  int
	final  *model.Answer // nil: not ended
}

// publishOperation is one publisher's operation, its retries included.
type publishOperation struct {
	id         string
	base       uint64
	begin, end time.Duration
	answer     *core.PublishAnswer // nil: unknown
}

// callers makes the API calls of a history and records them with their answers.
type callers struct {
	w                *world
	lastID           int
	calls            []*apiCall
	byID             map[model.RequestID]*apiCall
	jobs             []*acceptedJob
	cancelled        map[model.JobID]bool
	publishes        []*publishOperation
	publishHandlers  map[model.RequestID]func(*core.PublishAnswer)
	publishInstances map[model.RequestID]*instance
	textsInForce     []core.ActiveText
	statusReports    map[model.Incarnation]core.StatusReport
}

func (c *callers) init(w *world) {
	*c = callers{
		w: w, byID: map[model.RequestID]*apiCall{}, publishHandlers: map[model.RequestID]func(*core.PublishAnswer){},
		publishInstances: map[model.RequestID]*instance{}, statusReports: map[model.Incarnation]core.StatusReport{},
		cancelled: map[model.JobID]bool{},
	}
	w.after(publishAt, func() { c.publish(0, "text-0") })
	for t := faultsFrom / 2; t < callsUntil; t += 250 * time.Millisecond {
		w.after(t, func() {
			switch p := w.rng.Float64(); {
			case p < 0.45:
				c.submitBooking()
			case p < 0.75:
				c.submitPreview()
			case p < 0.87:
				c.submitJob("plan", 2+w.rng.IntN(8))
			case p < 0.92:
				c.submitJob("simulate", 2+w.rng.IntN(3))
			default:
				c.publishNewTexts()
			}
		})
	}
}

// randomInstance returns a random instance, or nil if that one is not running.
func (c *callers) randomInstance() *instance {
	in := c.w.instances[c.w.instanceKeys[c.w.rng.IntN(len(c.w.instanceKeys))]]
	if in.dead || in.exited {
		return nil
	}
	return in
}

// newBody returns a task's plan with a unique result.
func (c *callers) newBody(lo, hi time.Duration) (body []byte, result string) {
	c.lastID++
	ms := c.w.uniform(lo, hi).Milliseconds()
	result = fmt.Sprintf("result-%d", c.lastID)
	body, _ = json.Marshal(standin.Plan{RunMS: &ms, Result: result})
	return body, result
}

// call makes one call through a random instance. If that is down, the caller tries
// another one after 100 ms.
func (c *callers) call(kind message.ForwardKind, sub model.Submission, id model.JobID, wait time.Duration, then func(*apiCall)) {
	in := c.randomInstance()
	if in == nil {
		c.w.after(100*time.Millisecond, func() { c.call(kind, sub, id, wait, then) })
		return
	}
	c.callAt(in, kind, sub, id, wait, then)
}

// callAt makes one call through the given instance.
func (c *callers) callAt(in *instance, kind message.ForwardKind, sub model.Submission, id model.JobID, wait time.Duration, then func(*apiCall)) {
	c.lastID++
	a := &apiCall{
		id: model.RequestID(fmt.Sprintf("r%d", c.lastID)), instance: in, kind: kind, sub: sub, jobID: id, begin: c.w.now(), onEnd: then,
	}
	c.calls = append(c.calls, a)
	c.byID[a.id] = a
	in.deliver(core.Event{Call: &core.Call{
		Request: a.id, Kind: kind, Submission: sub, Job: id, Wait: wait, Wall: c.w.wall(),
	}})
}

func (c *callers) handleAnswer(in *instance, e *core.Answer) {
	a := c.byID[e.Request]
	if a == nil || a.instance != in {
		c.w.tracef("answer to an unknown request: %s", e.Request)
		return
	}
	a.answerCount++
	if a.answerCount > 1 {
		return
	}
	ans := e.Answer
	a.answer, a.end = &ans, c.w.now()
	c.w.after(0, func() { a.onEnd(a) })
}

// instanceStopped ends the calls that are pending at an instance that stopped.
func (c *callers) instanceStopped(in *instance) {
	for _, a := range c.calls {
		if a.instance == in && a.pending() {
			a.lost, a.end = true, c.w.now()
			c.w.after(0, func() { a.onEnd(a) })
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.publishInstances)) {
		if c.publishInstances[id] == in {
			delete(c.publishInstances, id)
			then := c.publishHandlers[id]
			c.w.after(0, func() { then(nil) })
		}
	}
}

// submitBooking submits a non-idempotent request and retries it until it has ended, at
// times from two callers at once or with another body.
func (c *callers) submitBooking() { c.submitBookingAt(nil) }

// submitBookingAt is submitBooking with its first call through the given instance, if
// that is not nil.
func (c *callers) submitBookingAt(first *instance) {
	c.lastID++
	key := model.Key(fmt.Sprintf("key-%d", c.lastID))
	body, _ := c.newBody(5*time.Millisecond, 900*time.Millisecond)
	other, _ := c.newBody(5*time.Millisecond, 50*time.Millisecond)
	tries := 0
	var try func()
	try = func() {
		sub := model.Submission{Service: "booking", Key: key, Body: body}
		if tries > 0 && c.w.chance(0.1) {
			sub.Body = other
		}
		tries++
		then := func(a *apiCall) {
			ended := a.answer != nil && (a.answer.Outcome == model.OutcomeDone || a.answer.Outcome == model.OutcomeFailed)
			if (!ended || c.w.chance(0.2)) && tries < 25 && c.w.now() < retriesUntil {
				c.w.after(c.w.uniform(time.Millisecond, time.Second), try)
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
		c.w.after(c.w.uniform(0, 20*time.Millisecond)+1, try)
	}
	// Submit it once more after all faults have ended.
	c.w.after(historyEnd-10*time.Second-c.w.now(), try)
}

func (c *callers) submitPreview() {
	body, _ := c.newBody(5*time.Millisecond, 200*time.Millisecond)
	c.call(message.ForwardRequest, model.Submission{Service: "preview", Body: body}, "", 0, func(*apiCall) {})
}

// submitPreviewAt submits an idempotent request through the given instance.
func (c *callers) submitPreviewAt(in *instance) {
	body, _ := c.newBody(50*time.Millisecond, 400*time.Millisecond)
	c.callAt(in, message.ForwardRequest, model.Submission{Service: "preview", Body: body}, "", 0, func(*apiCall) {})
}

// submitJob submits a job and polls it until it has ended.
func (c *callers) submitJob(service string, tasks int) {
	body, result := c.newBody(50*time.Millisecond, 1500*time.Millisecond)
	sub := model.Submission{Service: service, Body: body, Tasks: tasks}
	if c.w.chance(0.5) {
		c.lastID++
		sub.Key = model.Key(fmt.Sprintf("job-%d", c.lastID))
	}
	var submit func()
	submit = func() {
		c.call(message.ForwardJob, sub, "", 0, func(a *apiCall) {
			switch {
			case a.answer != nil && (a.answer.Outcome == model.OutcomeAccepted || a.answer.Outcome == model.OutcomeRunning):
				j := &acceptedJob{id: a.answer.Job, result: result, tasks: tasks}
				c.jobs = append(c.jobs, j)
				c.pollJob(j)
			case a.answer != nil && a.answer.Outcome == model.OutcomeDone:
				c.jobs = append(c.jobs, &acceptedJob{id: a.answer.Job, result: result, tasks: tasks, final: a.answer})
			case sub.Key != "" && c.w.now() < callsUntil:
				c.w.after(c.w.uniform(time.Millisecond, time.Second), submit)
			}
		})
	}
	submit()
}

func (c *callers) pollJob(j *acceptedJob) {
	c.call(message.ForwardQuery, model.Submission{}, j.id, time.Second, func(a *apiCall) {
		if a.answer != nil && a.answer.Outcome.Final() {
			j.final = a.answer
			return
		}
		if c.w.now() < historyEnd-10*time.Second {
			c.w.after(c.w.uniform(10*time.Millisecond, time.Second), func() { c.pollJob(j) })
		}
	})
}

// cancelJobs cancels each job that has not ended with a probability of 0.8.
func (c *callers) cancelJobs() {
	for _, j := range c.jobs {
		if j.final == nil && c.w.chance(0.8) {
			c.cancelled[j.id] = true // two callers may poll the same key's job
			c.call(message.ForwardCancel, model.Submission{}, j.id, 0, func(*apiCall) {})
		}
	}
}

// publishNewTexts publishes one or two texts, each based on the version in force at a
// random instance, so that publishers may conflict.
func (c *callers) publishNewTexts() {
	for range 1 + c.w.rng.IntN(2) {
		if in := c.randomInstance(); in != nil && len(in.textVersions) > 0 {
			c.lastID++
			c.publish(in.textVersions[len(in.textVersions)-1], fmt.Sprintf("text-%d", c.lastID))
		}
	}
}

// publish retries a publish with the same ID until its result is known.
func (c *callers) publish(base uint64, id string) {
	p := &publishOperation{id: id, base: base, begin: c.w.now()}
	c.publishes = append(c.publishes, p)
	tries := 0
	var try func()
	try = func() {
		in := c.randomInstance()
		tries++
		if in == nil || in.pausedUntil > c.w.now() {
			c.w.after(200*time.Millisecond, try)
			return
		}
		c.lastID++
		req := model.RequestID(fmt.Sprintf("r%d", c.lastID))
		c.publishInstances[req] = in
		c.publishHandlers[req] = func(a *core.PublishAnswer) {
			if a != nil && (a.Accepted || a.Code == model.CodeVersionConflict) {
				p.answer, p.end = a, c.w.now()
				return
			}
			if tries < 40 {
				c.w.after(c.w.uniform(10*time.Millisecond, 500*time.Millisecond), try)
			}
		}
		in.deliver(core.Event{Publish: &core.Publish{
			Request: req, ID: id, Base: base, Text: fmt.Appendf(nil, serviceTextFormat, id),
		}})
	}
	try()
}

func (c *callers) handlePublishAnswer(in *instance, e *core.PublishAnswer) {
	then := c.publishHandlers[e.Request]
	if then == nil || c.publishInstances[e.Request] != in {
		c.w.tracef("publish answer to an unknown request: %s", e.Request)
		return
	}
	delete(c.publishInstances, e.Request)
	delete(c.publishHandlers, e.Request)
	c.w.after(0, func() { then(e) })
}
