package telemetry

import (
	"fmt"
	"sort"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Desc describes one metric. Every metric of the fleet is described once, at package level, so that a test can compare
// docs/metrics.md with the code.
type Desc struct {
	// Name consists of component, event and reason, separated by dots.
	Name string
	// Unit is the unit of the value, in the plural.
	Unit string
	// Help describes in one sentence what the metric counts or measures.
	Help string
}

var (
	catalogMu sync.Mutex
	catalog   = make(map[string]Desc)
)

// Describe adds a metric to the catalog. It is called in package-level variable declarations and panics on a duplicate name.
func Describe(name, unit, help string) Desc {
	catalogMu.Lock()
	defer catalogMu.Unlock()
	if _, ok := catalog[name]; ok {
		panic(fmt.Sprintf("telemetry: metric %s described twice", name))
	}
	d := Desc{Name: name, Unit: unit, Help: help}
	catalog[name] = d
	return d
}

// Catalog returns all described metrics, sorted by name.
func Catalog() []Desc {
	catalogMu.Lock()
	defer catalogMu.Unlock()
	out := make([]Desc, 0, len(catalog))
	for _, d := range catalog {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Counter returns the counter of the metric in the registry and registers it if needed.
func (d Desc) Counter(r metrics.Registry) metrics.Counter {
	return metrics.GetOrRegisterCounter(d.Name, r)
}

// Gauge returns the gauge of the metric in the registry and registers it if needed.
func (d Desc) Gauge(r metrics.Registry) metrics.Gauge {
	return metrics.GetOrRegisterGauge(d.Name, r)
}

// Timer returns the timer of the metric in the registry and registers it if needed. Its values are in nanoseconds.
func (d Desc) Timer(r metrics.Registry) metrics.Timer {
	return metrics.GetOrRegisterTimer(d.Name, r)
}
