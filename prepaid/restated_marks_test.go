package prepaid

import (
	"context"
	"testing"
	"time"

	"pumiceshelf/instance"
)

// Guards against a holder that takes up again, after the store came back from a copy, what its successor had closed at a mark and others have
// leased since (BUDGET).
func TestPausedHolderRestatesNoMoreThanItsMark(t *testing.T) {
	prepaid := int64(1_000_000)
	var managers []*Manager
	listed := func(m *Manager) (out []instance.Incarnation) {
		for _, o := range managers {
			if o.config.Incarnation.Name() != m.config.Incarnation.Name() {
				out = append(out, o.config.Incarnation)
			}
		}
		return out
	}
	clock, store, f, ms := witnessedManagers(&prepaid, listed, "muscat-1", "muscat-2", "muscat-3", "muscat-4", "muscat-5")
	managers = ms
	ctx := context.Background()
	holder, other := managers[0], managers[1]
	// Only the holder leases in advance, and later the other.
	for _, m := range managers {
		m.config.IsTokenHolder = func() bool { return m == holder }
	}
	spent := useUp(holder, 1_000)
	holder.raiseMarks(ctx)
	clock.Advance(time.Second)
	holder.updateRates()
	holder.resizeLeases(ctx)
	holder.raiseMarks(ctx)
	holder.resizeLeases(ctx)
	// The copy has the holder's lease. Then the holder is paused and a successor of its name closes at the mark.
	copied := store.copy()
	successor := newEraManager(store, "muscat-1", clock, &prepaid, 5)
	f.addWitness(successor)
	successor.config.Witnesses = func() []instance.Incarnation { return listed(successor) }
	successor.config.IsTokenHolder = func() bool { return false }
	for range 3 {
		successor.resizeLeases(ctx)
		successor.sealPredecessors(ctx)
	}
	other.config.IsTokenHolder = func() bool { return true }
	for range 6 {
		clock.Advance(2 * time.Second)
		other.resizeLeases(ctx)
		other.raiseMarks(ctx)
	}
	spent += useUpWitnessed(ctx, clock, other, prepaid)
	store.restore(copied)
	managers = append(managers, successor)
	_ = successor.readLedger(ctx)
	for _, m := range []*Manager{other, successor} {
		m.resizeLeases(ctx)
	}
	w, _ := holder.account("alwusta").addWaiter(39_000)
	for range 30 {
		for _, m := range []*Manager{holder, other, successor} {
			m.raiseMarks(ctx)
			m.resizeLeases(ctx)
		}
		clock.Advance(300 * time.Millisecond)
	}
	select {
	case o := <-w.done:
		if o == Granted {
			spent += 39_000
		}
	default:
	}
	spent += useUpWitnessed(ctx, clock, holder, prepaid)
	if spent > prepaid {
		t.Errorf("%d spent of %d prepaid", spent, prepaid)
	}
}

// useUpWitnessed uses tokens of a manager until none is granted for a while, and returns how many.
func useUpWitnessed(ctx context.Context, clock interface{ Advance(time.Duration) }, m *Manager, tokens int64) (spent int64) {
	a := m.account("alwusta")
	misses := 0
	for spent < tokens && misses < 12 {
		if !a.reserve(1_000) {
			misses++
			w, e := a.addWaiter(1_000)
			for range 4 {
				m.raiseMarks(ctx)
				m.resizeLeases(ctx)
				clock.Advance(300 * time.Millisecond)
			}
			if a.removeWaiter(e) || <-w.done != Granted {
				continue
			}
			misses = 0
			a.settle(1_000, 1_000)
			spent += 1_000
			continue
		}
		misses = 0
		a.settle(1_000, 1_000)
		spent += 1_000
	}
	return spent
}

// Guards against a holder that stays bound by lost witnesses, which an update of unknown outcome has replaced.
func TestHolderLeavesLostWitnessesAfterALostResponse(t *testing.T) {
	prepaid := int64(1_000_000)
	var managers []*Manager
	listed := func(m *Manager) (out []instance.Incarnation) {
		for _, o := range managers {
			if o != m {
				out = append(out, o.config.Incarnation)
			}
		}
		return out
	}
	clock, store, f, ms := witnessedManagers(&prepaid, listed, "muscat-1", "muscat-2", "muscat-3", "muscat-4", "muscat-5")
	managers = ms
	ctx := context.Background()
	holder, other := managers[0], managers[1]
	for _, m := range managers {
		m.config.IsTokenHolder = func() bool { return m == holder }
	}
	useUp(holder, 1_000)
	holder.raiseMarks(ctx)
	clock.Advance(time.Second)
	holder.resizeLeases(ctx)
	holder.raiseMarks(ctx)
	w, _ := holder.account("alwusta").addWaiter(30_000)
	for _, gone := range managers[3:] {
		delete(f.witnesses, gone.config.Incarnation)
	}
	managers = managers[:3]
	holder.raiseMarks(ctx)
	store.failureMode = "lost"
	holder.resizeLeases(ctx)
	store.failureMode = ""
	other.config.IsTokenHolder = func() bool { return true }
	useUp(other, 1_000)
	for range 600 {
		holder.raiseMarks(ctx)
		holder.updateRates()
		holder.resizeLeases(ctx)
		clock.Advance(100 * time.Millisecond)
	}
	select {
	case <-w.done:
	default:
		t.Error("the request still waits after a minute, with the store available")
	}
}
