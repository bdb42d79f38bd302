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
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/standin"
)

const capTokens = 6

func quiet() log.Interface { return &log.Logger{Handler: discard.New()} }

// rig is an engine, a client and what the caller of a stream got.
type rig struct {
	engine *standin.Engine
	server *httptest.Server
	client *HTTPClient
	got    strings.Builder
}

func newRig(progress time.Duration, dial dialFunc) *rig {
	r := &rig{engine: standin.NewEngine(standin.EngineConfig{Models: []string{"m"}})}
	r.server = httptest.NewServer(r.engine)
	r.client = New(Config{ProgressTimeout: progress, Dial: dial, Log: quiet()})
	return r
}

func (r *rig) close() {
	r.client.Close()
	r.server.CloseClientConnections()
	r.server.Close()
}

func chatBody(stream bool) []byte {
	return fmt.Appendf(nil, `{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"a lamp"}]}`, stream, capTokens)
}

func (r *rig) call(id string, stream bool) Call {
	return Call{
		RequestID: id, Endpoint: "e", URL: r.server.URL, Method: "POST", Path: "/v1/chat/completions", Body: chatBody(stream),
		Header: http.Header{headerRequestID: {id}}, Stream: stream, Model: true, CapTokens: capTokens,
	}
}

func (r *rig) do(id string, stream bool) Result {
	return r.client.Do(context.Background(), r.call(id, stream), func(p Piece) error {
		var c struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		err := json.Unmarshal(p.Data, &c)
		for _, choice := range c.Choices {
			r.got.WriteString(choice.Delta.Content)
		}
		return err
	})
}

func expected() string {
	model, prompt, _, _ := standin.ParsePrompt(chatBody(true))
	return standin.Answer(model, prompt, capTokens)
}

func wholeText(data []byte) string {
	var c struct {
		Choices []struct{ Message struct{ Content string } }
	}
	So(json.Unmarshal(data, &c), ShouldBeNil)
	return c.Choices[0].Message.Content
}

func TestAnswers(t *testing.T) {
	Convey("Given an engine", t, func() {
		r := newRig(time.Minute, nil)
		Reset(r.close)
		full := Usage{Prompt: 2, Generated: capTokens, Known: true}

		Convey("a stream arrives whole with its usage", func() {
			res := r.do("a", true)
			So(res.Status, ShouldEqual, Complete)
			So(res.Usage, ShouldResemble, full)
			So(r.got.String(), ShouldEqual, expected())
		})
		Convey("a whole answer arrives with its usage", func() {
			res := r.do("a", false)
			So(res.Status, ShouldEqual, Complete)
			So(res.Usage, ShouldResemble, full)
			So(wholeText(res.Body), ShouldEqual, expected())
		})
		streams := []struct {
			name   string
			faults standin.EngineFaults
		}{
			{"that breaks is picked up", standin.EngineFaults{BreakAfter: 2}},
			{"that breaks again and again is picked up while it makes progress", standin.EngineFaults{BreakAfter: 1, BreakResumes: true}},
			{"with a gap is picked up before the gap", standin.EngineFaults{Gap: 3}},
			{"with duplicates loses them", standin.EngineFaults{Duplicate: true}},
		}
		for _, c := range streams {
			Convey("a stream "+c.name, func() {
				r.engine.SetFaults(c.faults)
				res := r.do("a", true)
				So(res.Status, ShouldEqual, Complete)
				So(r.got.String(), ShouldEqual, expected())
				So(len(r.engine.Runs()), ShouldEqual, 1)
			})
		}
		Convey("a whole answer that is cut is assembled from the engine's stream, and did not run twice", func() {
			for _, f := range []standin.EngineFaults{{Truncate: true}, {TruncateQuiet: true}} {
				r.engine.SetFaults(f)
				res := r.do("a", false)
				So(res.Status, ShouldEqual, Complete)
				So(wholeText(res.Body), ShouldEqual, expected())
			}
			So(len(r.engine.Runs()), ShouldEqual, 2)
		})
		failures := []struct {
			name   string
			faults standin.EngineFaults
			status Status
			reason Reason
		}{
			{"crossed", standin.EngineFaults{Crossed: true}, Broken, ReasonWrongID},
			{"crossed below the header", standin.EngineFaults{CrossedBody: true}, Broken, ReasonWrongID},
			{"refused", standin.EngineFaults{Busy: true}, Refused, ReasonBusy},
			{"a rejection", standin.EngineFaults{Reject: true}, Refused, ReasonRejected},
			{"an error", standin.EngineFaults{Error: true}, Broken, ReasonServer},
		}
		for _, c := range failures {
			for _, stream := range []bool{true, false} {
				Convey(fmt.Sprintf("an answer that is %s is never passed on (stream %t)", c.name, stream), func() {
					r.engine.SetFaults(c.faults)
					res := r.do("a", stream)
					So(res.Status, ShouldEqual, c.status)
					So(res.Reason, ShouldEqual, c.reason)
					So(res.Body == nil || res.Reason == ReasonRejected, ShouldBeTrue)
					So(r.got.String(), ShouldEqual, "")
				})
			}
		}
		Convey("a stream without end marker or usage is not complete", func() {
			for _, f := range []standin.EngineFaults{{NoEnd: true}, {NoUsage: true}} {
				r.engine.SetFaults(f)
				So(r.do("a", true).Status, ShouldEqual, Broken)
			}
		})
		Convey("a broken stream that the engine forgot is broken", func() {
			r.engine.SetFaults(standin.EngineFaults{BreakAfter: 2, Forget: true})
			res := r.do("a", true)
			So(res.Status, ShouldEqual, Broken)
			So(res.Usage.Known, ShouldBeFalse)
		})
		Convey("a stream past its cap is canceled at the cap with its true usage", func() {
			r.engine.SetFaults(standin.EngineFaults{OverCap: 1000})
			res := r.do("a", true)
			So(res.Reason, ShouldEqual, ReasonOverCap)
			So(r.got.String(), ShouldEqual, expected())
			run := r.engine.Runs()[0]
			So(run.Canceled, ShouldBeTrue)
			So(res.Usage, ShouldResemble, Usage{Prompt: 2, Generated: uint64(run.Generated), Known: true})
		})
		Convey("a caller that goes away cancels the engine's run and learns its usage", func() {
			call := r.call("a", true)
			res := r.client.Do(context.Background(), call, func(Piece) error { return errors.New("gone") })
			So(res.Status, ShouldEqual, Canceled)
			So(res.Reason, ShouldEqual, ReasonCallerGone)
			run := r.engine.Runs()[0]
			So(run.Canceled, ShouldBeTrue)
			So(res.Usage.Generated, ShouldEqual, uint64(run.Generated))
		})
	})
}

