package load

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Result is what one run found. Latencies count from the intended time.
type Result struct {
	Profile        string               `json:"profile"`
	Seed           int64                `json:"seed"`
	Started        time.Time            `json:"started"`
	TookSeconds    float64              `json:"took_seconds"` // first phase to the last end
	WarmupSeconds  float64              `json:"warmup_seconds"`
	Rows           []Row                `json:"rows"`
	PlacementWaits map[string]Quantiles `json:"placement_waits"` // by class, as the owners measured
	Series         map[string][]Second  `json:"series"`          // by service
	Counters       []map[string]float64 `json:"counters"`        // by server, growth in the run
}

// Row counts the arrivals of one operation. Stragglers and jobs queued before
// the first phase have rows of their own.
type Row struct {
	Service       string                  `json:"service"`
	Operation     string                  `json:"operation,omitempty"`
	Straggler     bool                    `json:"straggler,omitempty"`
	Queued        bool                    `json:"queued,omitempty"`
	Planned       int64                   `json:"planned"`
	Dropped       int64                   `json:"dropped"` // not sent, above the bound on open calls
	Unanswered    int64                   `json:"unanswered"`
	Outcomes      map[model.Outcome]int64 `json:"outcomes"`
	Codes         map[string]int64        `json:"codes,omitempty"`
	InTime        int64                   `json:"in_time"` // done within the deadline
	Late          int64                   `json:"late"`    // done after it
	Latency       Quantiles               `json:"latency"` // of what was done
	Wait          Quantiles               `json:"wait"`    // latency less the planned run time
	AcceptLatency Quantiles               `json:"accept"`  // of jobs
}

// InTimeShare returns the part of the planned arrivals that were done in time.
func (r Row) InTimeShare() float64 { return float64(r.InTime) / float64(max(r.Planned, 1)) }

// Second is one second of a service's series, by intended time.
type Second struct {
	OffsetSeconds int     `json:"at"` // since the first phase's start
	Planned       int64   `json:"planned"`
	Answered      int64   `json:"answered"`
	InTime        int64   `json:"in_time"`
	P50MS         float64 `json:"p50_ms"`
	P99MS         float64 `json:"p99_ms"`
}

func (r *Runner) result(start time.Time, took time.Duration, before, after []sample) *Result {
	s := r.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	res := &Result{
		Profile: r.profile.Name, Seed: r.profile.Seed, Started: start.UTC().Truncate(time.Second),
		TookSeconds: took.Seconds(), WarmupSeconds: r.profile.Warmup.Seconds(),
		PlacementWaits: placementWaits(before, after), Series: map[string][]Second{},
	}
	for i := range after {
		res.Counters = append(res.Counters, growth(before[i], after[i]))
	}
	for k, w := range s.rows {
		res.Rows = append(res.Rows, Row{
			Service: k.service, Operation: k.operation, Straggler: k.straggler, Queued: k.queued,
			Planned: w.planned, Dropped: w.dropped, Unanswered: w.unanswered, Outcomes: w.outcomes, Codes: w.codes,
			InTime: w.inTime, Late: w.late,
			Latency: w.latency.quantiles(), Wait: w.wait.quantiles(), AcceptLatency: w.accept.quantiles(),
		})
	}
	slices.SortFunc(res.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Operation, b.Operation),
			cmp.Compare(flag(a.Queued), flag(b.Queued)), cmp.Compare(flag(a.Straggler), flag(b.Straggler)))
	})
	for service, of := range s.series {
		for _, at := range slices.Sorted(maps.Keys(of)) {
			q := of[at].latency.quantiles()
			res.Series[service] = append(res.Series[service], Second{
				OffsetSeconds: at, Planned: of[at].planned, Answered: of[at].answered, InTime: of[at].inTime, P50MS: q.P50MS, P99MS: q.P99MS,
			})
		}
	}
	return res
}

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}
