package bench

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// figure is one column of a comparison.
type figure struct {
	name  string
	value func(*Result) float64
}

var figures = []figure{
	{"answered", func(r *Result) float64 { return float64(r.Answered) }},
	{"not_run", func(r *Result) float64 { return float64(r.NotRun) }},
	{"unknown", func(r *Result) float64 { return float64(r.Unknown) }},
	{"false_refusals", func(r *Result) float64 { return float64(r.FalseRefusals) }},
	{"overspend_tokens", func(r *Result) float64 { return float64(r.OverspendTokens) }},
	{"parked_tokens", func(r *Result) float64 { return float64(r.ParkedTokens) }},
	{"platform_calls_per_s", func(r *Result) float64 { return r.PlatformCallsPerS }},
	{"p50_ms", func(r *Result) float64 { return r.P50Ms }},
	{"p99_ms", func(r *Result) float64 { return r.P99Ms }},
	{"broken", func(r *Result) float64 { return float64(len(r.Broken)) }},
}

// Compare runs an experiment with every policy over the seeds, prints medians and worst values side by side and, when
// folder is not empty, draws them into PNG files there. It returns all results.
func Compare(ctx context.Context, e Experiment, from, to uint64, out io.Writer, folder string) ([]*Result, error) {
	byPolicy := make(map[string][]*Result)
	var all []*Result
	for _, policy := range e.Policies {
		for seed := from; seed <= to; seed++ {
			r, err := Do(ctx, e, seed, policy)
			if err != nil {
				return nil, err
			}
			byPolicy[policy] = append(byPolicy[policy], r)
			all = append(all, r)
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "policy\t")
	for _, f := range figures {
		fmt.Fprintf(w, "%s\t", f.name)
	}
	fmt.Fprintln(w)
	for _, policy := range e.Policies {
		fmt.Fprintf(w, "%s\t", policy)
		for _, f := range figures {
			median, worst := summary(byPolicy[policy], f)
			fmt.Fprintf(w, "%.4g/%.4g\t", median, worst)
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return nil, err
	}
	if folder == "" {
		return all, nil
	}
	return all, draw(e, byPolicy, folder)
}

// summary returns the median and the largest value of a figure.
func summary(results []*Result, f figure) (median, worst float64) {
	values := make([]float64, 0, len(results))
	for _, r := range results {
		values = append(values, f.value(r))
	}
	slices.Sort(values)
	return values[len(values)/2], values[len(values)-1]
}

// draw writes one PNG per experiment with a box for each policy's false refusals.
func draw(e Experiment, byPolicy map[string][]*Result, folder string) error {
	const size = 12 * vg.Centimeter
	p := plot.New()
	p.Title.Text = e.Name
	p.Y.Label.Text = "false refusals"
	for i, policy := range e.Policies {
		var values plotter.Values
		for _, r := range byPolicy[policy] {
			values = append(values, float64(r.FalseRefusals))
		}
		box, err := plotter.NewBoxPlot(vg.Centimeter, float64(i), values)
		if err != nil {
			return fmt.Errorf("bench: draw: %w", err)
		}
		p.Add(box)
	}
	p.NominalX(e.Policies...)
	return p.Save(size, size, filepath.Join(folder, e.Name+".png"))
}
