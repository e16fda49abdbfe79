package burn

import (
	"sync"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Recorder is a Meter for concurrent use that follows the text in force.
type Recorder struct {
	now   func() model.Time
	mu    sync.Mutex
	meter *Meter
	text  *model.Text
}

// NewRecorder returns a recorder that takes the time from now.
func NewRecorder(now func() model.Time) *Recorder {
	return &Recorder{now: now, meter: NewMeter()}
}

// follow is called with mu held. A text is never changed once it is in force,
// so that its address tells whether it is another one.
func (r *Recorder) follow(t *model.Text) {
	if t != r.text {
		r.meter.SetText(t)
		r.text = t
	}
}

// Answered counts one answer of a service of the text in force.
func (r *Recorder) Answered(text *model.Text, service string, a model.Answer, took time.Duration) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follow(text)
	r.meter.Answered(now, service, a, took)
}

// Report returns the burn of every service of the text in force.
func (r *Recorder) Report(text *model.Text) Report {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follow(text)
	return r.meter.Report(now, text)
}