// muteConn swallows what is written once mute is set, as a middlebox does that has lost track of the connection.
type muteConn struct {
	net.Conn
	mute *atomic.Bool
	deaf *atomic.Bool
	own  bool
}

// Read drops what comes while the connection is deaf.
func (c *muteConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.deaf.Load() {
			return n, err
		}
	}
}

func (c *muteConn) Write(p []byte) (int, error) {
	if c.own = c.own || c.mute.Load(); c.own {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func TestConnections(t *testing.T) {
	Convey("Given an engine behind connections that can go silent", t, func() {
		var mute, deaf, refuse atomic.Bool
		r := newRig(100*time.Millisecond, func(ctx context.Context, network, address string) (net.Conn, error) {
			if refuse.Load() {
				return nil, errors.New("refused")
			}
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			if mute.Load() || deaf.Load() {
				return conn, err
			}
			return &muteConn{Conn: conn, mute: &mute, deaf: &deaf}, err
		})
		Reset(r.close)
		Convey("a request swallowed by one is found out, and new connections are dialled", func() {
			So(r.do("a", true).Status, ShouldEqual, Complete)
			mute.Store(true)
			res := r.do("b", true)
			So(res.Status, ShouldEqual, Broken)
			So(res.Reason, ShouldEqual, ReasonSilent)
			So(r.client.count.discarded.Count(), ShouldEqual, 1)
			So(r.do("c", true).Status, ShouldEqual, Complete)
			So(len(r.engine.Runs()), ShouldEqual, 2)
		})
		Convey("a stalled call is asked for on another connection, streamed or whole", func() {
			r.client.cfg.ProgressTimeout, r.client.cfg.StallTimeout = time.Hour, 50*time.Millisecond
			So(r.do("a", true).Status, ShouldEqual, Complete)
			mute.Store(true)
			So(r.do("b", true).Reason, ShouldEqual, ReasonSilent)
			So(r.client.count.discarded.Count(), ShouldEqual, 1)
		})
		Convey("a pick-up uses no connection that was used before", func() {
			r.client.cfg.ProgressTimeout, r.client.cfg.StallTimeout = time.Hour, 50*time.Millisecond
			var wg sync.WaitGroup
			for i := range 3 {
				wg.Go(func() { r.client.Do(context.Background(), r.call(fmt.Sprint("a", i), false), nil) })
			}
			wg.Wait()
			mute.Store(true)
			So(r.do("b", true).Reason, ShouldEqual, ReasonSilent)
		})
		Convey("an engine that only takes long to begin keeps its connections, and runs the request once", func() {
			r.client.cfg.ProgressTimeout, r.client.cfg.StallTimeout = time.Hour, 50*time.Millisecond
			r.engine.SetFaults(standin.EngineFaults{Delay: 200 * time.Millisecond})
			So(r.do("a", true).Status, ShouldEqual, Complete)
			So(r.got.String(), ShouldEqual, expected())
			res := r.do("b", false)
			So(res.Status, ShouldEqual, Complete)
			So(wholeText(res.Body), ShouldEqual, expected())
			So(r.client.count.discarded.Count(), ShouldEqual, 0)
			So(len(r.engine.Runs()), ShouldEqual, 2)
		})
		Convey("a caller that takes its answer slowly makes no connection silent", func() {
			r.client.cfg.ProgressTimeout, r.client.cfg.StallTimeout = time.Hour, 20*time.Millisecond
			res := r.client.Do(context.Background(), r.call("a", true), func(Piece) error {
				time.Sleep(70 * time.Millisecond)
				return nil
			})
			So(res.Status, ShouldEqual, Complete)
			So(res.Resumes, ShouldEqual, 0)
			So(r.client.count.discarded.Count(), ShouldEqual, 0)
		})
		Convey("a stream whose connection goes silent between tokens is picked up from there", func() {
			r.client.cfg.ProgressTimeout, r.client.cfg.StallTimeout = time.Hour, 50*time.Millisecond
			call := r.call("a", true)
			offset := uint64(0)
			res := r.client.Do(context.Background(), call, func(p Piece) error {
				deaf.Store(true)
				So(p.Offset, ShouldBeGreaterThanOrEqualTo, offset)
				offset = p.Offset
				return nil
			})
			So(res.Status, ShouldEqual, Complete)
			So(res.Resumes, ShouldEqual, 1)
			So(offset, ShouldEqual, capTokens)
			So(len(r.engine.Runs()), ShouldEqual, 1)
		})
		Convey("a request that asks for a fresh connection never meets it", func() {
			So(r.do("a", true).Status, ShouldEqual, Complete)
			mute.Store(true)
			call := r.call("b", true)
			call.Fresh = true
			res := r.client.Do(context.Background(), call, func(Piece) error { return nil })
			So(res.Status, ShouldEqual, Complete)
		})
		Convey("an answer that goes silent is picked up from a new connection", func() {
			r.engine.SetFaults(standin.EngineFaults{Silence: true})
			mute.Store(false)
			go func() {
				for len(r.engine.Runs()) == 0 {
					time.Sleep(time.Millisecond)
				}
				r.engine.SetFaults(standin.EngineFaults{})
			}()
			res := r.do("a", true)
			So(res.Status, ShouldEqual, Complete)
			So(r.got.String(), ShouldEqual, expected())
		})
		Convey("a dial that fails is not sent", func() {
			refuse.Store(true)
			res := r.do("a", true)
			So(res.Status, ShouldEqual, NotSent)
			So(res.Reason, ShouldEqual, ReasonDial)
		})
	})
	Convey("A connection that the endpoint closes without an answer is never retried by net/http", t, func() {
		var served atomic.Int32
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if served.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		}))
		defer s.Close()
		client := New(Config{Log: quiet()})
		defer client.Close()
		for i, method := range []string{"GET", "GET", "POST"} {
			served.Store(0)
			call := Call{RequestID: "a", URL: s.URL, Method: method, Path: "/", Header: http.Header{
				headerRequestID: {"a"}, "Idempotency-Key": {fmt.Sprint(i)},
			}}
			So(client.Do(context.Background(), call, nil).Status, ShouldEqual, Complete)
			So(client.Do(context.Background(), call, nil).Status, ShouldEqual, Broken)
			So(served.Load(), ShouldEqual, 2)
		}
	})
}

