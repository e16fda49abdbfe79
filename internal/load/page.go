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
var pageHTML string

// pageTemplate is a self-contained document: it loads no external scripts, styles or
// images.
var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(r Row) string { return fmt.Sprintf("%.3f%%", 100*r.InTimeShare()) },
	"ms":      func(v float64) string { return fmt.Sprintf("%.1f", v) },
}).Parse(pageHTML))

// Size of the drawing area of a plot and of its left and right margins, in pixels.
const (
	plotWidth  = 900
	plotHeight = 180
	plotMargin = 60
)

// plot is one diagram of a service's series.
type plot struct {
	Service, Title   string
	Width, Height    int
	Left, Right, Top int
	Bottom           int
	Lines            []line
	GridLines        []gridLine
	Seconds          int
}

// line is one polyline of a plot with the name shown in the legend.
type line struct{ Name, Colour, Points string }

// gridLine is one labelled horizontal grid line.
type gridLine struct {
	Y     float64
	Label string
}

// WritePage writes the result as an HTML page with tables and plots.
func (r *Result) WritePage(w io.Writer) error {
	var plots []plot
	for _, service := range slices.Sorted(maps.Keys(r.Series)) {
		plots = append(plots, ratePlot(service, r.Series[service]), latencyPlot(service, r.Series[service]))
	}
	return pageTemplate.Execute(w, struct {
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

// ratePlot draws the arrivals of each second and those of them that were answered in time.
func ratePlot(service string, series []Second) plot {
	p := newPlot(service, "arrivals per second, and those answered in time", series)
	maxRate := 1.0
	for _, s := range series {
		maxRate = max(maxRate, float64(s.Planned))
	}
	scale := func(v float64) float64 { return v / maxRate }
	p.addLine("arrived", "#888888", series, scale, func(s Second) float64 { return float64(s.Planned) })
	p.addLine("in time", "#2266bb", series, scale, func(s Second) float64 { return float64(s.InTime) })
	for _, fraction := range []float64{0, 0.5, 1} {
		p.addGridLine(fraction, fmt.Sprintf("%.0f", fraction*maxRate))
	}
	return p
}

// Bounds of the logarithmic latency axis in milliseconds.
const (
	minAxisMS = 1
	maxAxisMS = 100_000
)

// latencyPlot draws the median and the 99th percentile of the latency of each second.
func latencyPlot(service string, series []Second) plot {
	p := newPlot(service, "latency from the intended start", series)
	span := math.Log10(maxAxisMS) - math.Log10(minAxisMS)
	scale := func(v float64) float64 {
		return (math.Log10(min(max(v, minAxisMS), maxAxisMS)) - math.Log10(minAxisMS)) / span
	}
	p.addLine("p50", "#22883a", series, scale, func(s Second) float64 { return s.P50MS })
	p.addLine("p99", "#bb3322", series, scale, func(s Second) float64 { return s.P99MS })
	for ms := float64(minAxisMS); ms <= maxAxisMS; ms *= 10 {
		p.addGridLine(scale(ms), fmt.Sprintf("%.0f ms", ms))
	}
	return p
}

// addLine adds a line. The function scale maps a value to a fraction of the plot height.
func (p *plot) addLine(name, colour string, series []Second, scale func(float64) float64, value func(Second) float64) {
	var b strings.Builder
	for _, s := range series {
		x := float64(p.Left) + float64(s.OffsetSeconds)/float64(max(p.Seconds-1, 1))*plotWidth
		fmt.Fprintf(&b, "%.1f,%.1f ", x, p.y(scale(value(s))))
	}
	p.Lines = append(p.Lines, line{name, colour, b.String()})
}

func (p *plot) addGridLine(fraction float64, label string) {
	p.GridLines = append(p.GridLines, gridLine{p.y(fraction), label})
}

func (p *plot) y(fraction float64) float64 { return float64(p.Bottom) - fraction*plotHeight }
