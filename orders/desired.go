package orders

import (
	"slices"

	"pumiceshelf/bundle"
	"pumiceshelf/endpoint"
)

// desired returns the models and role that the bundle wants at an endpoint; false if it leaves all of it to the engine.
// A model without a version and adapters is wanted in whatever version the engine has.
func desired(snap *bundle.Snapshot, e *bundle.Endpoint) (endpoint.Order, bool) {
	o := endpoint.Order{Role: e.Role}
	managed := e.Role != ""
	for _, id := range e.Models {
		m := endpoint.ModelState{ID: id}
		if in := snap.Model(id); in != nil {
			m.Version, m.Adapters = in.Version, sorted(in.Adapters)
		}
		managed = managed || !anyVersion(m)
		o.Models = append(o.Models, m)
	}
	return o, managed && len(o.Models) > 0
}

func sorted(in []string) []string {
	out := slices.Clone(in)
	slices.Sort(out)
	return out
}

func anyVersion(m endpoint.ModelState) bool { return m.Version == "" && len(m.Adapters) == 0 }

// matches says whether a reported model is the wanted one.
func matches(want, got endpoint.ModelState) bool {
	if want.ID != got.ID {
		return false
	}
	return anyVersion(want) || (want.Version == got.Version && slices.Equal(want.Adapters, sorted(got.Adapters)))
}

// find returns the first model that f accepts, or nil.
func find(list []endpoint.ModelState, f func(endpoint.ModelState) bool) *endpoint.ModelState {
	if i := slices.IndexFunc(list, f); i >= 0 {
		return &list[i]
	}
	return nil
}

// wants says whether an order keeps a reported model as it is.
func wants(o endpoint.Order, got endpoint.ModelState) bool {
	return find(o.Models, func(want endpoint.ModelState) bool { return matches(want, got) }) != nil
}

// serves says whether an engine has any version of a model loaded.
func serves(s endpoint.State, model string) bool {
	return find(s.Models, func(m endpoint.ModelState) bool { return m.ID == model && m.State == endpoint.ModelLoaded }) != nil
}

// concrete returns the order as it is sent: with the version that the engine has where any will do.
func concrete(o endpoint.Order, s endpoint.State) endpoint.Order {
	out := endpoint.Order{Role: o.Role}
	if out.Role == "" {
		out.Role = s.Role
	}
	for _, want := range o.Models {
		if got := find(s.Models, func(m endpoint.ModelState) bool { return matches(want, m) }); got != nil {
			want.Version, want.Adapters = got.Version, got.Adapters
		}
		out.Models = append(out.Models, want)
	}
	return out
}

// compare returns inForce, loading or change, and whether the change fetches weights.
func compare(o endpoint.Order, s endpoint.State) (step, bool) {
	pending := false
	for _, want := range o.Models {
		got := find(s.Models, func(m endpoint.ModelState) bool { return matches(want, m) })
		if got == nil {
			return change, true
		}
		pending = pending || got.State != endpoint.ModelLoaded
	}
	surplus := find(s.Models, func(m endpoint.ModelState) bool { return !wants(o, m) })
	switch {
	case surplus != nil, newRole(o, s):
		return change, false
	case pending:
		return loading, false
	}
	return inForce, false
}

func newRole(o endpoint.Order, s endpoint.State) bool { return o.Role != "" && o.Role != s.Role }

// disturbed returns the models that an engine serves now and may not serve while the order is carried out.
func disturbed(o endpoint.Order, s endpoint.State) []string {
	var out []string
	for _, m := range s.Models {
		if m.State == endpoint.ModelLoaded && (!wants(o, m) || newRole(o, s)) {
			out = append(out, m.ID)
		}
	}
	return out
}
