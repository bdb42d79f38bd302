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

// figure is one column of the comparison table.
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
	{"broken", func(r *Result) float64 { return float64(len(r.Violations)) }},
}

// Compare runs an experiment under every policy with each seed in [from, to] and prints a table of medians and largest
// values. If folder is not empty, it also writes a plot there as a PNG file. It returns all results.
func Compare(ctx context.Context, e Experiment, from, to uint64, out io.Writer, folder string) ([]*Result, error) {
	byPolicy := make(map[string][]*Result)
	var all []*Result
	for _, policy := range e.Policies {
		for seed := from; seed <= to; seed++ {
			r, err := Execute(ctx, e, seed, policy)
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
			median, largest := medianAndMax(byPolicy[policy], f)
			fmt.Fprintf(w, "%.4g/%.4g\t", median, largest)
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return nil, err
	}
	if folder == "" {
		return all, nil
	}
	return all, drawPlot(e, byPolicy, folder)
}

// medianAndMax returns the median and the largest value of a figure.
func medianAndMax(results []*Result, f figure) (median, largest float64) {
	values := make([]float64, 0, len(results))
	for _, r := range results {
		values = append(values, f.value(r))
	}
	slices.Sort(values)
	return values[len(values)/2], values[len(values)-1]
}

// drawPlot writes a PNG file with a box plot of the false refusals under each policy.
func drawPlot(e Experiment, byPolicy map[string][]*Result, folder string) error {
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
			return fmt.Errorf("bench: draw box plot: %w", err)
		}
		p.Add(box)
	}
	p.NominalX(e.Policies...)
	return p.Save(size, size, filepath.Join(folder, e.Name+".png"))
}
