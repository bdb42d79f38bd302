package quota

import "pumiceshelf/budget"

// route is the holder of a customer's budgets in one view of the fleet. One instance holds all budgets of a customer, so
// that one update of the customer's ledger serves them all.
type route struct {
	owner   string
	changed <-chan struct{}
}

// owner returns the incarnation that holds a budget in this failure domain, as this instance sees the fleet.
func (m *Manager) owner(id budget.ID) string {
	if v, ok := m.routes.Load(id.Customer); ok {
		r := v.(*route)
		select {
		case <-r.changed:
		default:
			return r.owner
		}
	}
	changed := m.cfg.View.Changed()
	r := &route{owner: m.self, changed: changed}
	if o := m.cfg.View.Owner("budget/" + id.Customer); o != nil {
		r.owner = o.Incarnation
	}
	m.routes.Store(id.Customer, r)
	return r.owner
}

// owns says whether this instance holds a budget in its view.
func (m *Manager) owns(id budget.ID) bool { return m.owner(id) == m.self }

// serves says whether this instance answers reservations of others for a budget: it owns it, or has a lease of it left.
func (m *Manager) serves(id budget.ID) bool {
	if m.holder.draining.Load() {
		return false
	}
	if m.owns(id) {
		return true
	}
	v, ok := m.holder.accounts.Load(id)
	if !ok {
		return false
	}
	a := v.(*account)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease != nil && a.lease.Usable()
}

// liveIncarnations returns the incarnations that this instance sees live, itself included.
func (m *Manager) liveIncarnations() map[string]bool {
	live := map[string]bool{m.self: true}
	for _, p := range m.cfg.View.Members() {
		if p.Live {
			live[p.Instance.Incarnation] = true
		}
	}
	return live
}
