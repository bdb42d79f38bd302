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

// responseText returns the text of a response, streamed or not.
func responseText(r callerResponse) string {
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

// decodeProblem decodes the body of a refusal.
func decodeProblem(r callerResponse) problem {
	var p problem
	So(r.err, ShouldBeNil)
	So(r.header.Get("Content-Type"), ShouldEqual, problemType)
	So(json.Unmarshal([]byte(r.body), &p), ShouldBeNil)
	So(p.Status, ShouldEqual, r.status)
	return p
}

// waitFor polls until f returns true. It has no timeout.
func waitFor(f func() bool) {
	for !f() {
		time.Sleep(time.Millisecond)
	}
}

func TestResponses(t *testing.T) {
	Convey("Given a server with two engines", t, func() {
		r := newHarness()
		Reset(r.close)
		for _, model := range []string{"price", "dose"} {
			Convey("a response of model "+model+" is delivered and its usage is charged", func() {
				got := r.sendChat(model, false)
				So(got.status, ShouldEqual, 200)
				So(responseText(got), ShouldEqual, expectedText(model))
				usages := r.quota.settledUsages()
				So(len(usages), ShouldEqual, 1)
				So(usages[0].RequestID, ShouldEqual, got.header.Get(headerRequestID))
				So(usages[0].Generated, ShouldEqual, modelCapTokens)
				So(usages[0].Prompt, ShouldEqual, r.engineRuns()[0].PromptTokens)
				So(r.admitter.admittedCount, ShouldEqual, 0)
				So(len(r.traces.Get(usages[0].RequestID).Events), ShouldBeGreaterThan, 2)
			})
			Convey("a streamed response of model "+model+" is delivered and ends with the end marker", func() {
				got := r.sendChat(model, true)
				So(got.err, ShouldBeNil)
				So(responseText(got), ShouldEqual, expectedText(model))
				So(got.body, ShouldEndWith, "data: [DONE]\n\n")
				So(got.body, ShouldNotContainSubstring, "usage")
			})
		}
		Convey("the usage event is streamed if the caller requests it", func() {
			body := strings.Replace(chatBody("price", true), `"stream"`, `"stream_options":{"include_usage":true},"stream"`, 1)
			So(r.send("POST", chatPath, body).body, ShouldContainSubstring, `"completion_tokens":6`)
		})
		Convey("a response is settled before its last byte is sent", func() {
			release := make(chan struct{})
			r.server.cfg.Quota = &blockingQuota{fakeQuota: r.quota, release: release}
			var settledAtEnd int
			req, _ := http.NewRequest("POST", r.callerServer.URL+chatPath, strings.NewReader(chatBody("price", true)))
			req.Header.Set("Authorization", "Bearer "+customerToken)
			res, err := r.callerTransport.RoundTrip(req)
			So(err, ShouldBeNil)
			defer res.Body.Close()
			firstByte := make([]byte, 1)
			_, _ = io.ReadFull(res.Body, firstByte)
			close(release)
			rest, err := io.ReadAll(res.Body)
			settledAtEnd = len(r.quota.settledUsages())
			So(err, ShouldBeNil)
			So(string(rest), ShouldEndWith, "[DONE]\n\n")
			So(settledAtEnd, ShouldEqual, 1)
		})
		Convey("a stream that breaks after events were sent and cannot be resumed is visibly aborted", func() {
			r.setEngineFaults(standin.EngineFaults{AbortAfter: 3, ForgetRequests: true})
			got := r.sendChat("price", true)
			So(got.err, ShouldNotBeNil)
			So(got.body, ShouldNotContainSubstring, "[DONE]")
			So(got.body, ShouldContainSubstring, "event: error\ndata: {")
			So(got.body, ShouldContainSubstring, `"outcome":"unknown","reason":"answer_lost"`)
			waitFor(func() bool { return len(r.quota.settledUsages()) == 1 })
			So(r.quota.settledUsages()[0].AtBound, ShouldBeTrue)
			So(len(r.engineRuns()), ShouldEqual, 1)
		})
		Convey("a broken stream is resumed and delivered completely", func() {
			r.setEngineFaults(standin.EngineFaults{AbortAfter: 2})
			got := r.sendChat("dose", true)
			So(got.err, ShouldBeNil)
			So(responseText(got), ShouldEqual, expectedText("dose"))
			So(len(r.engineRuns()), ShouldEqual, 1)
		})
		Convey("a request whose engine ignores the token cap is charged no more than the bound", func() {
			r.setEngineFaults(standin.EngineFaults{TokensOverCap: 120})
			So(r.sendChat("price", false).status, ShouldEqual, 200)
			u := r.quota.settledUsages()[0]
			So(u.Prompt+u.Generated, ShouldBeLessThan, 120)
			So(r.server.metrics.usageOverBound.Count(), ShouldEqual, 1)
		})
		Convey("only non-idempotent requests use new connections", func() {
			for _, model := range []string{"price", "price", "dose", "dose", "price"} {
				So(r.sendChat(model, false).status, ShouldEqual, 200)
			}
			So(r.dialCount.Load(), ShouldEqual, 3)
		})
		Convey("the response of a plain service is forwarded with its status and headers", func() {
			got := r.send("GET", "/plans/7?full=1", "", "X-Field", "north")
			So(got.status, ShouldEqual, 200)
			So(got.header.Get("Content-Type"), ShouldEqual, "application/json")
			So(r.primaryService.Calls()[0].Path, ShouldEqual, "/plans/7?full=1")
			So(len(r.quota.settledUsages()), ShouldEqual, 0)
		})
	})
}

// blockingQuota blocks settlements until release is closed.
type blockingQuota struct {
	*fakeQuota
	release chan struct{}
}

func (k *blockingQuota) Settle(ctx context.Context, u quota.Usage) {
	<-k.release
	k.fakeQuota.Settle(ctx, u)
}

func TestRetries(t *testing.T) {
	Convey("Given a server with two engines", t, func() {
		r := newHarness()
		Reset(r.close)
		responseLost := standin.EngineFaults{SwapResponse: true}
		Convey("a request that one engine did not run is sent to the other, even if it is not idempotent", func() {
			r.engines[0].SetFaults(standin.EngineFaults{Busy: true})
			So(responseText(r.sendChat("dose", false)), ShouldEqual, expectedText("dose"))
			So(len(r.engineRuns()), ShouldEqual, 1)
			So(len(r.quota.settledUsages()), ShouldEqual, 1)
			So(r.server.metrics.retries["endpoint_busy"].Count(), ShouldEqual, 1)
		})
		Convey("an idempotent request whose response was lost runs again, and each run is charged once", func() {
			r.engines[0].SetFaults(responseLost)
			got := r.sendChat("price", false)
			So(responseText(got), ShouldEqual, expectedText("price"))
			usages := r.quota.settledUsages()
			So(len(usages), ShouldEqual, 2)
			So(usages[0].RequestID, ShouldNotEqual, usages[1].RequestID)
			So(usages[1].RequestID, ShouldEqual, got.header.Get(headerRequestID))
		})
		for _, header := range [][]string{{}, {"Idempotency-Key", "k1"}, {"X-Idempotent", "false"}} {
			Convey(fmt.Sprint("a non-idempotent request whose response was lost never runs again ", header), func() {
				r.engines[0].SetFaults(responseLost)
				model := "dose"
				if len(header) > 0 && header[0] == "X-Idempotent" {
					model = "price"
				}
				p := decodeProblem(r.sendChat(model, false, header...))
				So(p.Outcome, ShouldEqual, outcomeUnknown)
				So(p.Reason, ShouldEqual, ReasonResponseLost)
				So(len(r.engineRuns()), ShouldEqual, 1)
			})
		}
		Convey("a non-idempotent plain service call runs once, others are retried within the retry budget", func() {
			r.primaryService.SetFaults(standin.PlainFaults{SwapResponse: true})
			So(decodeProblem(r.send("POST", "/plans/7", "x")).Outcome, ShouldEqual, outcomeUnknown)
			So(decodeProblem(r.send("GET", "/plans/7", "", headerIdempotent, "false")).Outcome, ShouldEqual, outcomeUnknown)
			So(decodeProblem(r.send("POST", "/plans/7", "x", headerIdempotent, "true")).Outcome, ShouldEqual, outcomeUnknown)
			So(len(r.primaryService.Calls()), ShouldEqual, 3)
			So(r.secondaryService.Calls(), ShouldBeEmpty)
			So(r.send("GET", "/plans/7", "").status, ShouldEqual, 200)
			So(len(r.secondaryService.Calls()), ShouldEqual, 1)
		})
		Convey("nothing is retried if the retry budget is empty", func() {
			r.retryBudget.available = 0
			r.setEngineFaults(standin.EngineFaults{Busy: true})
			p := decodeProblem(r.sendChat("price", false))
			So(p.Reason, ShouldEqual, ReasonEndpointsUnavailable)
			So(p.Outcome, ShouldEqual, outcomeNotRun)
			So(p.RetryAfterMs, ShouldBeGreaterThan, 0)
			So(r.engineRuns(), ShouldBeEmpty)
			// The refusal is sent before the reservation is released.
			waitFor(func() bool { return len(r.quota.settledUsages()) == 1 })
			So(r.quota.settledUsages()[0].Ran, ShouldBeFalse)
		})
		Convey("a request that an engine rejects is not retried, and the refusal contains the engine's message", func() {
			r.setEngineFaults(standin.EngineFaults{Reject: true})
			p := decodeProblem(r.sendChat("dose", true))
			So([]any{p.Reason, p.Outcome}, ShouldResemble, []any{ReasonEndpointRejected, outcomeNotRun})
			So(p.Detail, ShouldContainSubstring, "bad request")
			So(r.retryBudget.available, ShouldEqual, 10)
			So(r.engineRuns(), ShouldBeEmpty)
		})
		Convey("a request that may have run gets outcome unknown when no endpoint is left", func() {
			r.setEngineFaults(responseLost)
			p := decodeProblem(r.sendChat("price", false))
			So(p.Outcome, ShouldEqual, outcomeUnknown)
			So(p.Reason, ShouldEqual, ReasonNoCapacity)
		})
	})
}

func TestRefusals(t *testing.T) {
	Convey("Given a server", t, func() {
		r := newHarness()
		Reset(r.close)
		refusalReasons := map[admit.Outcome]Reason{
			admit.QueueFull: ReasonQueueFull, admit.BytesFull: ReasonQueueBytesFull, admit.TooLate: ReasonDeadlineUnmeetable,
			admit.Displaced: ReasonDisplaced, admit.NoCapacity: ReasonNoCapacity,
		}
		for outcome, reason := range refusalReasons {
			Convey("a request refused with reason "+string(reason)+" is not run and not charged", func() {
				r.admitter.outcome = outcome
				got := r.sendChat("price", false)
				p := decodeProblem(got)
				So(p.Reason, ShouldEqual, reason)
				So(p.Outcome, ShouldEqual, outcomeNotRun)
				So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
				So(r.engineRuns(), ShouldBeEmpty)
				waitFor(func() bool { return len(r.quota.settledUsages()) == 1 })
				So(r.quota.settledUsages()[0].Ran, ShouldBeFalse)
				So(r.server.metrics.refused[reason].Count(), ShouldEqual, 1)
			})
		}
		Convey("a request over its budget, or without one, is refused", func() {
			r.quota.available = 10
			So(decodeProblem(r.sendChat("price", false)).Reason, ShouldEqual, ReasonBudgetExhausted)
			So(decodeProblem(r.sendChat("unpaid", false)).Reason, ShouldEqual, ReasonNoBudget)
			So(r.engineRuns(), ShouldBeEmpty)
		})
		Convey("an unknown token is refused", func() {
			req, _ := http.NewRequest("GET", r.callerServer.URL+"/plans/1", nil)
			req.Header.Set("Authorization", "Bearer other")
			res, err := r.callerTransport.RoundTrip(req)
			So(err, ShouldBeNil)
			res.Body.Close()
			So(res.StatusCode, ShouldEqual, 401)
			So(r.traces.Get(res.Header.Get(headerRequestID)), ShouldBeNil)
			So(r.primaryService.Calls(), ShouldBeEmpty)
		})
		Convey("a request whose deadline passes during the run gets outcome unknown and is not run again", func() {
			r.setEngineFaults(standin.EngineFaults{Unresponsive: true})
			p := decodeProblem(r.sendChat("price", false, "X-Deadline-Ms", "60"))
			So(p.Reason, ShouldEqual, ReasonDeadlineExceeded)
			So(p.Outcome, ShouldEqual, outcomeUnknown)
			So(len(r.engineRuns()), ShouldEqual, 1)
		})
	})
}

func TestSlowBody(t *testing.T) {
	Convey("A request whose body does not arrive in time is refused", t, func() {
		r := newHarness()
		Reset(r.close)
		conn, err := net.Dial("tcp", r.callerServer.Listener.Addr().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", chatPath, customerToken)
		got, err := io.ReadAll(conn)
		So(err, ShouldBeNil)
		So(string(got), ShouldContainSubstring, string(ReasonBodyTooSlow))
		So(r.engineRuns(), ShouldBeEmpty)
	})
}
