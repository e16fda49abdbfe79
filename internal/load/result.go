package load

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/model"
)

// Result is the result of one run. Latencies are measured from the intended time of each
// arrival.
type Result struct {
	Profile        string               `json:"profile"`
	Seed           int64                `json:"seed"`
	Started        time.Time            `json:"started"`
	TookSeconds    float64              `json:"took_seconds"` // from the start of the first phase to the end of the run
	WarmupSeconds  float64              `json:"warmup_seconds"`
	Rows           []Row                `json:"rows"`
	PlacementWaits map[string]Quantiles `json:"placement_waits"` // by class, measured by the owners
	Series         map[string][]Second  `json:"series"`          // by service
	Counters       []map[string]float64 `json:"counters"`        // by server: increase of counters during the run, final values of gauges
}

// Row summarizes the arrivals of one operation. Stragglers, and jobs queued before the
// first phase, have separate rows.
type Row struct {
	Service       string                  `json:"service"`
	Operation     string                  `json:"operation,omitempty"`
	Straggler     bool                    `json:"straggler,omitempty"`
	Queued        bool                    `json:"queued,omitempty"`
	Planned       int64                   `json:"planned"`
	Dropped       int64                   `json:"dropped"` // not sent, because too many calls were in flight
	Unanswered    int64                   `json:"unanswered"`
	Outcomes      map[model.Outcome]int64 `json:"outcomes"`
	Codes         map[string]int64        `json:"codes,omitempty"`
	InTime        int64                   `json:"in_time"` // done within the deadline
	Late          int64                   `json:"late"`    // done after the deadline
	Latency       Quantiles               `json:"latency"` // of the arrivals that were done
	Wait          Quantiles               `json:"wait"`    // latency minus the planned run time
	AcceptLatency Quantiles               `json:"accept"`  // time until a job was accepted
}

// InTimeShare returns the fraction of the planned arrivals that were done in time.
func (r Row) InTimeShare() float64 { return float64(r.InTime) / float64(max(r.Planned, 1)) }

// Second summarizes the arrivals of a service whose intended time is in the same second.
type Second struct {
	OffsetSeconds int     `json:"at"` // since the start of the first phase
	Planned       int64   `json:"planned"`
	Answered      int64   `json:"answered"`
	InTime        int64   `json:"in_time"`
	P50MS         float64 `json:"p50_ms"`
	P99MS         float64 `json:"p99_ms"`
}

func (r *Runner) buildResult(start time.Time, took time.Duration, before, after []metricValues) *Result {
	s := r.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	res := &Result{
		Profile: r.profile.Name, Seed: r.profile.Seed, Started: start.UTC().Truncate(time.Second),
		TookSeconds: took.Seconds(), WarmupSeconds: r.profile.Warmup.Seconds(),
		PlacementWaits: placementWaits(before, after), Series: map[string][]Second{},
	}
	for i := range after {
		res.Counters = append(res.Counters, counterIncreases(before[i], after[i]))
	}
	for k, counts := range s.rows {
		res.Rows = append(res.Rows, Row{
			Service: k.service, Operation: k.operation, Straggler: k.straggler, Queued: k.queued,
			Planned: counts.planned, Dropped: counts.dropped, Unanswered: counts.unanswered, Outcomes: counts.outcomes, Codes: counts.codes,
			InTime: counts.inTime, Late: counts.late,
			Latency: counts.latency.quantiles(), Wait: counts.wait.quantiles(), AcceptLatency: counts.accept.quantiles(),
		})
	}
	slices.SortFunc(res.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Operation, b.Operation),
			cmp.Compare(boolToInt(a.Queued), boolToInt(b.Queued)), cmp.Compare(boolToInt(a.Straggler), boolToInt(b.Straggler)))
	})
	for service, seconds := range s.series {
		for _, at := range slices.Sorted(maps.Keys(seconds)) {
			q := seconds[at].latency.quantiles()
			res.Series[service] = append(res.Series[service], Second{
				OffsetSeconds: at, Planned: seconds[at].planned, Answered: seconds[at].answered, InTime: seconds[at].inTime, P50MS: q.P50MS, P99MS: q.P99MS,
			})
		}
	}
	return res
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