func TestControl(t *testing.T) {
	Convey("Given an engine that checks fencing", t, func() {
		e := standin.NewEngine(standin.EngineConfig{Models: []string{"m"}, ChecksFencing: true, Slots: 3})
		s := httptest.NewServer(e)
		client := New(Config{Log: quiet()})
		Reset(func() { client.Close(); s.Close() })
		ctx := context.Background()
		Convey("its load, state and orders can be used", func() {
			load, err := client.Load(ctx, s.URL, true)
			So(err, ShouldBeNil)
			So(load.Capacity, ShouldEqual, 3)
			So(client.Order(ctx, s.URL, Order{Fence: 5, Models: []ModelState{{ID: "n", Version: "2"}}}), ShouldBeNil)
			state, err := client.State(ctx, s.URL)
			So(err, ShouldBeNil)
			So(state, ShouldResemble, State{Fence: 5, Models: []ModelState{{ID: "n", Version: "2", State: ModelLoaded}}})
			So(errors.Is(client.Order(ctx, s.URL, Order{Fence: 4}), ErrStaleFence), ShouldBeTrue)
		})
		Convey("a cancel of an unknown request says so", func() {
			_, err := client.Cancel(ctx, s.URL, "x")
			So(errors.Is(err, ErrUnknownRequest), ShouldBeTrue)
		})
	})
}
