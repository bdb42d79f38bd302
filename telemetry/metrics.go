package telemetry

import (
	"fmt"
	"sort"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Desc describes one metric. Every metric of the fleet is described once, at package level, so that docs/metrics.md can
// be checked against the code.
type Desc struct {
	// Name is dotted: part, event, reason.
	Name string
	// Unit of the value, in the plural.
	Unit string
	// Help says what it counts or measures, in one sentence.
	Help string
}

var (
	catalogMu sync.Mutex
	catalog   = make(map[string]Desc)
)

// Describe adds a metric to the catalog. It is called from package-level variables; a name used twice stops the process.
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

// Catalog returns all described metrics in order of names.
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

// Counter returns the metric as a counter of the registry.
func (d Desc) Counter(r metrics.Registry) metrics.Counter {
	return metrics.GetOrRegisterCounter(d.Name, r)
}

// Gauge returns the metric as a gauge of the registry.
func (d Desc) Gauge(r metrics.Registry) metrics.Gauge {
	return metrics.GetOrRegisterGauge(d.Name, r)
}

// Timer returns the metric as a timer of the registry, in nanoseconds.
func (d Desc) Timer(r metrics.Registry) metrics.Timer {
	return metrics.GetOrRegisterTimer(d.Name, r)
}
