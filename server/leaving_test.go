package server

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
)

func TestCallerGone(t *testing.T) {
	Convey("Given a caller that goes away in the middle of a stream", t, func() {
		r := newRig()
		Reset(r.close)
		leave := func(model string, header ...string) {
			ctx, cancel := context.WithCancel(context.Background())
			body := strings.Replace(chatBody(model, true), `"stream"`, `"max_tokens":400,"stream"`, 1)
			req, _ := http.NewRequestWithContext(ctx, "POST", r.front.URL+chatPath, strings.NewReader(body))
			req.Header.Set("Authorization", "Bearer "+token)
			for i := 0; i < len(header); i += 2 {
				req.Header.Set(header[i], header[i+1])
			}
			res, err := r.caller.RoundTrip(req)
			So(err, ShouldBeNil)
			_, _ = res.Body.Read(make([]byte, 1))
			cancel()
			res.Body.Close()
			until(func() bool { return len(r.keeper.bills()) == 1 && r.server.InProgress() == 0 })
		}
		Convey("the engine is told to stop and what ran is billed", func() {
			leave("price")
			run := r.runs()[0]
			So(run.Canceled, ShouldBeTrue)
			So(r.keeper.bills()[0].Generated, ShouldEqual, run.Generated)
			So(r.keeper.bills()[0].AtBound, ShouldBeFalse)
		})
		Convey("a keyed non-idempotent run goes on, and a repeat finds its answer", func() {
			leave("dose", "Idempotency-Key", "k")
			So(r.runs()[0].Finished, ShouldBeTrue)
			body := strings.Replace(chatBody("dose", true), `"stream"`, `"max_tokens":400,"stream"`, 1)
			again := r.send("POST", chatPath, body, "Idempotency-Key", "k")
			So(again.header.Get(headerReplayed), ShouldEqual, "true")
			So(len(r.runs()), ShouldEqual, 1)
		})
	})
}

// ask sends a request from another goroutine than the test's.
func (r *rig) ask(body string) reply {
	req, err := http.NewRequest("POST", r.front.URL+chatPath, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := r.caller.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(data), err: err, closed: res.Close}
}

func TestDrain(t *testing.T) {
	Convey("Given a server that drains with requests in progress", t, func() {
		r := newRig()
		Reset(r.close)
		clock := clockwork.NewFakeClockAt(time.Now())
		r.server.cfg.Clock = clock
		hold := make(chan struct{})
		r.server.cfg.Keeper = &slowKeeper{keeper: r.keeper, release: hold}
		var wg sync.WaitGroup
		replies := make([]reply, 4)
		for i := range replies {
			wg.Go(func() { replies[i] = r.ask(chatBody("price", i%2 == 0)) })
		}
		until(func() bool { return len(r.runs()) == len(replies) })
		done := make(chan error, 1)
		go func() { done <- r.server.Drain(context.Background()) }()
		until(r.server.leaving.Load)
		So(clock.BlockUntilContext(context.Background(), 1), ShouldBeNil)
		So(r.send("GET", healthPath, "").status, ShouldEqual, 503)

		Convey("requests that still come are served at first and told to go elsewhere, later ones are refused", func() {
			clock.Advance(drainQuiet - drainPoll)
			late := make(chan reply, 1)
			go func() { late <- r.ask(chatBody("price", false)) }()
			until(func() bool { return len(r.runs()) == len(replies)+1 })
			clock.Advance(drainQuiet - drainPoll)
			So(r.server.draining.Load(), ShouldBeFalse)
			clock.Advance(drainPoll)
			until(r.server.draining.Load)

			got := r.chat("price", false)
			So(problemOf(got).Reason, ShouldEqual, ReasonDraining)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
			So(got.closed, ShouldBeTrue)
			So(len(done), ShouldEqual, 0)
			close(hold)
			wg.Wait()
			until(func() bool { clock.Advance(drainPoll); return len(done) == 1 })
			So(<-done, ShouldBeNil)
			last := <-late
			So(last.closed, ShouldBeTrue)
			for _, got := range append(replies, last) {
				So(got.err, ShouldBeNil)
				So(textOf(got), ShouldEqual, expected("price"))
			}
			So(len(r.runs()), ShouldEqual, len(replies)+1)
		})
		Convey("callers that keep coming do not hold it up for ever", func() {
			for range drainGrace / drainPoll {
				r.server.arrived.Store(clock.Now().UnixNano())
				clock.Advance(drainPoll)
			}
			until(r.server.draining.Load)
			close(hold)
			wg.Wait()
			until(func() bool { clock.Advance(drainPoll); return len(done) == 1 })
			So(<-done, ShouldBeNil)
		})
	})
}
