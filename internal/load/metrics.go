package load

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"time"
)

// scrapeTimeout bounds one read of the servers' metrics.
const scrapeTimeout = 10 * time.Second

// waitMetric is the histogram of the time from queueing to placement.
const waitMetric = "gentianpick_placement_wait_seconds"

// sample holds the metrics of one server by series.
type sample map[string]float64

// scrape reads the metrics of every server. One that can't be read has none.
func (r *Runner) scrape(ctx context.Context) []sample {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), scrapeTimeout)
	defer cancel()
	out := make([]sample, len(r.servers))
	for i, c := range r.servers {
		if text, err := c.Metrics(ctx); err == nil {
			out[i] = parseMetrics(text)
		}
	}
	return out
}

// parseMetrics parses the Prometheus text format without time stamps.
func parseMetrics(text []byte) sample {
	s := sample{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		line := lines.Text()
		at := strings.LastIndexByte(line, ' ')
		if at < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		if v, err := strconv.ParseFloat(line[at+1:], 64); err == nil {
			s[line[:at]] = v
		}
	}
	return s
}

// bucket is one range of a histogram.
type bucket struct{ upper, count float64 }

// placementWaits returns the waits of the run by class, over all servers.
func placementWaits(before, after []sample) map[string]Quantiles {
	byClass := map[string]map[float64]float64{}
	for i := range after {
		for name, v := range after[i] {
			class, upper, ok := parseBucket(name)
			if n := v - before[i][name]; ok && n > 0 {
				if byClass[class] == nil {
					byClass[class] = map[float64]float64{}
				}
				byClass[class][upper] += n
			}
		}
	}
	out := map[string]Quantiles{}
	for class, counts := range byClass {
		out[class] = quantilesOf(counts)
	}
	return out
}

// parseBucket splits a series such as
// name_bucket{kind="batch",vmrange="1.0e-03...1.1e-03"}.
func parseBucket(name string) (class string, upper float64, ok bool) {
	rest, ok := strings.CutPrefix(name, waitMetric+`_bucket{kind="`)
	if !ok {
		return "", 0, false
	}
	class, rest, _ = strings.Cut(rest, `",vmrange="`)
	low, high, _ := strings.Cut(strings.TrimSuffix(rest, `"}`), "...")
	if high == "+Inf" {
		high = low
	}
	upper, err := strconv.ParseFloat(high, 64)
	return class, upper, err == nil
}

// quantilesOf returns quantiles as the upper ends of their ranges, which are
// about 14% wide.
func quantilesOf(counts map[float64]float64) Quantiles {
	buckets := make([]bucket, 0, len(counts))
	total, sum := 0.0, 0.0
	for upper, n := range counts {
		buckets = append(buckets, bucket{upper, n})
		total += n
		sum += upper * n
	}
	slices.SortFunc(buckets, func(a, b bucket) int { return cmp.Compare(a.upper, b.upper) })
	at := func(q float64) float64 {
		seen := 0.0
		for _, b := range buckets {
			if seen += b.count; seen >= q*total {
				return b.upper * 1000
			}
		}
		return 0
	}
	return Quantiles{
		Count: int64(total), MeanMS: sum / total * 1000,
		P50MS: at(0.5), P90MS: at(0.9), P99MS: at(0.99), P999MS: at(0.999), MaxMS: at(1),
	}
}

// gauges are reported as they are at the end of the run; every other series is
// a counter, reported as its growth.
var gauges = []string{"process_resident_memory_bytes"}

// growth returns what the counters of one server grew by in the run, without
// histograms.
func growth(before, after sample) map[string]float64 {
	out := map[string]float64{}
	for name, v := range after {
		own := strings.HasPrefix(name, "gentianpick_") || strings.HasPrefix(name, "process_cpu_seconds")
		switch {
		case slices.Contains(gauges, name):
			out[name] = v
		case own && !strings.Contains(name, "_bucket{") && v != before[name]:
			out[name] = v - before[name]
		}
	}
	return out
}
