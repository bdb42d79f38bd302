package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/placement"
	"pumiceshelf/registry"
	"pumiceshelf/routing"
)

// openLimits limits no endpoint.
type openLimits struct{}

func (openLimits) Limited(registry.Endpoint) bool           { return false }
func (openLimits) Allows(registry.Endpoint, time.Time) bool { return true }
func (openLimits) Unused(registry.Endpoint, time.Time) bool { return false }
func (openLimits) Peek(registry.Endpoint, time.Time) (allows, unused bool, rate float64) {
	return true, false, -1
}
func (openLimits) Take(registry.Endpoint, time.Time) {}
func (openLimits) Rank(registry.Endpoint) (int, int) { return 0, 1 }

// TestStoppedWatchdogReservesNothing guards against a check that began before its attempt ended and reserves an endpoint for the
// next attempt of the same request, whose own reservation is then lost.
func TestStoppedWatchdogReservesNothing(t *testing.T) {
	Convey("a check that runs after the watchdog was stopped reserves no endpoint", t, func() {
		now := time.Now()
		ticket := placement.New(openLimits{}).Pick([]registry.Endpoint{{ID: "i-1", Service: "model"}}, placement.Request{Service: "model"}, nil, now).Ticket
		moves := 0
		route := &routing.Route{LatencyObjective: time.Hour}
		d := startWatchdog(ticket, route, func(time.Time, time.Duration) { moves++ }, func() time.Time { return now })
		d.stop()
		now = now.Add(3 * time.Hour)
		d.check()
		So(moves, ShouldEqual, 0)
	})
}
