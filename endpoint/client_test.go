package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/memorynet"
	"pumiceshelf/internal/standin"
)

const capTokens = 6

func discardLogger() log.Interface { return &log.Logger{Handler: discard.New()} }

// fixture is an engine, a client that reaches it over connections in memory, and the text that the caller of a stream received. It
// runs in a bubble of synctest.
type fixture struct {
	network *memorynet.Network
	engine  *standin.Engine
	server  *httptest.Server
	client  *HTTPClient
	got     strings.Builder
}

// newFixture starts an engine. wrap, unless it is nil, changes how the client dials it.
func newFixture(progress time.Duration, wrap func(dialFunc) dialFunc) *fixture {
	r := &fixture{network: new(memorynet.Network), engine: standin.NewEngine(standin.EngineConfig{Models: []string{"m"}})}
	r.server = r.network.NewServer(r.engine)
	dial := dialFunc(r.network.DialContext)
	if wrap != nil {
		dial = wrap(dial)
	}
	r.client = New(Config{ProgressTimeout: progress, Dial: dial, Log: discardLogger()})
	return r
}

func (r *fixture) close() {
	r.client.Close()
	r.server.CloseClientConnections()
	r.server.Close()
	// The engine's steps must end within the bubble.
	time.Sleep(10 * time.Second)
}

func chatBody(stream bool) []byte {
	return fmt.Appendf(nil, `{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"a lamp"}]}`, stream, capTokens)
}

func (r *fixture) call(id string, stream bool) Call {
	return Call{
		RequestID: id, Endpoint: "e", URL: r.server.URL, Method: "POST", Path: "/v1/chat/completions", Body: chatBody(stream),
		Header: http.Header{headerRequestID: {id}}, Stream: stream, ModelCall: true, CapTokens: capTokens,
	}
}

func (r *fixture) do(id string, stream bool) Result {
	return r.client.Do(context.Background(), r.call(id, stream), func(e StreamEvent) error {
		var c struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		err := json.Unmarshal(e.Data, &c)
		for _, choice := range c.Choices {
			r.got.WriteString(choice.Delta.Content)
		}
		return err
	})
}

func expectedText() string {
	model, prompt, _, _ := standin.ParsePrompt(chatBody(true))
	return standin.Answer(model, prompt, capTokens)
}

func completionText(data []byte) string {
	var c struct {
		Choices []struct{ Message struct{ Content string } }
	}
	So(json.Unmarshal(data, &c), ShouldBeNil)
	return c.Choices[0].Message.Content
}

func TestCalls(t *testing.T) { synctest.Test(t, testCalls) }

