package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gentianpick/gentianpick/internal/model"
)

// TestBudget guards against a retry storm: when all attempts fail, retries must stay
// within their share of first attempts, and first attempts before the window must
// not count.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := NewBudget(10)
	now := model.Time(0)
	retries := 0
	for range 3000 { // 30 s at 100 attempts/s, three retries requested for each
		now = now.Add(10 * time.Millisecond)
		b.RecordFirstAttempt(now)
		for range 3 {
			if b.AllowRetry(now) {
				retries++
			}
		}
	}
	is.True(retries >= 290 && retries <= 310)
	now = now.Add(time.Minute)
	for i := range 10 {
		is.Equal(b.AllowRetry(now), i < minRetries)
	}
}

// TestBackoff guards against delays without a cap or without jitter.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	is.Equal(Backoff(1, 0.5), 10*time.Millisecond)
	is.Equal(Backoff(3, 0.5), 40*time.Millisecond)
	is.Equal(Backoff(1000, 0.5), 500*time.Millisecond)
	is.Equal(Backoff(5, 0), time.Duration(0))
}
