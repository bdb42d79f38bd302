package soak

import (
	"context"
	"testing"
	"time"

	// The processes run these: a change of them must not leave the last result of the short run in the cache of go test.
	_ "pumiceshelf/platform"
	_ "pumiceshelf/router"
)

// shortSeed is the seed of the short run, chosen without regard to its outcome.
const shortSeed = 1

// TestShortRun guards the guarantees of docs/design/hard-load-proof.md in real processes, whose faults overlap in ways that emulations in
// virtual time do not show. It also guards against a run that does not cover what it should.
func TestShortRun(t *testing.T) {
	if testing.Short() {
		t.Skip("starts separate processes")
	}
	r, err := Run(context.Background(), Config{Seed: shortSeed, Duration: 20 * time.Second, Instances: 6})
	if err != nil {
		t.Fatalf("fault of the soak test: %v", err)
	}
	t.Log(r.JSON())
	for _, trace := range r.Traces {
		t.Log(trace)
	}
	for _, v := range r.Violations {
		t.Error(v)
	}
	for _, figure := range []string{
		"resumed", "resumed_complete", "cold_starts", "arrivals_at_cold", "evacuations", "left", "full_endpoints_model", "full_endpoints_desk", "stops", "link_faults",
		"calls_at_busiest", "outages",
	} {
		if r.Extra[figure] == 0 {
			t.Errorf("the run did not cover %s", figure)
		}
	}
	if r.Answered == 0 || r.Refusals["402 budget-exhausted"] == 0 || r.Refusals["503 budget-rationed"] == 0 {
		t.Errorf("%d requests were answered; refusals: %v", r.Answered, r.Refusals)
	}
}
