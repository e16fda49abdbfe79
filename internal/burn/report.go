// Package burn computes burn rates: how fast services spend the error budgets of
// their declared service levels, over several windows. A burn rate of 1 spends
// exactly the budget within the compliance window.
package burn

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

// Report contains the burn rates of every service with a declared service level.
type Report struct {
	Services []ServiceReport `json:"services"`
}

// ServiceReport contains the burn rates of one service.
type ServiceReport struct {
	Service    string       `json:"service"`
	Objective  float64      `json:"objective"`
	Latency    string       `json:"latency,omitempty"` // a slower answer counts as bad
	Alerts     []AlertState `json:"alerts"`
	Compliance Compliance   `json:"compliance"`
}

// AlertState is the state of the alert of one window pair. The alert fires if the
// burn rates of both windows are at least Threshold: the long window shows that
// the loss is significant, the short window that it still continues.
type AlertState struct {
	Name      string  `json:"name"` // "fast" or "slow"
	Long      string  `json:"long"`
	Short     string  `json:"short"`
	LongRate  float64 `json:"long_rate"`
	ShortRate float64 `json:"short_rate"`
	Threshold float64 `json:"threshold"`
	Firing    bool    `json:"firing"`
}

// Compliance is the state of the whole compliance window.
type Compliance struct {
	Window     string  `json:"window"`
	Good       uint64  `json:"good"`
	Bad        uint64  `json:"bad"`
	Rate       float64 `json:"rate"`        // burn rate
	BudgetLeft float64 `json:"budget_left"` // fraction of the error budget; negative when overspent
}

// WriteText writes the report as a table. Each service has one line per window pair
// and one for the compliance window.
func (r Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tOBJECTIVE\tWINDOW\tBURN\tSHORT\tALERT AT\tSTATE")
	for _, s := range r.Services {
		objective := strconv.FormatFloat(s.Objective*100, 'g', 6, 64) + "%"
		if s.Latency != "" {
			objective += " within " + s.Latency
		}
		for _, a := range s.Alerts {
			state := "ok"
			if a.Firing {
				state = "FIRING"
			}
			fmt.Fprintf(w, "%s\t%s\t%s/%s\t%.2f\t%.2f\t%.2f\t%s\n", s.Service, objective, a.Long, a.Short, a.LongRate, a.ShortRate, a.Threshold, state)
		}
		c := s.Compliance
		fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t-\t-\t%d good, %d bad, %.1f%% of the budget left\n", s.Service, objective, c.Window, c.Rate, c.Good, c.Bad, c.BudgetLeft*100)
	}
	return w.Flush()
}
