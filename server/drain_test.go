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

func TestCallerDisconnects(t *testing.T) {
	Convey("Given a caller that disconnects in the middle of a stream", t, func() {
		r := newHarness()
		Reset(r.close)
		disconnectMidStream := func(model string, header ...string) {
			ctx, cancel := context.WithCancel(context.Background())
			body := strings.Replace(chatBody(model, true), `"stream"`, `"max_tokens":400,"stream"`, 1)
			req, _ := http.NewRequestWithContext(ctx, "POST", r.callerServer.URL+chatPath, strings.NewReader(body))
			req.Header.Set("Authorization", "Bearer "+customerToken)
			for i := 0; i < len(header); i += 2 {
				req.Header.Set(header[i], header[i+1])
			}
			res, err := r.callerTransport.RoundTrip(req)
			So(err, ShouldBeNil)
			_, _ = res.Body.Read(make([]byte, 1))
			cancel()
			res.Body.Close()
			waitFor(func() bool { return len(r.quota.settledUsages()) == 1 && r.server.InProgress() == 0 })
		}
		Convey("the engine run is canceled and the generated tokens are charged", func() {
			disconnectMidStream("price")
			run := r.engineRuns()[0]
			So(run.Canceled, ShouldBeTrue)
			So(r.quota.settledUsages()[0].Generated, ShouldEqual, run.Generated)
			So(r.quota.settledUsages()[0].AtBound, ShouldBeFalse)
		})
		Convey("a keyed non-idempotent run continues, and a duplicate request gets its response", func() {
			disconnectMidStream("dose", "Idempotency-Key", "k")
			So(r.engineRuns()[0].Finished, ShouldBeTrue)
			body := strings.Replace(chatBody("dose", true), `"stream"`, `"max_tokens":400,"stream"`, 1)
			duplicate := r.send("POST", chatPath, body, "Idempotency-Key", "k")
			So(duplicate.header.Get(headerReplayed), ShouldEqual, "true")
			So(len(r.engineRuns()), ShouldEqual, 1)
		})
	})
}

// sendWithoutAssertions sends a chat request. Unlike send, it may be called outside of the test's goroutine.
func (r *harness) sendWithoutAssertions(body string) callerResponse {
	req, err := http.NewRequest("POST", r.callerServer.URL+chatPath, strings.NewReader(body))
	if err != nil {
		return callerResponse{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+customerToken)
	res, err := r.callerTransport.RoundTrip(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return callerResponse{status: res.StatusCode, header: res.Header, body: string(data), err: err, connectionClosed: res.Close}
}

func TestDrain(t *testing.T) {
	Convey("Given a draining server with requests in progress", t, func() {
		r := newHarness()
		Reset(r.close)
		clock := clockwork.NewFakeClockAt(time.Now())
		r.server.cfg.Clock = clock
		release := make(chan struct{})
		r.server.cfg.Quota = &blockingQuota{fakeQuota: r.quota, release: release}
		var wg sync.WaitGroup
		responses := make([]callerResponse, 4)
		for i := range responses {
			wg.Go(func() { responses[i] = r.sendWithoutAssertions(chatBody("price", i%2 == 0)) })
		}
		waitFor(func() bool { return len(r.engineRuns()) == len(responses) })
		done := make(chan error, 1)
		go func() { done <- r.server.Drain(context.Background()) }()
		waitFor(r.server.drainStarted.Load)
		So(clock.BlockUntilContext(context.Background(), 1), ShouldBeNil)
		So(r.send("GET", healthPath, "").status, ShouldEqual, 503)

		Convey("requests that arrive early in the drain are served and their connections closed, later ones are refused", func() {
			clock.Advance(drainQuietPeriod - drainPollInterval)
			lateResponse := make(chan callerResponse, 1)
			go func() { lateResponse <- r.sendWithoutAssertions(chatBody("price", false)) }()
			waitFor(func() bool { return len(r.engineRuns()) == len(responses)+1 })
			clock.Advance(drainQuietPeriod - drainPollInterval)
			So(r.server.refusingRequests.Load(), ShouldBeFalse)
			clock.Advance(drainPollInterval)
			waitFor(r.server.refusingRequests.Load)

			got := r.sendChat("price", false)
			So(decodeProblem(got).Reason, ShouldEqual, ReasonDraining)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
			So(got.connectionClosed, ShouldBeTrue)
			So(len(done), ShouldEqual, 0)
			close(release)
			wg.Wait()
			waitFor(func() bool { clock.Advance(drainPollInterval); return len(done) == 1 })
			So(<-done, ShouldBeNil)
			late := <-lateResponse
			So(late.connectionClosed, ShouldBeTrue)
			for _, got := range append(responses, late) {
				So(got.err, ShouldBeNil)
				So(responseText(got), ShouldEqual, expectedText("price"))
			}
			So(len(r.engineRuns()), ShouldEqual, len(responses)+1)
		})
		Convey("requests that keep arriving do not delay the drain beyond its limit", func() {
			for range maxDrainQuietWait / drainPollInterval {
				r.server.lastArrivalUnixNano.Store(clock.Now().UnixNano())
				clock.Advance(drainPollInterval)
			}
			waitFor(r.server.refusingRequests.Load)
			close(release)
			wg.Wait()
			waitFor(func() bool { clock.Advance(drainPollInterval); return len(done) == 1 })
			So(<-done, ShouldBeNil)
		})
	})
}
