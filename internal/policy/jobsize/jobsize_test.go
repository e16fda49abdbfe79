package jobsize

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// Guards against ranks that do not divide a queue's jobs evenly, or that follow jobs of
// long ago: the share in time of the largest tenth would be that of other jobs.
func TestRanksDivideRecentJobsEvenly(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	var tr Tracker
	for range 3 * window {
		is.Equal(tr.Add(1e9), Tenths/2+1) // all of one size
	}
	for range window {
		tr.Add(r.ExpFloat64())
	}
	var counts [Tenths + 1]int
	const jobs = 20 * window
	for range jobs {
		counts[tr.Add(r.ExpFloat64())]++
	}
	for tenth, n := range counts[1:] {
		is.True(n > jobs/Tenths*8/10 && n < jobs/Tenths*12/10)
		t.Logf("tenth %d: %d of %d", tenth+1, n, jobs)
	}
	is.Equal(tr.Add(1e9), Tenths)
	is.Equal(tr.Add(-1), 1)
	is.Equal(len(tr.sorted), window)
}

// Guards against a rank out of range for the first jobs of a queue.
func TestFirstJobsHaveRanks(t *testing.T) {
	is := is.New(t)
	var tr Tracker
	for i := range 30 {
		rank := tr.Add(float64(i))
		is.True(rank >= 1 && rank <= Tenths)
	}
}
