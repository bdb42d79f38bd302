package router_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/ctl"
	"pumiceshelf/router"
	"pumiceshelf/telemetry"
)

// TestWhere guards against an explanation that the instance gives of itself and that differs from what it does.
func TestWhere(t *testing.T) {
	Convey("pumicectl where tells which endpoint of a running instance gets a request, and changes nothing there", t, func() {
		store, services := newMemoryStore(), map[string]*plainService{"i-1": newPlainService(), "i-2": newPlainService()}
		registry := metrics.NewRegistry()
		f := startRouterWith(store, clockwork.NewFakeClock(), "muscat-1", func(c *router.Config) { c.Metrics = registry })
		for id, s := range services {
			Reset(s.server.Close)
			store.set("servers/"+id, s.entry())
		}
		store.set("config/main", configuration(3, "key"))
		f.advanceUntil(f.isReady)
		where := func(args ...string) (int, string, string) {
			var stdout, stderr bytes.Buffer
			args = append([]string{"where", "--peer", f.settings.PeerAddress, "--host", "a.example"}, args...)
			code := ctl.Run(context.Background(), args, &stdout, &stderr)
			return code, stdout.String(), stderr.String()
		}

		// The first endpoint of the choice is busy with a request, so that the other one is named.
		c := f.connect()
		c.send("slow", "key")
		busy := "i-1"
		select {
		case <-services["i-1"].arrived:
		case <-services["i-2"].arrived:
			busy = "i-2"
		}
		other := map[string]string{"i-1": "i-2", "i-2": "i-1"}[busy]
		before := gatewayMetrics(registry)
		code, out, errText := where("--path", "/status/x", "--customer", "alwusta", "--prompt-tokens", "20", "--max-output-tokens", "5")
		So(errText, ShouldBeEmpty)
		So(code, ShouldEqual, ctl.ExitOK)
		So(out, ShouldContainSubstring, "instance         muscat-1, configuration version 3\nroute            status\nservice          desk\ncustomer         alwusta\n")
		So(out, ShouldContainSubstring, "budget           needs 25 tokens, ")
		So(out, ShouldContainSubstring, "decision         send "+other+"\n")
		lines := strings.Split(strings.TrimSpace(out), "\n")
		So(strings.Fields(lines[len(lines)-2])[:5], ShouldResemble, []string{other, "hall-a", "-", "yes", "0"})
		So(strings.Fields(lines[len(lines)-1])[:5], ShouldResemble, []string{busy, "hall-a", "-", "yes", "1"})
		_, again, _ := where("--path", "/status/x", "--customer", "alwusta", "--prompt-tokens", "20", "--max-output-tokens", "5")
		So(again, ShouldEqual, out)
		So(gatewayMetrics(registry), ShouldEqual, before)
		second := f.connect()
		second.send("slow", "key")
		<-services[other].arrived

		code, _, errText = where("--path", "/none", "--customer", "alwusta")
		So(code, ShouldEqual, ctl.ExitFailed)
		So(errText, ShouldEqual, "ctl: instance muscat-1: no route for host \"a.example\" and path \"/none\" in configuration version 3\n")
		_, _, errText = where("--path", "/status/x", "--customer", "nobody")
		So(errText, ShouldEqual, "ctl: instance muscat-1: no customer \"nobody\" in configuration version 3\n")
		// The clock stands still, so the store confirms the configuration at its present time at the latest with the next watch.
		for out = ""; !strings.Contains(out, "unknown-key"); time.Sleep(time.Millisecond) {
			_, out, _ = where("--path", "/status/x")
		}
		So(out, ShouldContainSubstring, "decision         refuse\nreason           unknown-key\n")

		for _, s := range services {
			close(s.release)
		}
		for _, waiting := range []*caller{c, second} {
			status, _, _, err := waiting.receive()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
		}
		f.stopAndWait()
	})
	Convey("for engines it shows reports, budget and expected times, and names the engine that then gets the request", t, func() {
		store, arrived := newMemoryStore(), make(chan string, 10)
		f := startRouter(store, "front-1")
		for i, report := range []string{"6,2,8,70", "3,0,8,170", "slow"} {
			id := fmt.Sprintf("engine-%d", i+1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				arrived <- id
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				w.Header().Set("X-Server-Load", report)
				_, _ = io.WriteString(w, "served")
			}))
			Reset(s.Close)
			store.set("servers/"+id, fmt.Sprintf(`{"service":"chat","address":%q,"zone":"hall-%c","slots":8,"state":"ready","version":"2026.12.1"}`,
				strings.TrimPrefix(s.URL, "http://"), 'a'+i))
		}
		store.set("config/main", `{"version":12,"routes":[{"name":"ask","host":"a.example","path_prefix":"/ask/","mode":"idempotent","timeout_ms":60000,
			"slo_ms":2000,"max_attempts":1,"priority":1,"service":"chat"}],"services":[{"name":"chat","engine":{"slots":8,"kv_capacity":500000,"stride":6}}],
			"tenants":[{"name":"alwusta","api_keys":["key"],"prepaid":100000}]}`)
		f.advanceUntil(f.isReady)
		// Each session has an engine that it prefers.
		send := func(session string) {
			request, err := http.NewRequest(http.MethodGet, "http://"+f.settings.CallerAddress+"/ask/x", nil)
			So(err, ShouldBeNil)
			request.Host = "a.example"
			request.Header = http.Header{
				"X-Request-Id": {"id-" + session}, "Api-Key": {"key"}, "X-Token-Counts": {"6500,200"}, "X-Prefix-Hash": {"sys:2000," + session + ":4000,own:500"},
			}
			status := make(chan int, 1)
			go func() {
				resp, err := http.DefaultClient.Do(request)
				if err != nil {
					status <- 0
					return
				}
				_ = resp.Body.Close()
				status <- resp.StatusCode
			}()
			f.advanceUntil(func() bool { return len(status) > 0 })
			So(<-status, ShouldEqual, 200)
		}
		for i := range 12 {
			send(fmt.Sprint("s", i))
			<-arrived
		}
		var stdout, stderr bytes.Buffer
		code := ctl.Run(context.Background(), []string{
			"where", "--peer", f.settings.PeerAddress, "--host", "a.example", "--path", "/ask/x", "--customer", "alwusta",
			"--prompt-part", "sys:2000", "--prompt-part", "s11:4000", "--prompt-part", "own:500", "--max-output-tokens", "200",
		}, &stdout, &stderr)
		out := stdout.String()
		So(stderr.String(), ShouldBeEmpty)
		So(code, ShouldEqual, ctl.ExitOK)
		t.Log("\n" + out)
		So(out, ShouldContainSubstring, "rank at engines  4\nbudget           needs 6700 tokens, ")
		So(out, ShouldContainSubstring, "preferred by the session")
		So(out, ShouldContainSubstring, "has the shared parts of the prompt from this instance")
		send("s11")
		So(out, ShouldContainSubstring, "decision         send "+<-arrived+"\n")
		f.stopAndWait()
	})
}

// gatewayMetrics returns the metrics that change with requests. Others change with time.
func gatewayMetrics(r metrics.Registry) (out string) {
	for line := range strings.Lines(telemetry.FormatMetrics(r)) {
		if strings.HasPrefix(line, "gateway.") {
			out += line
		}
	}
	return out
}
