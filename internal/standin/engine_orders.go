package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// States of a model at an engine.
const (
	stateLoaded  = "loaded"
	stateLoading = "loading"
)

type loadReport struct {
	Running  int  `json:"running"`
	Waiting  int  `json:"waiting"`
	Capacity int  `json:"capacity"`
	Leaving  bool `json:"leaving"`
}

type modelState struct {
	ID       string   `json:"id"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	State    string   `json:"state"`
	ready    time.Time
}

type engineState struct {
	Models []modelState `json:"models"`
	Role   string       `json:"role"`
	Fence  uint64       `json:"fence"`
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if now := time.Now(); now.Sub(e.reported) >= e.cfg.LoadLag {
		e.report = loadReport{Running: len(e.running), Waiting: len(e.waiting), Capacity: e.cfg.Slots, Leaving: e.leaving}
		e.reported = now
	}
	report := e.report
	e.mu.Unlock()
	sendJSON(w, http.StatusOK, report)
}

// serves says whether a model is loaded.
func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	return slices.ContainsFunc(e.state.Models, func(m modelState) bool { return m.ID == model && m.State == stateLoaded })
}

// settle ends the loads whose time has come.
func (e *Engine) settle() {
	for i := range e.state.Models {
		if m := &e.state.Models[i]; m.State == stateLoading && !time.Now().Before(m.ready) {
			m.State = stateLoaded
		}
	}
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.settle()
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
	if !e.obey(order) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// obey takes an order over; false means that its fencing number is old and the engine checks it.
func (e *Engine) obey(order engineState) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && order.Fence < e.state.Fence {
		return false
	}
	old := e.state.Models
	for i := range order.Models {
		m := &order.Models[i]
		m.State, m.ready = stateLoading, time.Now().Add(e.cfg.LoadTime)
		for _, o := range old {
			if o.ID == m.ID && o.Version == m.Version && slices.Equal(o.Adapters, m.Adapters) {
				m.State, m.ready = o.State, o.ready
			}
		}
	}
	e.state = order
	e.settle()
	return true
}

// LoadedModel is what an engine says of one model.
type LoadedModel struct {
	ID, Version string
	Loaded      bool
}

// Models returns the models that the engine has or is loading.
func (e *Engine) Models() []LoadedModel {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	var out []LoadedModel
	for _, m := range e.state.Models {
		out = append(out, LoadedModel{ID: m.ID, Version: m.Version, Loaded: m.State == stateLoaded})
	}
	return out
}