func testCalls(t *testing.T) {
	Convey("Given an engine", t, func() {
		r := newFixture(time.Minute, nil)
		Reset(r.close)
		full := Usage{PromptTokens: 2, GeneratedTokens: capTokens, Known: true}

		Convey("a stream arrives completely with its usage", func() {
			res := r.do("a", true)
			So(res.Status, ShouldEqual, Complete)
			So(res.Usage, ShouldResemble, full)
			So(r.got.String(), ShouldEqual, expectedText())
		})
		Convey("a non-streaming response arrives with its usage", func() {
			res := r.do("a", false)
			So(res.Status, ShouldEqual, Complete)
			So(res.Usage, ShouldResemble, full)
			So(completionText(res.Body), ShouldEqual, expectedText())
		})
		streams := []struct {
			name   string
			faults standin.EngineFaults
		}{
			{"that is interrupted is resumed", standin.EngineFaults{AbortAfter: 2}},
			{"that is interrupted repeatedly is resumed as long as it makes progress", standin.EngineFaults{AbortAfter: 1, AbortResumed: true}},
			{"with a gap is resumed before the gap", standin.EngineFaults{SkipEvent: 3}},
			{"with duplicate events is relayed without them", standin.EngineFaults{DuplicateEvents: true}},
		}
		for _, c := range streams {
			Convey("a stream "+c.name, func() {
				r.engine.SetFaults(c.faults)
				res := r.do("a", true)
				So(res.Status, ShouldEqual, Complete)
				So(r.got.String(), ShouldEqual, expectedText())
				So(len(r.engine.Runs()), ShouldEqual, 1)
			})
		}
		Convey("a truncated non-streaming response is assembled from the engine's stream without running the request again", func() {
			for _, f := range []standin.EngineFaults{{Truncate: true}, {TruncateSilently: true}} {
				r.engine.SetFaults(f)
				res := r.do("a", false)
				So(res.Status, ShouldEqual, Complete)
				So(completionText(res.Body), ShouldEqual, expectedText())
			}
			So(len(r.engine.Runs()), ShouldEqual, 2)
		})
		failures := []struct {
			name   string
			faults standin.EngineFaults
			status Status
			reason Reason
		}{
			{"a response with the ID of another request", standin.EngineFaults{SwapResponse: true}, Incomplete, ReasonWrongID},
			{"a response with the ID of another request in its body", standin.EngineFaults{SwapBody: true}, Incomplete, ReasonWrongID},
			{"a refusal for lack of capacity", standin.EngineFaults{Busy: true}, Refused, ReasonBusy},
			{"a rejection", standin.EngineFaults{Reject: true}, Refused, ReasonRejected},
			{"an error", standin.EngineFaults{Error: true}, Incomplete, ReasonErrorStatus},
		}
		for _, c := range failures {
			for _, stream := range []bool{true, false} {
				Convey(fmt.Sprintf("%s is not relayed (stream %t)", c.name, stream), func() {
					r.engine.SetFaults(c.faults)
					res := r.do("a", stream)
					So(res.Status, ShouldEqual, c.status)
					So(res.Reason, ShouldEqual, c.reason)
					So(res.Body == nil || res.Reason == ReasonRejected, ShouldBeTrue)
					So(r.got.String(), ShouldEqual, "")
				})
			}
		}
		Convey("a stream without end marker or usage is incomplete", func() {
			for _, f := range []standin.EngineFaults{{OmitEnd: true}, {OmitUsage: true}} {
				r.engine.SetFaults(f)
				So(r.do("a", true).Status, ShouldEqual, Incomplete)
			}
		})
		Convey("an interrupted stream is incomplete if the engine has no record of the request", func() {
			r.engine.SetFaults(standin.EngineFaults{AbortAfter: 2, ForgetRequests: true})
			res := r.do("a", true)
			So(res.Status, ShouldEqual, Incomplete)
			So(res.Usage.Known, ShouldBeFalse)
		})
		Convey("a stream that exceeds its token cap is canceled at the cap, with the usage that the engine reports", func() {
			r.engine.SetFaults(standin.EngineFaults{TokensOverCap: 1000})
			res := r.do("a", true)
			So(res.Reason, ShouldEqual, ReasonOverCap)
			So(r.got.String(), ShouldEqual, expectedText())
			run := r.engine.Runs()[0]
			So(run.Canceled, ShouldBeTrue)
			So(res.Usage, ShouldResemble, Usage{PromptTokens: 2, GeneratedTokens: uint64(run.Generated), Known: true})
		})
		Convey("when the caller disconnects, the engine's run is canceled and its usage is returned", func() {
			call := r.call("a", true)
			res := r.client.Do(context.Background(), call, func(StreamEvent) error { return errors.New("client disconnected") })
			So(res.Status, ShouldEqual, Canceled)
			So(res.Reason, ShouldEqual, ReasonCallerCanceled)
			run := r.engine.Runs()[0]
			So(run.Canceled, ShouldBeTrue)
			So(res.Usage.GeneratedTokens, ShouldEqual, uint64(run.Generated))
		})
	})
}

// maxDetection is how late a test may notice a connection that stalls. In virtual time, a client that waits for a ProgressTimeout
// of an hour would otherwise pass at once.
const maxDetection = time.Second

// blackholeConn discards all writes once one was made while dropNewWrites is set, like a middlebox that has lost the
// state of the connection. It discards reads while dropReads is set.
type blackholeConn struct {
	net.Conn
	dropNewWrites *atomic.Bool
	dropReads     *atomic.Bool
	dropsWrites   bool
}

