package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/endpointload"
	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

// TestCapacityCountsAgainAfterPartition guards against refusals after a partition that last until a request happens to be sent to the
// other failure domain: an ejection lasts up to 4 s, and requests that are refused try nothing.
func TestCapacityCountsAgainAfterPartition(t *testing.T) {
	Convey("Given a service of which a failure domain cannot be reached", t, func() {
		now, loads, cut := time.Unix(1000, 0), endpointload.New(), true
		dial := func(context.Context, string, string) (net.Conn, error) {
			if cut {
				return nil, errors.New("no route")
			}
			one, other := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, other) }()
			return one, nil
		}
		chooser := placement.New(openLimits{})
		g := New(Config{
			Loads: loads, Chooser: chooser, Clock: clockwork.NewFakeClockAt(now), Metrics: metrics.NewRegistry(), Dial: dial,
			Log: &log.Logger{Handler: discard.New()},
		})
		s := g.shedding
		var endpoints []registry.Endpoint
		for i := range 6 {
			e := registry.Endpoint{ID: fmt.Sprintf("i-%d", i), Service: "s", Domain: fmt.Sprintf("hall-%d", i%2), StartedUnixMilli: 1}
			loads.Record(e, endpointload.Report{Running: 6, Slots: 6, WorkTime: 1}, now)
			endpoints = append(endpoints, e)
		}
		for range 3 {
			for _, e := range endpoints {
				if e.Domain == "hall-1" {
					if c := chooser.Pick([]registry.Endpoint{e}, placement.Request{Service: "s"}, nil, now); c.Ticket != nil {
						c.Ticket.Done(placement.Unreachable, now)
					}
				}
			}
		}
		So(s.sumRoom(endpoints, false, now).Endpoints, ShouldEqual, 3)
		probe := func() {
			for _, e := range s.nextUnreached(now) {
				s.probeUnreached(context.Background(), e)
			}
		}
		Convey("its capacity does not count while it cannot be reached", func() {
			probe()
			So(s.sumRoom(endpoints, false, now).Endpoints, ShouldEqual, 3)
		})
		Convey("one connection makes its capacity count, and its endpoints get requests", func() {
			cut = false
			probe()
			So(s.sumRoom(endpoints, false, now).Endpoints, ShouldEqual, 6)
			got := make(map[string]bool)
			for range 6 {
				got[chooser.Pick(endpoints, placement.Request{Service: "s"}, nil, now).Ticket.Endpoint.ID] = true
			}
			So(got, ShouldHaveLength, 6)
		})
		Convey("nothing is probed once no decision leaves it out", func() {
			So(s.nextUnreached(now.Add(unreachedTTL)), ShouldBeEmpty)
		})
	})
}
