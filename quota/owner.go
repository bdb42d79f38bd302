package quota

import "pumiceshelf/budget"

// cachedOwner is the owner of a customer's budgets in one view of the fleet. One instance owns all budgets of a customer,
// so that one update of the customer's ledger covers all of them.
type cachedOwner struct {
	owner   string
	changed <-chan struct{}
}

// owner returns the incarnation that should hold a budget in this failure domain, according to this instance's view.
func (m *Manager) owner(id budget.ID) string {
	if v, ok := m.owners.Load(id.Customer); ok {
		cached := v.(*cachedOwner)
		select {
		case <-cached.changed:
		default:
			return cached.owner
		}
	}
	changed := m.cfg.View.Changed()
	cached := &cachedOwner{owner: m.self, changed: changed}
	if o := m.cfg.View.Owner("budget/" + id.Customer); o != nil {
		cached.owner = o.Incarnation
	}
	m.owners.Store(id.Customer, cached)
	return cached.owner
}

// owns reports whether this instance owns a budget according to its view.
func (m *Manager) owns(id budget.ID) bool { return m.owner(id) == m.self }

// acceptsReservations reports whether this instance accepts reservations of other instances for a budget: it owns the
// budget or has a usable lease, and is not draining.
func (m *Manager) acceptsReservations(id budget.ID) bool {
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

// liveIncarnations returns the incarnations that are live according to this instance's view, including its own.
func (m *Manager) liveIncarnations() map[string]bool {
	live := map[string]bool{m.self: true}
	for _, p := range m.cfg.View.Members() {
		if p.Live {
			live[p.Instance.Incarnation] = true
		}
	}
	return live
}
