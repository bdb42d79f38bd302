package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/types/known/durationpb"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"pumiceshelf/api"
	"pumiceshelf/ctl"
)

// explainer is an instance that returns a fixed explanation.
type explainer struct {
	api.DRPCFleetUnimplementedServer
	request *api.ExplainRequest
	reply   *api.ExplainReply
}

func (e *explainer) Explain(_ context.Context, request *api.ExplainRequest) (*api.ExplainReply, error) {
	e.request = request
	return e.reply, nil
}

// withoutMethods describes a service of a release without Explain.
type withoutMethods struct{ api.DRPCFleetDescription }

func (withoutMethods) NumMethods() int { return 0 }

// serveFleet serves an instance and returns its peer address.
func serveFleet(e *explainer, description drpc.Description) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	mux := drpcmux.New()
	So(mux.Register(e, description), ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = drpcserver.New(mux).Serve(ctx, l)
	}()
	Reset(func() {
		cancel()
		<-served
	})
	return l.Addr().String()
}

func runWhere(args ...string) (code int, out, errText string) {
	var stdout, stderr bytes.Buffer
	code = ctl.Run(context.Background(), append([]string{"where", "--host", "a.example", "--path", "/plan/x", "--timeout", "2s"}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func testExplanation() *api.ExplainReply {
	return &api.ExplainReply{
		Instance: "front-1", ConfigurationVersion: 7, Route: "plan", Service: "model", Customer: "alwusta", Priority: 4, Prepaid: true,
		NeededTokens: 1130, AvailableTokens: 5000, Decision: "send", Chosen: "i-2",
		Endpoints: []*api.ExplainedEndpoint{
			{
				Id: "i-2", Domain: "hall-a", SoftwareVersion: "v1", Usable: true, Remarks: []string{"preferred by the session", "typical work time 0.70"},
				Running: 3, Waiting: 1, Slots: 8, WorkTime: 0.7, ReportAge: durationpb.New(412 * time.Millisecond), InFlight: 1,
				ExpectedFirstEvent: durationpb.New(20600 * time.Microsecond),
			},
			{Id: "i-1", Domain: "hall-b", Remarks: []string{"ejected for 1s after failures", "in another failure domain"}},
		},
	}
}

const whereText = `request          a.example/plan/x
instance         front-1, configuration version 7
route            plan
service          model
customer         alwusta
rank at engines  4
budget           needs 1130 tokens, 5000 available here
decision         send i-2
reason           -

ENDPOINT  DOMAIN  VERSION  USABLE  IN FLIGHT  RUNNING  WAITING  SLOTS  WORK TIME  REPORT AGE  FIRST EVENT  REMARKS
i-2       hall-a  v1       yes     1          3        1        8      0.70       412ms       21ms         preferred by the session; typical work time 0.70
i-1       hall-b  -        no      0          -        -        -      -          -           -            ejected for 1s after failures; in another failure domain
`

const whereJSON = `{"instance":"front-1","configurationVersion":7,"route":"plan","service":"model","customer":"alwusta","priority":4,
	"budget":{"neededTokens":1130,"availableTokens":5000},"decision":"send","chosen":"i-2","endpoints":[
	{"id":"i-2","domain":"hall-a","softwareVersion":"v1","usable":true,"inFlight":1,
		"report":{"running":3,"waiting":1,"slots":8,"workTime":0.7,"ageMs":412},"expectedFirstEventMs":20.6,
		"remarks":["preferred by the session","typical work time 0.70"]},
	{"id":"i-1","domain":"hall-b","softwareVersion":"","usable":false,"inFlight":0,
		"remarks":["ejected for 1s after failures","in another failure domain"]}]}`

// memberList is a page of the collection of instances in the platform's object store.
const memberList = `{"as_of":9,"items":[
	{"metadata":{"name":"front-2","rev":5},"spec":{"incarnation":"front-2~1","peerAddress":"127.0.0.1:1"}},
	{"metadata":{"name":"broken","rev":6},"spec":{"incarnation":7}},
	{"metadata":{"name":"front-1","rev":4},"spec":{"incarnation":"front-1~1","peerAddress":"ADDRESS"}}]}`

func TestWhere(t *testing.T) {
	Convey("Given an instance", t, func() {
		e := &explainer{reply: testExplanation()}
		address := serveFleet(e, api.DRPCFleetDescription{})

		Convey("the request of the command line is explained as text", func() {
			code, out, errText := runWhere("--peer", address, "--customer", "alwusta", "--prompt-part", "sys:800", "--prompt-part", "own:250",
				"--max-output-tokens", "80", "--request-timeout", "3s")
			So(errText, ShouldBeEmpty)
			So(code, ShouldEqual, ctl.ExitOK)
			So(out, ShouldEqual, whereText)
			So([]string{e.request.Host, e.request.Path, e.request.Customer}, ShouldResemble, []string{"a.example", "/plan/x", "alwusta"})
			So([]int64{e.request.PromptTokens, e.request.MaxOutputTokens}, ShouldResemble, []int64{1050, 80})
			So(e.request.PromptParts, ShouldHaveLength, 2)
			So(e.request.PromptParts[1].Id, ShouldEqual, "own")
			So(e.request.Timeout.AsDuration(), ShouldEqual, 3*time.Second)
		})
		Convey("a refusal has its reason and the time to retry", func() {
			e.reply = &api.ExplainReply{
				Instance: "front-1", Route: "plan", Service: "model", Decision: "refuse", Reason: "no-endpoint", RetryAfter: durationpb.New(time.Second),
			}
			code, out, _ := runWhere("--peer", address)
			So(code, ShouldEqual, ctl.ExitOK)
			So(out, ShouldContainSubstring, "budget           not limited\ndecision         refuse\nreason           no-endpoint\nretry after      1s\n\nno endpoints of service model\n")
			_, out, _ = runWhere("--peer", address, "--json")
			So(out, ShouldContainSubstring, `"retryAfterMs": 1000`)
			So(out, ShouldContainSubstring, `"endpoints": []`)
		})
		Convey("JSON has the same values", func() {
			code, out, _ := runWhere("--peer", address, "--json")
			So(code, ShouldEqual, ctl.ExitOK)
			var got, want any
			So(json.Unmarshal([]byte(out), &got), ShouldBeNil)
			So(json.Unmarshal([]byte(whereJSON), &want), ShouldBeNil)
			So(got, ShouldResemble, want)
		})
		Convey("an unknown route or customer is an error", func() {
			e.reply = &api.ExplainReply{Instance: "front-1", Error: `no customer "nobody" in configuration version 7`}
			code, out, errText := runWhere("--peer", address, "--customer", "nobody")
			So(code, ShouldEqual, ctl.ExitFailed)
			So(out, ShouldBeEmpty)
			So(errText, ShouldEqual, "ctl: instance front-1: no customer \"nobody\" in configuration version 7\n")
		})
		Convey("an instance is found by its name in the store, and an unknown one is an error that lists the known ones", func() {
			store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				_, _ = w.Write([]byte(strings.ReplaceAll(memberList, "ADDRESS", address)))
			}))
			Reset(store.Close)
			storeAddress := strings.TrimPrefix(store.URL, "http://")
			code, out, errText := runWhere("--store", storeAddress, "--instance", "front-1")
			So(errText, ShouldBeEmpty)
			So(code, ShouldEqual, ctl.ExitOK)
			So(out, ShouldEqual, whereText)
			code, _, errText = runWhere("--store", storeAddress, "--instance", "front-9")
			So(code, ShouldEqual, ctl.ExitFailed)
			So(errText, ShouldEqual, "ctl: no instance \"front-9\" in the store at "+storeAddress+", which lists front-1, front-2\n")
		})
	})
	Convey("an instance that does not listen, does not speak the protocol or is of an earlier release is a clear error", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		closed := l.Addr().String()
		So(l.Close(), ShouldBeNil)
		code, _, errText := runWhere("--peer", closed)
		So(code, ShouldEqual, ctl.ExitFailed)
		So(errText, ShouldStartWith, "ctl: no instance at peer address "+closed+": ")

		silent, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer silent.Close()
		code, _, errText = runWhere("--peer", silent.Addr().String(), "--timeout", "100ms")
		So(code, ShouldEqual, ctl.ExitFailed)
		So(errText, ShouldStartWith, "ctl: what listens at "+silent.Addr().String()+" does not respond as an instance: ")

		code, _, errText = runWhere("--peer", serveFleet(&explainer{}, withoutMethods{}))
		So(code, ShouldEqual, ctl.ExitFailed)
		So(errText, ShouldContainSubstring, "is of a release that explains no requests")
	})
	Convey("a wrong command line is a usage error", t, func() {
		for _, args := range [][]string{
			nil, {"--instance", "front-1"}, {"--store", "127.0.0.1:1"}, {"--peer", "127.0.0.1:1", "--prompt-part", "sys"},
			{"--peer", "127.0.0.1:1", "--prompt-part", "sys:-1"}, {"--peer", "127.0.0.1:1", "--prompt-tokens", "-1"},
		} {
			code, _, errText := runWhere(args...)
			So(code, ShouldEqual, ctl.ExitUsage)
			So(errText, ShouldNotBeEmpty)
		}
	})
}
