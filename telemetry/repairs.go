// Package telemetry describes and formats metrics and records automatic repairs for operators.
package telemetry

import (
	"sync"
	"time"

	"github.com/apex/log"

	"pumiceshelf/api"
)

// maxRepairs bounds the retained repairs.
const maxRepairs = 256

// Repairs holds the most recent repairs, which are problems that the instance resolved by itself. It is safe for concurrent use.
type Repairs struct {
	mu   sync.Mutex
	list []*api.Repair
	log  log.Interface
	now  func() time.Time
}

// NewRepairs returns an empty list. Each repair is logged to logger when it is added.
func NewRepairs(logger log.Interface, now func() time.Time) *Repairs {
	return &Repairs{log: logger, now: now}
}

// Add records and logs one repair made by a component. The oldest repair is dropped when maxRepairs are retained.
func (r *Repairs) Add(component, text string) {
	r.log.Infof("%s: repaired: %s", component, text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.list) == maxRepairs {
		r.list = r.list[1:]
	}
	r.list = append(r.list, &api.Repair{UnixMs: r.now().UnixMilli(), Part: component, Text: text})
}

// List returns the retained repairs, oldest first.
func (r *Repairs) List() []*api.Repair {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*api.Repair(nil), r.list...)
}
