package burn

import (
	"sync"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Recorder is a Meter for concurrent use that always counts by the current text.
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

// updateText passes t to the meter if it differs from the last text. A text is
// immutable once it is current, so comparing the pointers is enough. The caller
// holds mu.
func (r *Recorder) updateText(t *model.Text) {
	if t != r.text {
		r.meter.SetText(t)
		r.text = t
	}
}

// Answered counts one answer of a service of the current text.
func (r *Recorder) Answered(text *model.Text, service string, a model.Answer, took time.Duration) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateText(text)
	r.meter.Answered(now, service, a, took)
}

// Report returns the burn rates of every service of the current text.
func (r *Recorder) Report(text *model.Text) Report {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateText(text)
	return r.meter.Report(now, text)
}
