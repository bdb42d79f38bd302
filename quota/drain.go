package quota

import (
	"context"
	"fmt"
)

// Drain returns all leases. It waits until the requests reserved here are settled, their records are durable and the
// leases are closed. If ctx ends first, the error states how many leases, records and settlements remain. New reservations
// by other instances are rejected.
func (m *Manager) Drain(ctx context.Context) error {
	m.holder.draining.Store(true)
	ticker := m.cfg.Clock.NewTicker(m.cfg.flushInterval() / ticksPerFlush)
	defer ticker.Stop()
	for {
		m.resend(ctx)
		m.writeRecords(ctx)
		m.writeLedgers(ctx)
		leases, records, settlements := len(m.Status()), m.segments.pendingCount(), m.requests.undeliveredCount()
		if leases+records+settlements == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("quota: drain incomplete: %d leases, %d records and %d settlements remain: %w",
				leases, records, settlements, ctx.Err())
		case <-ticker.Chan():
		}
	}
}
