package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

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
			// The refusal goes out before the reservation is given back.
			until(func() bool { return len(r.keeper.bills()) == 1 })
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
