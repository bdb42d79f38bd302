package telemetry

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// FormatMetrics returns the metrics of the registry as text, one line of name and value each, in sorted order.
func FormatMetrics(registry metrics.Registry) string {
	var lines []string
	registry.Each(func(name string, metric any) {
		for _, v := range metricValues(metric) {
			lines = append(lines, name+v.suffix+" "+v.text+"\n")
		}
	})
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// metricValue is one value of a metric. The suffix is appended to the metric's name.
type metricValue struct{ suffix, text string }

func metricValues(metric any) []metricValue {
	switch m := metric.(type) {
	case metrics.Counter:
		return []metricValue{{"", fmt.Sprint(m.Count())}}
	case metrics.Gauge:
		return []metricValue{{"", fmt.Sprint(m.Value())}}
	case metrics.GaugeFloat64:
		return []metricValue{{"", fmt.Sprint(m.Value())}}
	case metrics.Meter:
		return []metricValue{{".count", fmt.Sprint(m.Count())}, {".rate1", fmt.Sprint(m.Rate1())}}
	case metrics.Histogram:
		s := m.Snapshot()
		return distributionValues(s.Count(), s.Mean(), float64(s.Max()), s.Percentiles([]float64{0.5, 0.95, 0.99}))
	case metrics.Timer:
		s := m.Snapshot()
		return distributionValues(s.Count(), s.Mean(), float64(s.Max()), s.Percentiles([]float64{0.5, 0.95, 0.99}))
	}
	return nil
}

func distributionValues(count int64, mean, maximum float64, percentiles []float64) []metricValue {
	return []metricValue{
		{".count", fmt.Sprint(count)},
		{".mean", fmt.Sprintf("%.0f", mean)},
		{".p50", fmt.Sprintf("%.0f", percentiles[0])},
		{".p95", fmt.Sprintf("%.0f", percentiles[1])},
		{".p99", fmt.Sprintf("%.0f", percentiles[2])},
		{".max", fmt.Sprintf("%.0f", maximum)},
	}
}
