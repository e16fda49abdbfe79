package load

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
)

//go:embed page.html
var pageText string

// page is a self-contained document: no script, style or picture from elsewhere.
var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(r Row) string { return fmt.Sprintf("%.3f%%", 100*r.InTimeShare()) },
	"ms":      func(v float64) string { return fmt.Sprintf("%.1f", v) },
}).Parse(pageText))

// Size of a plot in pixels.
const (
	plotWidth  = 900
	plotHeight = 180
	plotMargin = 60
)

// plot is one drawing of a service's series.
type plot struct {
	Service, Title   string
	Width, Height    int
	Left, Right, Top int
	Bottom           int
	Lines            []line
	Marks            []mark
	Seconds          int
}

// line is one polyline with its legend.
type line struct{ Name, Colour, Points string }

// mark is one labelled grid line.
type mark struct {
	Y     float64
	Label string
}

// WritePage writes the result as an HTML page with plots and tables.
func (r *Result) WritePage(w io.Writer) error {
	var plots []plot
	for _, service := range slices.Sorted(maps.Keys(r.Series)) {
		plots = append(plots, ratePlot(service, r.Series[service]), latencyPlot(service, r.Series[service]))
	}
	return page.Execute(w, struct {
		*Result
		Plots []plot
	}{r, plots})
}

func newPlot(service, title string, series []Second) plot {
	return plot{
		Service: service, Title: title, Width: plotWidth + 2*plotMargin, Height: plotHeight + 50,
		Left: plotMargin, Right: plotMargin + plotWidth, Top: 20, Bottom: 20 + plotHeight,
		Seconds: series[len(series)-1].OffsetSeconds + 1,
	}
}

// ratePlot draws what arrived and what was answered in time, by second.
func ratePlot(service string, series []Second) plot {
	p := newPlot(service, "arrivals a second and those answered in time", series)
	top := 1.0
	for _, s := range series {
		top = max(top, float64(s.Planned))
	}
	scale := func(v float64) float64 { return v / top }
	p.add("arrived", "#888888", series, scale, func(s Second) float64 { return float64(s.Planned) })
	p.add("in time", "#2266bb", series, scale, func(s Second) float64 { return float64(s.InTime) })
	for _, part := range []float64{0, 0.5, 1} {
		p.mark(part, fmt.Sprintf("%.0f", part*top))
	}
	return p
}

// Bounds of the logarithmic axis of latencies in milliseconds.
const (
	lowestMS  = 1
	highestMS = 100_000
)

// latencyPlot draws the median and the 99th percentile by second.
func latencyPlot(service string, series []Second) plot {
	p := newPlot(service, "latency from the intended start", series)
	span := math.Log10(highestMS) - math.Log10(lowestMS)
	scale := func(v float64) float64 {
		return (math.Log10(min(max(v, lowestMS), highestMS)) - math.Log10(lowestMS)) / span
	}
	p.add("p50", "#22883a", series, scale, func(s Second) float64 { return s.P50MS })
	p.add("p99", "#bb3322", series, scale, func(s Second) float64 { return s.P99MS })
	for ms := float64(lowestMS); ms <= highestMS; ms *= 10 {
		p.mark(scale(ms), fmt.Sprintf("%.0f ms", ms))
	}
	return p
}

// add draws a line whose values scale maps to the part of the height.
func (p *plot) add(name, colour string, series []Second, scale func(float64) float64, value func(Second) float64) {
	var b strings.Builder
	for _, s := range series {
		x := float64(p.Left) + float64(s.OffsetSeconds)/float64(max(p.Seconds-1, 1))*plotWidth
		fmt.Fprintf(&b, "%.1f,%.1f ", x, p.y(scale(value(s))))
	}
	p.Lines = append(p.Lines, line{name, colour, b.String()})
}

func (p *plot) mark(part float64, label string) {
	p.Marks = append(p.Marks, mark{p.y(part), label})
}

func (p *plot) y(part float64) float64 { return float64(p.Bottom) - part*plotHeight }
