package link

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Guards against stale calls that are accepted right after the connection is
// established, before the first reading of the owner's clock: without a reading, a
// call may be arbitrarily old.
func TestAgeIsUnboundedWithoutClockReading(t *testing.T) {
	is := is.New(t)
	var age ageBound
	is.True(age.maxAge(millis(model.Time(time.Hour)), model.Time(time.Minute)) > writeTimeout)
}
