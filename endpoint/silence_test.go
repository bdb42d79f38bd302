package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// serveAfter makes the engine serve nothing until a time, and then drop the requests whose connection was closed. Those with the
// method late are served a moment after the others.
func (r *fixture) serveAfter(at time.Time, late string) {
	r.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		// net/http notices that the client has left once the body is read.
		body, _ := io.ReadAll(req.Body)
		req.Body = io.NopCloser(bytes.NewReader(body))
		time.Sleep(time.Until(at))
		if req.Method == late {
			time.Sleep(20 * time.Millisecond)
		}
		if req.Context().Err() == nil {
			r.engine.ServeHTTP(w, req)
		}
	})
}

// TestSilentEngineKeepsItsCall guards against a call that is canceled because its engine answers nobody for a moment, and which
// the engine drops then.
func TestSilentEngineKeepsItsCall(t *testing.T) { synctest.Test(t, testSilentEngineKeepsItsCall) }

func testSilentEngineKeepsItsCall(t *testing.T) {
	const stallTimeout, silence = 200 * time.Millisecond, 300 * time.Millisecond
	for _, stream := range []bool{false, true} {
		for _, late := range []string{"", http.MethodPost, http.MethodGet} {
			Convey("a call to an engine that is silent for longer than StallTimeout gets its response, "+map[bool]string{false: "complete", true: "as a stream"}[stream]+", late "+late, t, func() {
				r := newFixture(time.Hour, nil)
				Reset(r.close)
				r.client.cfg.ProgressTimeout, r.client.cfg.StallTimeout = time.Hour, stallTimeout
				r.serveAfter(time.Now().Add(silence), late)
				start := time.Now()
				res := r.do("a", stream)
				So(res.Status, ShouldEqual, Complete)
				So(res.Reason, ShouldEqual, ReasonNone)
				So(time.Since(start), ShouldBeLessThan, maxDetection)
				So(len(r.engine.Runs()), ShouldEqual, 1)
				if stream {
					So(r.got.String(), ShouldEqual, expectedText())
					return
				}
				So(completionText(res.Body), ShouldEqual, expectedText())
			})
		}
	}
}

// TestOverdueCallEnds guards against a call that outlasts its caller or its time limit while its engine is silent.
func TestOverdueCallEnds(t *testing.T) { synctest.Test(t, testOverdueCallEnds) }

func testOverdueCallEnds(t *testing.T) {
	Convey("Given an engine that is silent for good", t, func() {
		r := newFixture(time.Second, nil)
		Reset(r.close)
		r.client.cfg.StallTimeout = 100 * time.Millisecond
		r.server.Config.Handler = http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body)
			<-req.Context().Done()
		})
		start := time.Now()
		Convey("a call ends after the attempts to resume it", func() {
			res := r.do("a", false)
			So(res.Status, ShouldEqual, Incomplete)
			So(res.Reason, ShouldEqual, ReasonNoProgress)
			// The call waits for StallTimeout, each of four attempts to resume it and the cancellation for ProgressTimeout. Three
			// of them follow a pause.
			So(time.Since(start), ShouldEqual, 5275*time.Millisecond)
		})
		Convey("a call whose caller disconnects while it is overdue ends at once", func() {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(150*time.Millisecond, cancel)
			res := r.client.Do(ctx, r.call("a", true), func(StreamEvent) error { return nil })
			So(res.Status, ShouldEqual, Canceled)
			So(res.Reason, ShouldEqual, ReasonCallerCanceled)
			// The cancellation at the engine takes ProgressTimeout more.
			So(time.Since(start), ShouldEqual, 1150*time.Millisecond)
		})
		Convey("a call whose deadline passes while it is overdue ends at once", func() {
			call := r.call("a", false)
			call.Deadline = start.Add(150 * time.Millisecond)
			res := r.client.Do(context.Background(), call, nil)
			So(res.Status, ShouldEqual, Canceled)
			So(res.Reason, ShouldEqual, ReasonDeadline)
			So(time.Since(start), ShouldEqual, 1150*time.Millisecond)
		})
	})
	Convey("a call whose dial hangs is not sent, and ends after StallTimeout", t, func() {
		r := newFixture(time.Second, func(dialFunc) dialFunc {
			return func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
		})
		Reset(r.close)
		r.client.cfg.StallTimeout = 100 * time.Millisecond
		start := time.Now()
		So(r.do("a", true).Status, ShouldEqual, NotSent)
		So(time.Since(start), ShouldEqual, r.client.cfg.StallTimeout)
	})
}
