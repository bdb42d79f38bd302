package gateway

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

// Guards against losses of live endpoints that are passed on to all instances while many endpoints break off their responses.
func TestOnlyEndedEndpointsOfManyThatLoseConnectionsAreReported(t *testing.T) {
	for _, c := range []struct {
		name           string
		live, ended    int
		reachedByOther bool
		reported       int
	}{
		{"live endpoints, more than are checked at once", maxRestartChecks + 36, 0, false, 0},
		{"live endpoints among ended ones", maxRestartChecks / 2, maxRestartChecks / 2, false, maxRestartChecks / 2},
		{"endpoints that only this instance cannot connect to", 0, maxRestartChecks, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				chooser := placement.New(openLimits{})
				g := &Gateway{config: Config{
					Chooser: chooser, Clock: clockwork.NewRealClock(),
					ReachedByOthers: func(context.Context, registry.Endpoint) bool { return c.reachedByOther },
					Dial: func(_ context.Context, _, address string) (net.Conn, error) {
						if address == "ended" {
							return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
						}
						// A busy endpoint takes a while to accept.
						time.Sleep(20 * time.Millisecond)
						a, b := net.Pipe()
						_ = b.Close()
						return a, nil
					},
				}}
				detector := &restartDetector{gateway: g, checked: make(map[string]bool)}
				var endpoints []registry.Endpoint
				for i := range c.live + c.ended {
					e := registry.Endpoint{ID: fmt.Sprintf("i-%d", i), Service: "model", Address: "live"}
					if i >= c.live {
						e.Address = "ended"
					}
					endpoints = append(endpoints, e)
				}
				// Each endpoint breaks off a response every 30 ms for 6 s, also while it is checked.
				for range 200 {
					for _, e := range endpoints {
						choice := chooser.Pick([]registry.Endpoint{e}, placement.Request{Service: "model"}, nil, time.Now())
						if choice.Ticket == nil {
							continue
						}
						detector.lost(e, placement.InvalidResponse)
						choice.Ticket.Done(placement.InvalidResponse, time.Now())
					}
					time.Sleep(30 * time.Millisecond)
				}
				time.Sleep(time.Second)
				Convey("only those that have ended are reported", t, func() {
					losses := chooser.Losses(time.Time{})
					So(losses, ShouldHaveLength, c.reported)
					for _, l := range losses {
						So(l.Endpoint.Address, ShouldEqual, "ended")
					}
				})
			})
		})
	}
}

// Guards against ends of endpoints that no other instance is told of because more endpoints ended at once, as of a failure domain without
// power, than are checked at the same time: the others would resume streams at what runs there next (ORDER).
func TestAllOfManyEndpointsThatEndAtOnceAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chooser := placement.New(openLimits{})
		detector := &restartDetector{checked: make(map[string]bool), gateway: &Gateway{config: Config{
			Chooser: chooser, Clock: clockwork.NewRealClock(),
			Dial: func(context.Context, string, string) (net.Conn, error) {
				time.Sleep(time.Millisecond)
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			},
		}}}
		const ended = 3*maxRestartChecks + 5
		for i := range ended {
			e := registry.Endpoint{ID: fmt.Sprintf("i-%d", i), Service: "model", Address: "ended"}
			detector.lost(e, placement.Unreachable)
		}
		time.Sleep(3 * crashCheckDelay)
		if losses := chooser.Losses(time.Time{}); len(losses) != ended {
			t.Errorf("%d of %d ended endpoints were reported within %v", len(losses), ended, 3*crashCheckDelay)
		}
		if len(detector.checked) != 0 {
			t.Errorf("%d checks remain", len(detector.checked))
		}
	})
}

// Guards against an endpoint that is taken for one that lives on, because its next process accepts connections by the time that other
// instances are asked whether they reach it (ORDER).
func TestEndpointThatStartsAgainDuringItsCheckIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chooser := placement.New(openLimits{})
		startsAt := time.Now().Add(crashCheckDelay + lossRecordTime + 10*time.Millisecond)
		detector := &restartDetector{checked: make(map[string]bool), gateway: &Gateway{config: Config{
			Chooser: chooser, Clock: clockwork.NewRealClock(),
			Dial: func(context.Context, string, string) (net.Conn, error) {
				if time.Now().Before(startsAt) {
					return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
				}
				a, b := net.Pipe()
				_ = b.Close()
				return a, nil
			},
			ReachedByOthers: func(context.Context, registry.Endpoint) bool {
				time.Sleep(20 * time.Millisecond)
				return true
			},
		}}}
		detector.lost(registry.Endpoint{ID: "i-1", Service: "model", Address: "10.1.0.1:80"}, placement.InvalidResponse)
		time.Sleep(time.Second)
		if losses := chooser.Losses(time.Time{}); len(losses) != 1 {
			t.Errorf("%d losses were reported, want that of the endpoint that ended and started again", len(losses))
		}
	})
}
