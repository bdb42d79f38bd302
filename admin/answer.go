package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	typeJSON    = "application/json"
	typeProblem = "application/problem+json"
	typeText    = "text/plain; charset=utf-8"
)

func message(m proto.Message) result {
	body, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return problem(http.StatusInternalServerError, err.Error())
	}
	return result{status: http.StatusOK, contentType: typeJSON, body: append(body, '\n')}
}

func plain(status int, text string) result {
	return result{status: status, contentType: typeText, body: []byte(text)}
}

// problemBody is an RFC 9457 problem.
type problemBody struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

func problem(status int, detail string) result {
	body, err := json.Marshal(problemBody{Title: http.StatusText(status), Status: status, Detail: detail})
	if err != nil {
		return plain(status, detail)
	}
	return result{status: status, contentType: typeProblem, body: append(body, '\n')}
}

// detailOf returns the detail of a problem, or the body itself if it is none.
func detailOf(body []byte) string {
	var p problemBody
	if err := json.Unmarshal(body, &p); err != nil || p.Detail == "" {
		return strings.TrimSpace(string(body))
	}
	return p.Detail
}

// metrics answers with every metric as one line of name and value, or as JSON when asked for by format or Accept.
func (a *Admin) metrics(r *http.Request) result {
	switch format := r.URL.Query().Get(ParamFormat); {
	case format == "json", format == "" && strings.Contains(r.Header.Get("Accept"), typeJSON):
		body, err := json.Marshal(a.cfg.Registry)
		if err != nil {
			return problem(http.StatusInternalServerError, err.Error())
		}
		return result{status: http.StatusOK, contentType: typeJSON, body: append(body, '\n')}
	case format == "", format == "text":
		return plain(http.StatusOK, metricLines(a.cfg.Registry))
	default:
		return problem(http.StatusBadRequest, "format is "+format+", must be json or text")
	}
}

func metricLines(registry metrics.Registry) string {
	var lines []string
	registry.Each(func(name string, metric any) {
		for _, v := range metricValues(metric) {
			lines = append(lines, name+v.suffix+" "+v.text+"\n")
		}
	})
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// metricValue is one figure of a metric. The suffix is added to the metric's name.
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
		return distribution(s.Count(), s.Mean(), float64(s.Max()), s.Percentiles([]float64{0.5, 0.95, 0.99}))
	case metrics.Timer:
		s := m.Snapshot()
		return distribution(s.Count(), s.Mean(), float64(s.Max()), s.Percentiles([]float64{0.5, 0.95, 0.99}))
	}
	return nil
}

func distribution(count int64, mean, highest float64, percentiles []float64) []metricValue {
	return []metricValue{
		{".count", fmt.Sprint(count)},
		{".mean", fmt.Sprintf("%.0f", mean)},
		{".p50", fmt.Sprintf("%.0f", percentiles[0])},
		{".p95", fmt.Sprintf("%.0f", percentiles[1])},
		{".p99", fmt.Sprintf("%.0f", percentiles[2])},
		{".max", fmt.Sprintf("%.0f", highest)},
	}
}