// Read discards incoming data while dropReads is set.
func (c *blackholeConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.dropReads.Load() {
			return n, err
		}
	}
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.dropsWrites = c.dropsWrites || c.dropNewWrites.Load(); c.dropsWrites {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func TestConnections(t *testing.T) { synctest.Test(t, testConnections) }

func testConnections(t *testing.T) {
	Convey("Given an engine behind connections that can stall", t, func() {
		var dropWrites, dropReads, refuseDials atomic.Bool
		r := newFixture(100*time.Millisecond, func(dial dialFunc) dialFunc {
			return func(ctx context.Context, network, address string) (net.Conn, error) {
				if refuseDials.Load() {
					return nil, errors.New("refused")
				}
				conn, err := dial(ctx, network, address)
				if dropWrites.Load() || dropReads.Load() {
					return conn, err
				}
				return &blackholeConn{Conn: conn, dropNewWrites: &dropWrites, dropReads: &dropReads}, err
			}
		})
		Reset(r.close)
		Convey("a request that is lost on a stalled connection is detected, and new connections are dialed", func() {
			So(r.do("a", true).Status, ShouldEqual, Complete)
			dropWrites.Store(true)
			start := time.Now()
			res := r.do("b", true)
			So(time.Since(start), ShouldBeLessThan, maxDetection)
			So(res.Status, ShouldEqual, Incomplete)
			So(res.Reason, ShouldEqual, ReasonNoProgress)
			So(r.client.counters.discarded.Count(), ShouldEqual, 1)
			So(r.do("c", true).Status, ShouldEqual, Complete)
			So(len(r.engine.Runs()), ShouldEqual, 2)
		})
		Convey("a model call that is lost on a stalled connection is detected after StallTimeout, before ProgressTimeout", func() {
			r.client.cfg.ProgressTimeout, r.client.cfg.StallTimeout = time.Hour, 50*time.Millisecond
			So(r.do("a", true).Status, ShouldEqual, Complete)
			dropWrites.Store(true)
			start := time.Now()
			So(r.do("b", true).Reason, ShouldEqual, ReasonNoProgress)
			So(time.Since(start), ShouldBeLessThan, maxDetection)
			So(r.client.counters.discarded.Count(), ShouldEqual, 1)
		})
		Convey("a stream is never resumed on a connection that was used before", func() {
			r.client.cfg.ProgressTimeout, r.client.cfg.StallTimeout = time.Hour, 50*time.Millisecond
			var wg sync.WaitGroup
			for i := range 3 {
				wg.Go(func() { r.client.Do(context.Background(), r.call(fmt.Sprint("a", i), false), nil) })
			}
			wg.Wait()
			dropWrites.Store(true)
			start := time.Now()
			So(r.do("b", true).Reason, ShouldEqual, ReasonNoProgress)
			So(time.Since(start), ShouldBeLessThan, maxDetection)
		})
		Convey("an engine that is slow to respond keeps its connections and runs the request once", func() {
			r.client.cfg.ProgressTimeout, r.client.cfg.StallTimeout = time.Hour, 50*time.Millisecond
			r.engine.SetFaults(standin.EngineFaults{Delay: 200 * time.Millisecond})
			start := time.Now()
			So(r.do("a", true).Status, ShouldEqual, Complete)
			So(r.got.String(), ShouldEqual, expectedText())
			res := r.do("b", false)
			So(res.Status, ShouldEqual, Complete)
			So(completionText(res.Body), ShouldEqual, expectedText())
			So(time.Since(start), ShouldBeLessThan, maxDetection)
			So(r.client.counters.discarded.Count(), ShouldEqual, 0)
			So(len(r.engine.Runs()), ShouldEqual, 2)
		})
		Convey("a caller that reads its response slowly does not make the connection count as stalled", func() {
			r.client.cfg.ProgressTimeout, r.client.cfg.StallTimeout = time.Hour, 20*time.Millisecond
			start := time.Now()
			res := r.client.Do(context.Background(), r.call("a", true), func(StreamEvent) error {
				time.Sleep(70 * time.Millisecond)
				return nil
			})
			So(time.Since(start), ShouldBeLessThan, maxDetection)
			So(res.Status, ShouldEqual, Complete)
			So(res.Resumes, ShouldEqual, 0)
			So(r.client.counters.discarded.Count(), ShouldEqual, 0)
		})
		Convey("a stream whose connection stalls between tokens is resumed at the next token", func() {
			r.client.cfg.ProgressTimeout, r.client.cfg.StallTimeout = time.Hour, 50*time.Millisecond
			call := r.call("a", true)
			offset, start := uint64(0), time.Now()
			res := r.client.Do(context.Background(), call, func(e StreamEvent) error {
				dropReads.Store(true)
				So(e.Offset, ShouldBeGreaterThanOrEqualTo, offset)
				offset = e.Offset
				return nil
			})
			So(time.Since(start), ShouldBeLessThan, maxDetection)
			So(res.Status, ShouldEqual, Complete)
			So(res.Resumes, ShouldEqual, 1)
			So(offset, ShouldEqual, capTokens)
			So(len(r.engine.Runs()), ShouldEqual, 1)
		})
		Convey("a request that asks for a new connection does not use a stalled one", func() {
			So(r.do("a", true).Status, ShouldEqual, Complete)
			dropWrites.Store(true)
			call := r.call("b", true)
			call.UseNewConnection = true
			res := r.client.Do(context.Background(), call, func(StreamEvent) error { return nil })
			So(res.Status, ShouldEqual, Complete)
		})
		Convey("a response that stalls is resumed on a new connection", func() {
			r.engine.SetFaults(standin.EngineFaults{Unresponsive: true})
			dropWrites.Store(false)
			go func() {
				for len(r.engine.Runs()) == 0 {
					time.Sleep(time.Millisecond)
				}
				r.engine.SetFaults(standin.EngineFaults{})
			}()
			res := r.do("a", true)
			So(res.Status, ShouldEqual, Complete)
			So(r.got.String(), ShouldEqual, expectedText())
		})
		Convey("a request whose dial fails is not sent", func() {
			refuseDials.Store(true)
			res := r.do("a", true)
			So(res.Status, ShouldEqual, NotSent)
			So(res.Reason, ShouldEqual, ReasonDial)
		})
	})
	Convey("net/http never retries a request whose connection the endpoint closes without a response", t, func() {
		var served atomic.Int32
		var network memorynet.Network
		s := network.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if served.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		}))
		defer s.Close()
		client := New(Config{Dial: network.DialContext, Log: discardLogger()})
		defer client.Close()
		for i, method := range []string{"GET", "GET", "POST"} {
			served.Store(0)
			call := Call{RequestID: "a", URL: s.URL, Method: method, Path: "/", Header: http.Header{
				headerRequestID: {"a"}, "Idempotency-Key": {fmt.Sprint(i)},
			}}
			So(client.Do(context.Background(), call, nil).Status, ShouldEqual, Complete)
			So(client.Do(context.Background(), call, nil).Status, ShouldEqual, Incomplete)
			So(served.Load(), ShouldEqual, 2)
		}
	})
}

