package router

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/endpointload"
	"pumiceshelf/instance"
	"pumiceshelf/linkload"
	"pumiceshelf/members"
	"pumiceshelf/registry"
)

// TestBusyLink guards against bytes that are not measured, and against an instance that leaves rotation where nothing asks for it: without
// the rate of its link, while no load reports are shared, or if it is the only one.
func TestBusyLink(t *testing.T) {
	Convey("Given an instance that reads more from its callers than its link can carry", t, func() {
		clock := clockwork.NewFakeClock()
		logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
		newRouter := func(mbps float64, seeds ...string) *Router {
			r := &Router{
				config: Config{Clock: clock, Log: logger}, link: newLink(&api.RouterSettings{LinkMbps: mbps}), loads: endpointload.New(),
				members: members.New(members.Config{
					Incarnation: instance.NewIncarnation("front-1"), Self: &api.FleetMember{PeerAddress: "front-1"}, Clock: clock, Log: logger, Seeds: seeds,
				}),
			}
			r.loads.Record(registry.Endpoint{ID: "i-1"}, endpointload.Report{Slots: 8, WorkTime: 1}, clock.Now())
			return r
		}
		read := func(r *Router) {
			ours, theirs := net.Pipe()
			dial := measureDial(r.link, func(context.Context, string, string) (net.Conn, error) { return ours, nil })
			conn, err := dial(context.Background(), "tcp", "")
			So(err, ShouldBeNil)
			r.linkBusy()
			go func() {
				_, _ = theirs.Write(make([]byte, 100_000))
				_ = theirs.Close()
			}()
			_, err = io.Copy(io.Discard, conn)
			So(err, ShouldBeNil)
			clock.Advance(500 * time.Millisecond)
		}
		Convey("it is busy, and connections get more time", func() {
			r := newRouter(1, "front-2")
			read(r)
			So(r.linkBusy(), ShouldBeTrue)
			So(r.linkFull(), ShouldBeTrue)
			clock.Advance(time.Second)
			So(r.linkFull(), ShouldBeFalse)
		})
		Convey("it is not if its link can carry that, or its rate is not known", func() {
			for _, mbps := range []float64{0, 100} {
				r := newRouter(mbps, "front-2")
				read(r)
				So(r.linkBusy(), ShouldBeFalse)
			}
		})
		Convey("it is not if there is no other instance, or no load reports are shared", func() {
			r := newRouter(1)
			read(r)
			So(r.linkBusy(), ShouldBeFalse)
			So(r.linkFull(), ShouldBeFalse)
			r = newRouter(1, "front-2")
			r.loads = endpointload.New()
			read(r)
			So(r.linkBusy(), ShouldBeFalse)
			So(r.linkFull(), ShouldBeFalse)
		})
		Convey("connections get the usual time if its rate is not known", func() {
			r := newRouter(0, "front-2")
			r.connectOverLink()
			So(r.busyLink, ShouldBeNil)
		})
		Convey("connections that are accepted are measured as well", func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			link := linkload.New(1000)
			listener := measureListener(link, l)
			defer listener.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			defer caller.Close()
			conn, err := listener.Accept()
			So(err, ShouldBeNil)
			defer conn.Close()
			now := time.Unix(1000, 0)
			link.Busy(now)
			_, err = conn.Write(make([]byte, 2000))
			So(err, ShouldBeNil)
			busy, _ := link.Busy(now.Add(time.Second))
			So(busy, ShouldBeTrue)
		})
	})
}

// TestTimeoutsOverTheLink guards against connections without a timeout, and against a longer one while the link is free: an endpoint on a
// lost path would hold requests.
func TestTimeoutsOverTheLink(t *testing.T) {
	Convey("Given an instance with a known link, and others to which no connection is established", t, func() {
		clock := clockwork.NewRealClock()
		logger := &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
		r := &Router{
			config: Config{
				Clock: clock, Log: logger, Metrics: metrics.NewRegistry(),
				Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				},
			},
			link: newLink(&api.RouterSettings{LinkMbps: 1}), loads: endpointload.New(),
			members: members.New(members.Config{
				Incarnation: instance.NewIncarnation("front-1"), Self: &api.FleetMember{PeerAddress: "front-1"}, Clock: clock, Log: logger, Seeds: []string{"front-2"},
			}),
		}
		r.loads.Record(registry.Endpoint{ID: "i-1"}, endpointload.Report{Slots: 8, WorkTime: 1}, clock.Now())
		dials := r.connectOverLink()
		measure := func(dial dialFunc) time.Duration {
			begin := time.Now()
			_, err := dial(context.Background(), "tcp", "i-1")
			So(err, ShouldNotBeNil)
			return time.Since(begin)
		}
		Convey("the usual timeouts apply while the link is free", func() {
			So(r.linkFull(), ShouldBeFalse)
			So(measure(dials.endpoint), ShouldBeBetween, 300*time.Millisecond, memberDialTimeout)
			So(measure(dials.instance), ShouldBeBetween, 300*time.Millisecond, memberDialTimeout)
			So(measure(dials.member), ShouldBeBetween, memberDialTimeout, linkload.MaxDialTime)
		})
		Convey("a longer one applies while it is full", func() {
			r.linkFull()
			r.link.Received(1_000_000)
			time.Sleep(50 * time.Millisecond)
			So(r.linkFull(), ShouldBeTrue)
			for _, dial := range []dialFunc{dials.endpoint, dials.instance, dials.member} {
				So(measure(dial), ShouldBeBetween, linkload.MaxDialTime, 2*linkload.MaxDialTime)
				r.link.Received(1_000_000)
			}
		})
	})
}
