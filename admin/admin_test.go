package admin_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"pumiceshelf/admin"
	"pumiceshelf/api"
	"pumiceshelf/peer"
	"pumiceshelf/trace"
)

// listView is a peer.View with a fixed list of members.
type listView struct {
	peer.View
	self    *api.Instance
	members []peer.Member
}

func (v *listView) Self() *api.Instance    { return v.self }
func (v *listView) Members() []peer.Member { return v.members }

// instanceFixture is the admin server of one instance with the state that it serves.
type instanceFixture struct {
	status *api.Status
	traces *trace.Store
	server *httptest.Server
	view   *listView
}

func newInstance(name string, at time.Time) *instanceFixture {
	self := &api.Instance{Name: name, Incarnation: name + "~1"}
	f := &instanceFixture{
		status: &api.Status{Instance: self, BundleNumber: 7, Endpoints: []*api.EndpointStatus{{Endpoint: "engine-1", Ejected: true}}},
		traces: trace.NewStore(8, func() time.Time { return at }),
		view:   &listView{self: self},
	}
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("quota.refused", registry).Inc(3)
	metrics.GetOrRegisterTimer("server.first_token", registry).Update(5 * time.Millisecond)
	a := admin.New(admin.Config{
		Registry:   registry,
		Status:     func() *api.Status { return f.status },
		Traces:     f.traces,
		Budget:     customerBudget,
		PeerTraces: admin.PeerTraces(f.view, http.DefaultClient),
		Log:        &log.Logger{Handler: discard.Default},
	})
	f.server = httptest.NewServer(a.Handler())
	self.AdminAddress = strings.TrimPrefix(f.server.URL, "http://")
	return f
}

func customerBudget(_ context.Context, customer string) (proto.Message, error) {
	switch customer {
	case "alwusta":
		return &api.CustomerLedger{Customer: customer}, nil
	case "slow":
		return nil, errors.New("platform: unavailable")
	}
	return nil, admin.ErrUnknownCustomer
}

func get(f *instanceFixture, path string) (int, string) {
	response, err := http.Get(f.server.URL + path)
	if err != nil {
		panic(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		panic(err)
	}
	return response.StatusCode, string(body)
}

func TestAdmin(t *testing.T) {
	Convey("Given an instance's admin server", t, func() {
		f := newInstance("a1", time.Unix(20, 0))
		defer f.server.Close()
		Convey("it serves metrics as text and as JSON, and rejects other formats", func() {
			_, text := get(f, "/metrics")
			So(text, ShouldContainSubstring, "quota.refused 3\n")
			So(text, ShouldContainSubstring, "server.first_token.p99 5000000\n")
			_, body := get(f, "/metrics?format=json")
			var parsed map[string]map[string]any
			So(json.Unmarshal([]byte(body), &parsed), ShouldBeNil)
			So(parsed["quota.refused"]["count"], ShouldEqual, 3)
			code, _ := get(f, "/metrics?format=xml")
			So(code, ShouldEqual, http.StatusBadRequest)
		})
		Convey("it serves the status and the endpoints", func() {
			for _, path := range []string{"/status", "/endpoints"} {
				_, body := get(f, path)
				s := &api.Status{}
				So(protojson.Unmarshal([]byte(body), s), ShouldBeNil)
				So(s.BundleNumber, ShouldEqual, 7)
				So(s.Endpoints[0].Ejected, ShouldBeTrue)
			}
		})
		Convey("it is ready if it has a bundle and is not draining, and it is always healthy", func() {
			code, _ := get(f, "/readyz")
			So(code, ShouldEqual, http.StatusOK)
			f.status.Draining = true
			code, body := get(f, "/readyz")
			So(code, ShouldEqual, http.StatusServiceUnavailable)
			So(body, ShouldEqual, "draining\n")
			f.status.Draining, f.status.BundleNumber = false, 0
			code, _ = get(f, "/readyz")
			So(code, ShouldEqual, http.StatusServiceUnavailable)
			code, _ = get(f, "/healthz")
			So(code, ShouldEqual, http.StatusOK)
		})
		Convey("it returns a customer's budgets, or an error status for each cause of failure", func() {
			for query, want := range map[string]int{
				"?customer=alwusta": http.StatusOK,
				"":                  http.StatusBadRequest,
				"?customer=nobody":  http.StatusNotFound,
				"?customer=slow":    http.StatusServiceUnavailable,
			} {
				code, _ := get(f, "/budget"+query)
				So(code, ShouldEqual, want)
			}
		})
		Convey("it merges the traces of reachable peers in order of time and returns 404 for an unknown request", func() {
			other := newInstance("b1", time.Unix(10, 0))
			defer other.server.Close()
			unreachable := newInstance("c1", time.Unix(5, 0))
			unreachable.server.Close()
			for _, o := range []*instanceFixture{f, other, unreachable} {
				f.view.members = append(f.view.members, peer.Member{Instance: o.status.Instance, Live: true})
			}
			f.traces.Add("r1", "alwusta", "server", "answered")
			other.traces.Add("r1", "", "budget", "reserved")
			s, err := admin.FetchTrace(context.Background(), http.DefaultClient, f.status.Instance.AdminAddress, "r1", false)
			So(err, ShouldBeNil)
			So(s.Customer, ShouldEqual, "alwusta")
			So(len(s.Events), ShouldEqual, 2)
			So(s.Events[0].Instance, ShouldEqual, "b1")
			So(s.Events[1].Text, ShouldEqual, "answered")
			_, err = admin.FetchTrace(context.Background(), http.DefaultClient, f.status.Instance.AdminAddress, "r2", false)
			var statusErr *admin.StatusError
			So(errors.As(err, &statusErr), ShouldBeTrue)
			So(statusErr.Status, ShouldEqual, http.StatusNotFound)
		})
		Convey("it rejects methods other than GET", func() {
			response, err := http.Post(f.server.URL+"/status", "application/json", strings.NewReader("{}"))
			So(err, ShouldBeNil)
			So(response.Body.Close(), ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusMethodNotAllowed)
		})
	})
}
