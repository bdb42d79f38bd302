package quota

import (
	"context"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

// orphanCheck is a reservation to be checked: it has been open for long, or the entry instance of one of its attempts
// is missing.
type orphanCheck struct {
	account   *account
	lease     *heldLease
	requestID string
	model     string
	bound     budget.Tokens
	attempts  []budget.Attempt
}

// resolveOrphans resolves reservations that have been open for long. Attempts that a live entry instance does not know
// never ran or were settled, and are released. A reservation whose attempts all belong to lost instances is charged once:
// the usage that an engine reports, otherwise its bound.
func (m *Manager) resolveOrphans(ctx context.Context) {
	live := m.liveIncarnations()
	queries := make(map[string][]*api.OpenItem)
	checks := m.suspectReservations(live)
	for _, c := range checks {
		for _, t := range c.attempts {
			if live[t.Incarnation] {
				queries[t.Incarnation] = append(queries[t.Incarnation], &api.OpenItem{RequestId: c.requestID, Attempt: t.Number})
			}
		}
	}
	unknown := m.queryUnknownAttempts(queries)
	for _, c := range checks {
		m.resolveOrphan(ctx, c, unknown, live)
	}
}

// suspectReservations returns the reservations that have been open for long, and those with an attempt of a missing
// instance, so that the absence of the instance is tracked from now on.
func (m *Manager) suspectReservations(live map[string]bool) []orphanCheck {
	now := m.cfg.Clock.Now()
	cutoff := now.Add(-m.cfg.orphanAfter()).UnixMilli()
	var out []orphanCheck
	m.holder.accounts.Range(func(_, v any) bool {
		a := v.(*account)
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, l := range a.leases() {
			l.Reservations(func(id string, r *budget.Reservation) {
				if r.SinceUnixMs <= cutoff || anyMissing(r.Attempts, live) {
					attempts := append([]budget.Attempt(nil), r.Attempts...)
					out = append(out, orphanCheck{a, l, id, r.Model, r.Bound, attempts})
				}
			})
		}
		return true
	})
	return out
}

func anyMissing(attempts []budget.Attempt, live map[string]bool) bool {
	for _, t := range attempts {
		if !live[t.Incarnation] {
			return true
		}
	}
	return false
}

// queryUnknownAttempts returns the attempts that their live entry instances do not know.
func (m *Manager) queryUnknownAttempts(queries map[string][]*api.OpenItem) map[budget.Attempt]bool {
	unknown := make(map[budget.Attempt]bool)
	for incarnation, items := range queries {
		open := m.queryOpen(incarnation, items)
		for i, o := range open {
			if !o {
				unknown[budget.Attempt{Incarnation: incarnation, Number: items[i].Attempt}] = true
			}
		}
	}
	return unknown
}

func (m *Manager) queryOpen(incarnation string, items []*api.OpenItem) []bool {
	req := &api.OpenRequest{Items: items}
	if incarnation == m.self {
		res, _ := service{m}.Open(m.backgroundCtx, req)
		return res.Open
	}
	client, ctx, cancel, err := m.link(incarnation).client(peerCallTimeout)
	if err != nil {
		return nil
	}
	defer cancel()
	res, err := client.Open(ctx, req)
	if err != nil || len(res.Open) != len(items) {
		return nil
	}
	return res.Open
}

func (m *Manager) resolveOrphan(ctx context.Context, c orphanCheck, unknown map[budget.Attempt]bool, live map[string]bool) {
	now := m.cfg.Clock.Now()
	lostAttempts := 0
	for _, t := range c.attempts {
		if unknown[t] {
			c.account.mu.Lock()
			m.holder.releaseAttempt(c.account, c.requestID, t, now)
			c.account.mu.Unlock()
			m.counters.orphanReleased.Inc(1)
		} else if !live[t.Incarnation] && m.absences.duration(t.Incarnation, live, now) >= m.cfg.orphanAfter() {
			lostAttempts++
		}
	}
	if lostAttempts == len(c.attempts) {
		m.chargeOrphan(ctx, c, now)
	}
}

func (m *Manager) chargeOrphan(ctx context.Context, c orphanCheck, now time.Time) {
	rec := &api.UsageRecord{
		RequestId: c.requestID,
		Customer:  c.account.id.Customer,
		Budget:    c.account.id.Budget,
		Lease:     c.lease.ID(),
		Model:     c.model,
		UnixMs:    now.UnixMilli(),
	}
	usage := m.fillUsage(ctx, rec, c.bound)
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if charge, ok := c.lease.SettleOrphan(c.requestID, usage); ok {
		m.holder.recordCharge(c.account, c.lease, rec, charge, usage, now)
	}
}

// fillUsage completes the record of a request of a lost instance with the usage that an engine reports, otherwise with the
// bound. It returns the tokens used.
func (m *Manager) fillUsage(ctx context.Context, rec *api.UsageRecord, bound budget.Tokens) budget.Tokens {
	prompt, generated, known := m.queryUsage(ctx, rec)
	if !known {
		m.counters.orphanAtBound.Inc(1)
		rec.GeneratedTokens, rec.AtBound = uint64(bound), true
		return bound
	}
	m.counters.orphanResolved.Inc(1)
	rec.PromptTokens, rec.GeneratedTokens = uint64(prompt), uint64(generated)
	return prompt + generated
}

func (m *Manager) queryUsage(ctx context.Context, rec *api.UsageRecord) (prompt, generated budget.Tokens, known bool) {
	if m.cfg.ResolveUsage == nil {
		return 0, 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return m.cfg.ResolveUsage(ctx, rec.RequestId, rec.Model)
}
