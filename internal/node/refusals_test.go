package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

// An overloaded owner spent its processor on refusing hundreds of submissions a
// second that other instances had brought it.
func TestRefusalsAreRemembered(t *testing.T) {
	is := is.New(t)
	var r refusals
	now := model.Time(time.Hour)
	refused, _ := r.refused(now, "q")
	is.True(!refused)
	r.note(now, "q", 4*time.Second)
	refused, after := r.refused(now.Add(time.Second), "q")
	is.True(refused)
	is.Equal(after, time.Second)
	refused, _ = r.refused(now.Add(time.Second), "other")
	is.True(!refused)
	refused, _ = r.refused(now.Add(2*time.Second), "q")
	is.True(!refused) // the owner is asked again before callers come back
}
