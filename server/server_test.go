package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/admit"
	"pumiceshelf/internal/standin"
	"pumiceshelf/quota"
)

// textOf returns the text of a whole or streamed answer.
func textOf(r reply) string {
	var b strings.Builder
	for line := range strings.SplitSeq(strings.ReplaceAll(r.body, "data: ", ""), "\n") {
		var c struct {
			Choices []struct {
				Delta, Message struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(line), &c) != nil {
			continue
		}
		for _, choice := range c.Choices {
			b.WriteString(choice.Delta.Content + choice.Message.Content)
		}
	}
	return strings.TrimSpace(b.String())
}

func problemOf(r reply) problem {
	var p problem
	So(r.err, ShouldBeNil)
	So(r.header.Get("Content-Type"), ShouldEqual, problemType)
	So(json.Unmarshal([]byte(r.body), &p), ShouldBeNil)
	So(p.Status, ShouldEqual, r.status)
	return p
}

// until waits for a condition that is bound to come.
func until(f func() bool) {
	for !f() {
		time.Sleep(time.Millisecond)
	}
}

func TestAnswers(t *testing.T) {
	Convey("Given a server before engines", t, func() {
		r := newRig()
		Reset(r.close)
		for _, model := range []string{"price", "dose"} {
			Convey("a whole answer of model "+model+" arrives and is billed as used", func() {
				got := r.chat(model, false)
				So(got.status, ShouldEqual, 200)
				So(textOf(got), ShouldEqual, expected(model))
				bills := r.keeper.bills()
				So(len(bills), ShouldEqual, 1)
				So(bills[0].RequestID, ShouldEqual, got.header.Get(headerRequestID))
				So(bills[0].Generated, ShouldEqual, modelCap)
				So(bills[0].Prompt, ShouldEqual, r.runs()[0].PromptTokens)
				So(r.admit.open, ShouldEqual, 0)
				So(len(r.stories.Get(bills[0].RequestID).Events), ShouldBeGreaterThan, 2)
			})
			Convey("a streamed answer of model "+model+" arrives and ends with its marker", func() {
				got := r.chat(model, true)
				So(got.err, ShouldBeNil)
				So(textOf(got), ShouldEqual, expected(model))
				So(got.body, ShouldEndWith, "data: [DONE]\n\n")
				So(got.body, ShouldNotContainSubstring, "usage")
			})
		}
		Convey("usage is streamed to a caller that asks for it", func() {
			body := strings.Replace(chatBody("price", true), `"stream"`, `"stream_options":{"include_usage":true},"stream"`, 1)
			So(r.send("POST", chatPath, body).body, ShouldContainSubstring, `"completion_tokens":6`)
		})
		Convey("an answer is settled before its last byte", func() {
			slow := make(chan struct{})
			r.server.cfg.Keeper = &slowKeeper{keeper: r.keeper, release: slow}
			var settledAtEnd int
			req, _ := http.NewRequest("POST", r.front.URL+chatPath, strings.NewReader(chatBody("price", true)))
			req.Header.Set("Authorization", "Bearer "+token)
			res, err := r.caller.RoundTrip(req)
			So(err, ShouldBeNil)
			defer res.Body.Close()
			head := make([]byte, 1)
			_, _ = io.ReadFull(res.Body, head)
			close(slow)
			rest, err := io.ReadAll(res.Body)
			settledAtEnd = len(r.keeper.bills())
			So(err, ShouldBeNil)
			So(string(rest), ShouldEndWith, "[DONE]\n\n")
			So(settledAtEnd, ShouldEqual, 1)
		})
		Convey("a stream that breaks after pieces were passed and cannot be picked up is visibly aborted", func() {
			r.faults(standin.EngineFaults{BreakAfter: 3, Forget: true})
			got := r.chat("price", true)
			So(got.err, ShouldNotBeNil)
			So(got.body, ShouldNotContainSubstring, "[DONE]")
			So(got.body, ShouldContainSubstring, "event: error\ndata: {")
			So(got.body, ShouldContainSubstring, `"outcome":"unknown","reason":"answer_lost"`)
			until(func() bool { return len(r.keeper.bills()) == 1 })
			So(r.keeper.bills()[0].AtBound, ShouldBeTrue)
			So(len(r.runs()), ShouldEqual, 1)
		})
		Convey("a broken stream is picked up and arrives whole", func() {
			r.faults(standin.EngineFaults{BreakAfter: 2})
			got := r.chat("dose", true)
			So(got.err, ShouldBeNil)
			So(textOf(got), ShouldEqual, expected("dose"))
			So(len(r.runs()), ShouldEqual, 1)
		})
		Convey("an engine that goes past the cap is billed no more than the bound", func() {
			r.faults(standin.EngineFaults{OverCap: 120})
			So(r.chat("price", false).status, ShouldEqual, 200)
			u := r.keeper.bills()[0]
			So(u.Prompt+u.Generated, ShouldBeLessThan, 120)
			So(r.server.meters.overBound.Count(), ShouldEqual, 1)
		})
		Convey("only a non-idempotent request has a connection of its own", func() {
			for _, model := range []string{"price", "price", "dose", "dose", "price"} {
				So(r.chat(model, false).status, ShouldEqual, 200)
			}
			So(r.dials.Load(), ShouldEqual, 3)
		})
		Convey("a plain service's answer is passed on with its status and headers", func() {
			got := r.send("GET", "/plans/7?full=1", "", "X-Field", "north")
			So(got.status, ShouldEqual, 200)
			So(got.header.Get("Content-Type"), ShouldEqual, "application/json")
			So(r.plain.Calls()[0].Path, ShouldEqual, "/plans/7?full=1")
			So(len(r.keeper.bills()), ShouldEqual, 0)
		})
	})
}

// slowKeeper holds settlements back.
type slowKeeper struct {
	*keeper
	release chan struct{}
}

func (k *slowKeeper) Settle(ctx context.Context, u quota.Usage) {
	<-k.release
	k.keeper.Settle(ctx, u)
}

func TestRetries(t *testing.T) {
	Convey("Given a server before two engines", t, func() {
		r := newRig()
		Reset(r.close)
		lost := standin.EngineFaults{Crossed: true}
		Convey("a request that an engine did not run goes to the other, whatever it is", func() {
			r.engines[0].SetFaults(standin.EngineFaults{Busy: true})
			So(textOf(r.chat("dose", false)), ShouldEqual, expected("dose"))
			So(len(r.runs()), ShouldEqual, 1)
			So(len(r.keeper.bills()), ShouldEqual, 1)
			So(r.server.meters.retries["endpoint_busy"].Count(), ShouldEqual, 1)
		})
		Convey("an idempotent request whose answer was lost runs again, and each run is billed once", func() {
			r.engines[0].SetFaults(lost)
			got := r.chat("price", false)
			So(textOf(got), ShouldEqual, expected("price"))
			bills := r.keeper.bills()
			So(len(bills), ShouldEqual, 2)
			So(bills[0].RequestID, ShouldNotEqual, bills[1].RequestID)
			So(bills[1].RequestID, ShouldEqual, got.header.Get(headerRequestID))
		})
		for _, header := range [][]string{{}, {"Idempotency-Key", "k1"}, {"X-Idempotent", "false"}} {
			Convey(fmt.Sprint("a non-idempotent request whose answer was lost never runs again ", header), func() {
				r.engines[0].SetFaults(lost)
				model := "dose"
				if len(header) > 0 && header[0] == "X-Idempotent" {
					model = "price"
				}
				p := problemOf(r.chat(model, false, header...))
				So(p.Outcome, ShouldEqual, outcomeUnknown)
				So(p.Reason, ShouldEqual, ReasonAnswerLost)
				So(len(r.runs()), ShouldEqual, 1)
			})
		}
		Convey("a plain call that may not be repeated runs once, others run again within the retry budget", func() {
			r.plain.SetFaults(standin.PlainFaults{Crossed: true})
			So(problemOf(r.send("POST", "/plans/7", "x")).Outcome, ShouldEqual, outcomeUnknown)
			So(problemOf(r.send("GET", "/plans/7", "", headerIdempotent, "false")).Outcome, ShouldEqual, outcomeUnknown)
			So(problemOf(r.send("POST", "/plans/7", "x", headerIdempotent, "true")).Outcome, ShouldEqual, outcomeUnknown)
			So(len(r.plain.Calls()), ShouldEqual, 3)
			So(r.spare.Calls(), ShouldBeEmpty)
			So(r.send("GET", "/plans/7", "").status, ShouldEqual, 200)
			So(len(r.spare.Calls()), ShouldEqual, 1)
		})
		Convey("with the retry budget empty nothing runs again", func() {
			r.retries.left = 0
			r.faults(standin.EngineFaults{Busy: true})
			p := problemOf(r.chat("price", false))
			So(p.Reason, ShouldEqual, ReasonEndpoints)
			So(p.Outcome, ShouldEqual, outcomeNotRun)
			So(p.RetryAfterMs, ShouldBeGreaterThan, 0)
			So(r.runs(), ShouldBeEmpty)
			So(r.keeper.bills()[0].Ran, ShouldBeFalse)
		})
		Convey("a request that an engine rejects is not sent elsewhere, and its caller is told why", func() {
			r.faults(standin.EngineFaults{Reject: true})
			p := problemOf(r.chat("dose", true))
			So([]any{p.Reason, p.Outcome}, ShouldResemble, []any{ReasonRejected, outcomeNotRun})
			So(p.Detail, ShouldContainSubstring, "bad request")
			So(r.retries.left, ShouldEqual, 10)
			So(r.runs(), ShouldBeEmpty)
		})
		Convey("a request that may have run is not called not run when no endpoint is left", func() {
			r.faults(lost)
			p := problemOf(r.chat("price", false))
			So(p.Outcome, ShouldEqual, outcomeUnknown)
			So(p.Reason, ShouldEqual, ReasonNoCapacity)
		})
	})
}

func TestKeys(t *testing.T) {
	Convey("Given a server and a keyed request", t, func() {
		r := newRig()
		Reset(r.close)
		key := []string{"Idempotency-Key", "plot-7"}
		first := r.chat("dose", true, key...)
		So(textOf(first), ShouldEqual, expected("dose"))

		Convey("its repeat gets the recorded answer as a stream, with the same id", func() {
			again := r.chat("dose", true, key...)
			So(textOf(again), ShouldEqual, expected("dose"))
			So(again.body, ShouldEndWith, "data: [DONE]\n\n")
			So(again.header.Get(headerReplayed), ShouldEqual, "true")
			So(again.header.Get(headerRequestID), ShouldEqual, first.header.Get(headerRequestID))
			So(len(r.runs()), ShouldEqual, 1)
			So(len(r.keeper.bills()), ShouldEqual, 1)
		})
		Convey("the same key with another body is refused", func() {
			p := problemOf(r.chat("price", false, key...))
			So(p.Status, ShouldEqual, 422)
			So(p.Outcome, ShouldEqual, outcomeNotRun)
			So(len(r.runs()), ShouldEqual, 1)
		})
		Convey("a repeat of one that may have run is answered unknown and not run", func() {
			r.faults(standin.EngineFaults{Crossed: true})
			So(problemOf(r.chat("dose", false, "Idempotency-Key", "b")).Outcome, ShouldEqual, outcomeUnknown)
			r.faults(standin.EngineFaults{})
			p := problemOf(r.chat("dose", false, "Idempotency-Key", "b"))
			So(p.Reason, ShouldEqual, ReasonEarlierUnknown)
			So(p.Outcome, ShouldEqual, outcomeUnknown)
			So(len(r.runs()), ShouldEqual, 2)
		})
		Convey("without a durable claim nothing runs", func() {
			r.gate.down = true
			p := problemOf(r.chat("dose", false, "Idempotency-Key", "c"))
			So(p.Reason, ShouldEqual, ReasonClaimUnavailable)
			So(len(r.runs()), ShouldEqual, 1)
		})
		Convey("a refused one can be asked again", func() {
			r.keeper.outcome = quota.OutOfReach
			So(problemOf(r.chat("dose", false, "Idempotency-Key", "d")).RetryAfterMs, ShouldBeGreaterThanOrEqualTo, 3000)
			r.keeper.outcome = 0
			So(textOf(r.chat("dose", false, "Idempotency-Key", "d")), ShouldEqual, expected("dose"))
		})
	})
}

func TestRefusals(t *testing.T) {
	Convey("Given a server", t, func() {
		r := newRig()
		Reset(r.close)
		admissions := map[admit.Outcome]Reason{
			admit.QueueFull: ReasonQueueFull, admit.BytesFull: ReasonBytesFull, admit.TooLate: ReasonTooLate,
			admit.Displaced: ReasonDisplaced, admit.NoCapacity: ReasonNoCapacity,
		}
		for outcome, reason := range admissions {
			Convey("a request refused as "+string(reason)+" did not run and is not billed", func() {
				r.admit.outcome = outcome
				got := r.chat("price", false)
				p := problemOf(got)
				So(p.Reason, ShouldEqual, reason)
				So(p.Outcome, ShouldEqual, outcomeNotRun)
				So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
				So(r.runs(), ShouldBeEmpty)
				until(func() bool { return len(r.keeper.bills()) == 1 })
				So(r.keeper.bills()[0].Ran, ShouldBeFalse)
				So(r.server.meters.refused[reason].Count(), ShouldEqual, 1)
			})
		}
		Convey("a request over its budget is refused with 402", func() {
			r.keeper.left = 10
			So(problemOf(r.chat("price", false)).Reason, ShouldEqual, ReasonExhausted)
			So(problemOf(r.chat("unpaid", false)).Reason, ShouldEqual, ReasonNoBudget)
			So(r.runs(), ShouldBeEmpty)
		})
		Convey("an unknown token is refused", func() {
			req, _ := http.NewRequest("GET", r.front.URL+"/plans/1", nil)
			req.Header.Set("Authorization", "Bearer other")
			res, err := r.caller.RoundTrip(req)
			So(err, ShouldBeNil)
			res.Body.Close()
			So(res.StatusCode, ShouldEqual, 401)
			So(r.stories.Get(res.Header.Get(headerRequestID)), ShouldBeNil)
			So(r.plain.Calls(), ShouldBeEmpty)
		})
		Convey("a deadline that passes during the run gives unknown at once, and the engine is told to stop", func() {
			r.faults(standin.EngineFaults{Silence: true})
			p := problemOf(r.chat("price", false, "X-Deadline-Ms", "60"))
			So(p.Reason, ShouldEqual, ReasonDeadlinePast)
			So(p.Outcome, ShouldEqual, outcomeUnknown)
			So(len(r.runs()), ShouldEqual, 1)
		})
	})
}

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

func TestSlowSender(t *testing.T) {
	Convey("A body that does not arrive in time is refused", t, func() {
		r := newRig()
		Reset(r.close)
		conn, err := net.Dial("tcp", r.front.Listener.Addr().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", chatPath, token)
		got, err := io.ReadAll(conn)
		So(err, ShouldBeNil)
		So(string(got), ShouldContainSubstring, string(ReasonSlowBody))
		So(r.runs(), ShouldBeEmpty)
	})
}