func TestControl(t *testing.T) {
	Convey("Given an engine that checks fencing", t, func() {
		e := standin.NewEngine(standin.EngineConfig{Models: []string{"m"}, ChecksFencing: true, Slots: 3})
		s := httptest.NewServer(e)
		client := New(Config{Log: discardLogger()})
		Reset(func() { client.Close(); s.Close() })
		ctx := context.Background()
		Convey("its load and state can be fetched and orders can be sent to it", func() {
			load, err := client.Load(ctx, s.URL, true)
			So(err, ShouldBeNil)
			So(load.Capacity, ShouldEqual, 3)
			So(client.Order(ctx, s.URL, Order{Fence: 5, Models: []ModelState{{ID: "n", Version: "2"}}}), ShouldBeNil)
			state, err := client.State(ctx, s.URL)
			So(err, ShouldBeNil)
			So(state, ShouldResemble, State{Fence: 5, Models: []ModelState{{ID: "n", Version: "2", State: ModelLoaded}}})
			So(errors.Is(client.Order(ctx, s.URL, Order{Fence: 4}), ErrStaleFence), ShouldBeTrue)
		})
		Convey("canceling an unknown request returns ErrUnknownRequest", func() {
			_, err := client.Cancel(ctx, s.URL, "x")
			So(errors.Is(err, ErrUnknownRequest), ShouldBeTrue)
		})
	})
}
