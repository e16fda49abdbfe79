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

// scrapeTimeout bounds one scrape of the metrics of all servers.
const scrapeTimeout = 10 * time.Second

// placementWaitMetric is the histogram of the time from queueing a task to its placement.
const placementWaitMetric = "gentianpick_placement_wait_seconds"

// metricValues holds the metrics of one server, keyed by series name and labels.
type metricValues map[string]float64

// scrape reads the metrics of every server. The entry of a server that can't be read is
// nil.
func (r *Runner) scrape(ctx context.Context) []metricValues {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), scrapeTimeout)
	defer cancel()
	out := make([]metricValues, len(r.servers))
	for i, c := range r.servers {
		if text, err := c.Metrics(ctx); err == nil {
			out[i] = parseMetrics(text)
		}
	}
	return out
}

// parseMetrics parses the Prometheus text format. Lines with time stamps are not
// supported.
func parseMetrics(text []byte) metricValues {
	s := metricValues{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		line := lines.Text()
		separator := strings.LastIndexByte(line, ' ')
		if separator < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		if v, err := strconv.ParseFloat(line[separator+1:], 64); err == nil {
			s[line[:separator]] = v
		}
	}
	return s
}

// bucket is one bucket of a histogram. Its count is not cumulative.
type bucket struct{ upper, count float64 }

// placementWaits returns the placement waits of the run by class, summed over all servers.
func placementWaits(before, after []metricValues) map[string]Quantiles {
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
		out[class] = bucketQuantiles(counts)
	}
	return out
}

// parseBucket returns the class and upper bound of a bucket series such as
// name_bucket{kind="batch",vmrange="1.0e-03...1.1e-03"}.
func parseBucket(name string) (class string, upper float64, ok bool) {
	rest, ok := strings.CutPrefix(name, placementWaitMetric+`_bucket{kind="`)
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

// bucketQuantiles returns the quantiles of a histogram that maps upper bounds to counts.
// Each quantile is the upper bound of its bucket; buckets are about 14% wide.
func bucketQuantiles(counts map[float64]float64) Quantiles {
	buckets := make([]bucket, 0, len(counts))
	total, sum := 0.0, 0.0
	for upper, n := range counts {
		buckets = append(buckets, bucket{upper, n})
		total += n
		sum += upper * n
	}
	slices.SortFunc(buckets, func(a, b bucket) int { return cmp.Compare(a.upper, b.upper) })
	quantileMS := func(q float64) float64 {
		cumulative := 0.0
		for _, b := range buckets {
			if cumulative += b.count; cumulative >= q*total {
				return b.upper * 1000
			}
		}
		return 0
	}
	return Quantiles{
		Count: int64(total), MeanMS: sum / total * 1000,
		P50MS: quantileMS(0.5), P90MS: quantileMS(0.9), P99MS: quantileMS(0.99), P999MS: quantileMS(0.999), MaxMS: quantileMS(1),
	}
}

// gauges are reported with their value at the end of the run. All other series are taken
// as counters, and their increase is reported.
var gauges = []string{"process_resident_memory_bytes"}

// counterIncreases returns the increase of the counters of one server during the run and
// the final values of its gauges. Histogram buckets are left out.
func counterIncreases(before, after metricValues) map[string]float64 {
	out := map[string]float64{}
	for name, v := range after {
		reported := strings.HasPrefix(name, "gentianpick_") || strings.HasPrefix(name, "process_cpu_seconds")
		switch {
		case slices.Contains(gauges, name):
			out[name] = v
		case reported && !strings.Contains(name, "_bucket{") && v != before[name]:
			out[name] = v - before[name]
		}
	}
	return out
}
