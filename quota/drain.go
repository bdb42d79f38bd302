package quota

import (
	"context"
	"fmt"
)

// Drain gives all leases back. It waits until the requests reserved here are settled, their records durable and the
// leases closed, or until ctx ends; it then says what is left. New reservations of other instances are turned away.
func (m *Manager) Drain(ctx context.Context) error {
	m.holder.draining.Store(true)
	ticker := m.cfg.Clock.NewTicker(m.cfg.flushInterval() / tickDivisor)
	defer ticker.Stop()
	for {
		m.resend(ctx)
		m.writeRecords(ctx)
		m.writeLedgers(ctx)
		leases, records, settlements := len(m.Status()), m.segments.pending(), m.entry.undelivered()
		if leases+records+settlements == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("quota: drain ended with %d leases, %d records and %d settlements left: %w",
				leases, records, settlements, ctx.Err())
		case <-ticker.Chan():
		}
	}
}
