// Package telemetry keeps what the instance repaired by itself, for operators.
package telemetry

import (
	"sync"
	"time"

	"github.com/apex/log"

	"pumiceshelf/api"
)

// repairLimit bounds the repairs kept.
const repairLimit = 256

// Repairs keeps the most recent repairs. It is safe for concurrent use.
type Repairs struct {
	mu   sync.Mutex
	list []*api.Repair
	log  log.Interface
	now  func() time.Time
}

// NewRepairs returns an empty list that also logs each repair.
func NewRepairs(logger log.Interface, now func() time.Time) *Repairs {
	return &Repairs{log: logger, now: now}
}

// Add keeps and logs one repair made by a part.
func (r *Repairs) Add(part, text string) {
	r.log.Infof("%s: repaired: %s", part, text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.list) == repairLimit {
		r.list = r.list[1:]
	}
	r.list = append(r.list, &api.Repair{UnixMs: r.now().UnixMilli(), Part: part, Text: text})
}

// List returns the repairs kept, oldest first.
func (r *Repairs) List() []*api.Repair {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*api.Repair(nil), r.list...)
}
