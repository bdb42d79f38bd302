package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// States of a model in an engine.
const (
	stateLoaded  = "loaded"
	stateLoading = "loading"
)

type loadReport struct {
	Running  int  `json:"running"`
	Waiting  int  `json:"waiting"`
	Capacity int  `json:"capacity"`
	Draining bool `json:"leaving"`
}

type modelState struct {
	ID       string   `json:"id"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	State    string   `json:"state"`
	readyAt  time.Time
}

type engineState struct {
	Models []modelState `json:"models"`
	Role   string       `json:"role"`
	Fence  uint64       `json:"fence"`
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if now := time.Now(); now.Sub(e.reportTime) >= e.cfg.MaxLoadReportAge {
		e.report = loadReport{Running: len(e.runningJobs), Waiting: len(e.waitingJobs), Capacity: e.cfg.Slots, Draining: e.draining}
		e.reportTime = now
	}
	report := e.report
	e.mu.Unlock()
	sendJSON(w, http.StatusOK, report)
}

// hasLoaded reports whether a model is loaded.
func (e *Engine) hasLoaded(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLoads()
	return slices.ContainsFunc(e.state.Models, func(m modelState) bool { return m.ID == model && m.State == stateLoaded })
}

// finishLoads marks models as loaded once their load time has passed. The caller must hold the lock.
func (e *Engine) finishLoads() {
	for i := range e.state.Models {
		if m := &e.state.Models[i]; m.State == stateLoading && !time.Now().Before(m.readyAt) {
			m.State = stateLoaded
		}
	}
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.finishLoads()
	state := e.state
	state.Models = slices.Clone(state.Models)
	e.mu.Unlock()
	sendJSON(w, http.StatusOK, state)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engineState
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, "bad order", http.StatusBadRequest)
		return
	}
	if !e.applyOrder(order) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// applyOrder applies an order. It returns false if the engine checks fencing numbers and the order's is old.
func (e *Engine) applyOrder(order engineState) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && order.Fence < e.state.Fence {
		return false
	}
	old := e.state.Models
	for i := range order.Models {
		m := &order.Models[i]
		m.State, m.readyAt = stateLoading, time.Now().Add(e.cfg.LoadTime)
		for _, o := range old {
			if o.ID == m.ID && o.Version == m.Version && slices.Equal(o.Adapters, m.Adapters) {
				m.State, m.readyAt = o.State, o.readyAt
			}
		}
	}
	e.state = order
	e.finishLoads()
	return true
}

// LoadedModel is an engine's report of one model.
type LoadedModel struct {
	ID, Version string
	Loaded      bool
}

// Models returns the models that the engine has loaded or is loading.
func (e *Engine) Models() []LoadedModel {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLoads()
	var out []LoadedModel
	for _, m := range e.state.Models {
		out = append(out, LoadedModel{ID: m.ID, Version: m.Version, Loaded: m.State == stateLoaded})
	}
	return out
}
