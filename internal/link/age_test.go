package link

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

// The calls that an owner sent right after a hello came before any reading of its
// clock, and passed for new however long they had waited.
func TestAgeIsUnboundedWithoutAReading(t *testing.T) {
	is := is.New(t)
	var b clockBound
	is.True(b.of(millis(model.Time(time.Hour)), model.Time(time.Minute)) > writeTimeout)
}
