package bench

import (
	"testing"

	"pumiceshelf/internal/fleet"
	"pumiceshelf/internal/standin"
)

// TestFaultsDoNotDeadlockWithRecords guards against a deadlock: the store takes a run's mutex for each usage record, under its own.
func TestFaultsDoNotDeadlockWithRecords(t *testing.T) {
	r := &Run{Fleet: &fleet.Fleet{Objects: standin.NewObjects()}}
	r.adjustStoreFaults(func(f *standin.Faults) {
		f.Unavailable = true
		if !r.mu.TryLock() {
			t.Fatal("faults of the store are adjusted under the run's mutex")
		}
		r.mu.Unlock()
	})
	if !r.Fleet.Objects.Faults().Unavailable {
		t.Error("the store does not have the fault")
	}
}
