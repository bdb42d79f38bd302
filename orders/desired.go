package orders

import (
	"slices"

	"pumiceshelf/bundle"
	"pumiceshelf/endpoint"
)

// desired returns the desired models and role of an endpoint. It returns false if the endpoint is not managed: it has no
// models, or the bundle specifies no role, version or adapter for it. A model without a version and adapters may have any
// version.
func desired(snap *bundle.Snapshot, e *bundle.Endpoint) (endpoint.Order, bool) {
	o := endpoint.Order{Role: e.Role}
	managed := e.Role != ""
	for _, id := range e.Models {
		m := endpoint.ModelState{ID: id}
		if model := snap.Model(id); model != nil {
			m.Version, m.Adapters = model.Version, sortedCopy(model.Adapters)
		}
		managed = managed || !acceptsAnyVersion(m)
		o.Models = append(o.Models, m)
	}
	return o, managed && len(o.Models) > 0
}

func sortedCopy(in []string) []string {
	out := slices.Clone(in)
	slices.Sort(out)
	return out
}

// acceptsAnyVersion reports whether the bundle specifies neither a version nor adapters of a model.
func acceptsAnyVersion(m endpoint.ModelState) bool { return m.Version == "" && len(m.Adapters) == 0 }

// matches reports whether a model reported by an engine is the desired one.
func matches(want, got endpoint.ModelState) bool {
	if want.ID != got.ID {
		return false
	}
	return acceptsAnyVersion(want) || (want.Version == got.Version && slices.Equal(want.Adapters, sortedCopy(got.Adapters)))
}

// findModel returns the first model that f accepts, or nil.
func findModel(list []endpoint.ModelState, f func(endpoint.ModelState) bool) *endpoint.ModelState {
	if i := slices.IndexFunc(list, f); i >= 0 {
		return &list[i]
	}
	return nil
}

// keepsModel reports whether an order leaves a model reported by an engine unchanged.
func keepsModel(o endpoint.Order, got endpoint.ModelState) bool {
	return findModel(o.Models, func(want endpoint.ModelState) bool { return matches(want, got) }) != nil
}

// isLoaded reports whether an engine has any version of a model loaded.
func isLoaded(s endpoint.State, model string) bool {
	return findModel(s.Models, func(m endpoint.ModelState) bool { return m.ID == model && m.State == endpoint.ModelLoaded }) != nil
}

// resolveVersions returns the order to send: for models that accept any version, it contains the engine's current version
// and adapters. An empty role is replaced by the engine's current role.
func resolveVersions(o endpoint.Order, s endpoint.State) endpoint.Order {
	out := endpoint.Order{Role: o.Role}
	if out.Role == "" {
		out.Role = s.Role
	}
	for _, want := range o.Models {
		if got := findModel(s.Models, func(m endpoint.ModelState) bool { return matches(want, m) }); got != nil {
			want.Version, want.Adapters = got.Version, got.Adapters
		}
		out.Models = append(out.Models, want)
	}
	return out
}

// nextStep returns upToDate, loading or needsChange, and whether the change loads weights.
func nextStep(o endpoint.Order, s endpoint.State) (step, bool) {
	pending := false
	for _, want := range o.Models {
		got := findModel(s.Models, func(m endpoint.ModelState) bool { return matches(want, m) })
		if got == nil {
			return needsChange, true
		}
		pending = pending || got.State != endpoint.ModelLoaded
	}
	surplus := findModel(s.Models, func(m endpoint.ModelState) bool { return !keepsModel(o, m) })
	switch {
	case surplus != nil, changesRole(o, s):
		return needsChange, false
	case pending:
		return loading, false
	}
	return upToDate, false
}

// changesRole reports whether an order changes the engine's role.
func changesRole(o endpoint.Order, s endpoint.State) bool { return o.Role != "" && o.Role != s.Role }

// interruptedModels returns the loaded models that an engine may be unable to serve while it executes the order.
func interruptedModels(o endpoint.Order, s endpoint.State) []string {
	var out []string
	for _, m := range s.Models {
		if m.State == endpoint.ModelLoaded && (!keepsModel(o, m) || changesRole(o, s)) {
			out = append(out, m.ID)
		}
	}
	return out
}
