package core_test

import (
	"slices"
	"testing"
	"time"
)

// TestFaultPairs guards against invariants that hold under each fault alone and fail
// under two: a leaving worker or a drain, together with every other kind of fault. The
// seeds of TestHistories draw few of these pairs.
func TestFaultPairs(t *testing.T) {
	for _, name := range []string{"worker leaving", "drain"} {
		first := slices.IndexFunc(faultKinds, func(f fault) bool { return f.name == name })
		for i, second := range faultKinds {
			if i == first {
				continue
			}
			t.Run(name+" and "+second.name, func(t *testing.T) {
				t.Parallel()
				w := runHistory(0, func(w *world) { // seed 0 schedules no faults
					// The first fault lasts long enough for starts to follow the 5 s in
					// which a leaving worker may still get some.
					w.scheduleFault(faultKinds[first], 5*time.Second, 16*time.Second)
					w.scheduleFault(second, 6*time.Second, 4*time.Second)
					for _, address := range w.instanceKeys {
						w.after(4*time.Second, func() {
							w.burst(w.instances[address], 0, 14*time.Second, w.callers.submitPreviewAt)
						})
					}
				})
				reportViolations(t, w, "")
			})
		}
	}
}

// scheduleFault switches a fault on at a time and off after d.
func (w *world) scheduleFault(f fault, at, d time.Duration) {
	w.after(at, func() {
		w.tracef("fault on: %s", f.name)
		off := f.begin(w)
		w.after(d, func() { w.tracef("fault off: %s", f.name); off() })
	})
}
