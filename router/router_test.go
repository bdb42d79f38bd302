package router_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/internal/doctable"
	"pumiceshelf/platform"
	"pumiceshelf/prepaid"
	"pumiceshelf/router"
)

const testConfiguration = `{"version":%d,"routes":[{"name":"status","host":"a.example","path_prefix":"/status/","mode":"non_idempotent",
	"timeout_ms":60000,"slo_ms":300,"max_attempts":1,"service":"desk"}],"services":[{"name":"desk"}],
	"tenants":[{"name":"alwusta","api_keys":["%s"],"prepaid":100000}]}`

func configuration(version int, key string) string {
	return fmt.Sprintf(testConfiguration, version, key)
}

// plainService is a plain service endpoint. It delays responses to paths that end in /slow until release is closed.
type plainService struct {
	server  *httptest.Server
	arrived chan struct{}
	release chan struct{}
}

func newPlainService() *plainService {
	s := &plainService{arrived: make(chan struct{}, 10), release: make(chan struct{})}
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			s.arrived <- struct{}{}
			<-s.release
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, "served")
	}))
	return s
}

func (s *plainService) entry() string {
	return fmt.Sprintf(`{"service":"desk","address":%q,"zone":"hall-a","slots":6,"state":"ready"}`, strings.TrimPrefix(s.server.URL, "http://"))
}

// fixture is a running router with its fake store and clock.
type fixture struct {
	store    *memoryStore
	clock    *clockwork.FakeClock
	settings *api.RouterSettings
	stop     context.CancelFunc
	ended    chan error
}

// freeAddress returns an address that nothing listens on. Its loopback IP address is that of this process alone, so that
// another process can't take the port before it is used.
func freeAddress() string {
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff))
	So(err, ShouldBeNil)
	defer l.Close()
	return l.Addr().String()
}

func startRouter(store *memoryStore, name string) *fixture {
	return startRouterWithClock(store, clockwork.NewFakeClock(), name)
}

// startRouterWithClock starts a router whose fake clock others may share.
func startRouterWithClock(store *memoryStore, clock *clockwork.FakeClock, name string, seeds ...string) *fixture {
	return startRouterWith(store, clock, name, func(*router.Config) {}, seeds...)
}

// startRouterWith starts a router whose configuration is changed first.
func startRouterWith(store *memoryStore, clock *clockwork.FakeClock, name string, change func(*router.Config), seeds ...string) *fixture {
	f := &fixture{store: store, clock: clock, ended: make(chan error, 1)}
	text, err := json.Marshal(map[string]any{
		"name": name, "domain": "hall-a", "callerAddress": freeAddress(), "readyAddress": freeAddress(), "peerAddress": freeAddress(),
		"storeAddress": "127.0.0.1:1", "seedPeers": seeds, "grace": "8s",
	})
	So(err, ShouldBeNil)
	f.settings, err = router.ParseSettings(text)
	So(err, ShouldBeNil)
	config := router.Config{
		Settings: f.settings, Store: store, Decoder: platform.Decoder{}, Headers: platform.Headers{}, Clock: f.clock,
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Metrics: metrics.NewRegistry(),
	}
	change(&config)
	r := router.New(config)
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { f.ended <- r.Run(ctx) }()
	return f
}

// advanceUntil advances the fake clock until a condition holds.
func (f *fixture) advanceUntil(condition func() bool) {
	for !condition() {
		if len(f.ended) > 0 {
			panic(fmt.Sprintf("router stopped: %v", <-f.ended))
		}
		f.clock.Advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

func (f *fixture) isReady() bool {
	resp, err := http.Get("http://" + f.settings.ReadyAddress + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stopAndWait stops the router and advances the fake clock until Run has returned.
func (f *fixture) stopAndWait() {
	f.stop()
	f.advanceUntil(func() bool { return len(f.ended) > 0 })
	So(<-f.ended, ShouldBeNil)
}

// caller sends requests on one connection that stays open.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (f *fixture) connect() *caller {
	for {
		if conn, err := net.Dial("tcp", f.settings.CallerAddress); err == nil {
			return &caller{conn: conn, reader: bufio.NewReader(conn)}
		}
		time.Sleep(time.Millisecond)
	}
}

func (c *caller) send(path, key string) {
	_, err := fmt.Fprintf(c.conn, "GET /status/%s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\nApi-Key: %s\r\n\r\n", path, key)
	So(err, ShouldBeNil)
}

// receive returns the status, the body and whether the connection is closed afterwards, or an error if the response was
// missing or truncated.
func (c *caller) receive() (int, string, bool, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", true, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), resp.Close, err
}

// awaitStatus sends requests until one has the given status, and none may be served before. The clock stands still, so the store confirms
// the configuration at its present time meanwhile.
func (c *caller) awaitStatus(key string, want int) {
	for status := 0; status != want; time.Sleep(time.Millisecond) {
		var err error
		c.send("x", key)
		status, _, _, err = c.receive()
		So(err, ShouldBeNil)
		So(status, ShouldNotEqual, 200)
	}
}

func TestRouter(t *testing.T) {
	Convey("an instance is not ready and rejects requests until it has a configuration", t, func() {
		f := startRouter(newMemoryStore(), "muscat-1")
		c := f.connect()
		c.send("x", "key")
		status, _, _, err := c.receive()
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 503)
		So(f.isReady(), ShouldBeFalse)
		f.stopAndWait()
	})
	Convey("Given an instance that routes to a plain service", t, func() {
		store, service := newMemoryStore(), newPlainService()
		Reset(service.server.Close)
		f := startRouter(store, "muscat-1")

		store.set("servers/i-1", service.entry())
		store.set("config/main", configuration(3, "key"))
		f.advanceUntil(f.isReady)

		Convey("a stop completes requests in progress, accepts no late ones and returns all leases", func() {
			busy, idle, late := f.connect(), f.connect(), f.connect()
			idle.send("x", "key")
			status, body, closing, err := idle.receive()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, "served")
			So(closing, ShouldBeFalse)
			late.send("x", "key")
			_, _, _, err = late.receive()
			So(err, ShouldBeNil)
			busy.send("slow", "key")
			<-service.arrived

			f.stop()
			for f.isReady() {
				time.Sleep(time.Millisecond)
			}
			idle.send("x", "key")
			status, _, closing, err = idle.receive()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
			So(closing, ShouldBeTrue)

			// After the load balancer has removed the instance, an idle connection is closed before it can be used again.
			f.advanceUntil(func() bool {
				_ = late.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
				_, err := late.reader.Peek(1)
				return errors.Is(err, io.EOF)
			})
			close(service.release)
			status, body, _, err = busy.receive()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, "served")
			f.advanceUntil(func() bool { return len(f.ended) > 0 })
			So(<-f.ended, ShouldBeNil)
			ledger, err := store.Get(context.Background(), prepaid.LedgerKey)
			So(err, ShouldBeNil)
			So(string(ledger.Value), ShouldNotContainSubstring, "muscat-1")
		})

		Convey("a newer configuration is activated at once, an older or invalid one never", func() {
			c := f.connect()
			store.set("config/main", configuration(9, "other"))
			f.advanceUntil(func() bool {
				c.send("x", "other")
				status, _, _, err := c.receive()
				So(err, ShouldBeNil)
				return status == 200
			})
			store.set("config/main", configuration(4, "key"))
			store.set("config/main", `{"version":"spoilt"}`)
			store.set("servers/i-9", `{"service":7}`)
			c.awaitStatus("key", 401)
			c.send("x", "other")
			status, _, _, err := c.receive()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
			f.stopAndWait()
		})

		// Guards against 404 and 401 for routes and keys that a newer configuration has, of instances that are cut off or have a full link.
		Convey("while the store does not confirm the configuration, a request that it does not allow is told to come back", func() {
			c := f.connect()
			c.awaitStatus("unknown", 401)
			store.setUnavailable(true)
			f.advanceUntil(func() bool {
				c.send("x", "unknown")
				status, body, _, err := c.receive()
				So(err, ShouldBeNil)
				return status == 503 && strings.Contains(body, "configuration-unconfirmed")
			})
			c.send("x", "key")
			status, _, _, err := c.receive()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
			store.setUnavailable(false)
			f.advanceUntil(func() bool {
				c.send("x", "unknown")
				status, _, _, err := c.receive()
				So(err, ShouldBeNil)
				return status == 401
			})
			f.stopAndWait()
		})

		Convey("an instance without access to the store receives configurations from another instance", func() {
			// The first instance's store holds the configuration. The second instance's store returns ErrUnavailable.
			unreachable := newMemoryStore()
			unreachable.setUnavailable(true)
			second := startRouterWithClock(unreachable, f.clock, "muscat-2", f.settings.PeerAddress)
			second.advanceUntil(second.isReady)
			c := second.connect()
			c.send("x", "key")
			status, _, _, err := c.receive()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
			store.set("config/main", configuration(12, "newer"))
			second.advanceUntil(func() bool {
				c.send("x", "newer")
				status, _, _, err := c.receive()
				So(err, ShouldBeNil)
				return status == 200
			})
			second.stopAndWait()
			f.stopAndWait()
		})
	})
}

func TestSettings(t *testing.T) {
	Convey("all invalid settings are reported in one error", t, func() {
		_, err := router.ParseSettings([]byte(`{"callerAddress": "localhost:80", "seedPeers": ["x"], "retryRatio": 2, "log": {"format": "xml"}}`))
		So(err, ShouldNotBeNil)
		for _, field := range []string{"name", "domain", `callerAddress is "localhost:80"`, "seedPeers[0]", "retryRatio is 2", "log.format"} {
			So(err.Error(), ShouldContainSubstring, field)
		}
		_, err = router.ParseSettings([]byte(`{"nmae": "x"}`))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "nmae")
	})
	Convey("load shedding is on unless the settings turn it off, and nothing but a truth value is taken for it", t, func() {
		valid := `"name": "a", "domain": "b", "callerAddress": "127.0.0.1:1", "readyAddress": "127.0.0.1:2", "peerAddress": "127.0.0.1:3", "storeAddress": "127.0.0.1:4"`
		s, err := router.ParseSettings([]byte("{" + valid + "}"))
		So(err, ShouldBeNil)
		So(s.SheddingDisabled, ShouldBeFalse)
		s, err = router.ParseSettings([]byte("{" + valid + `, "sheddingDisabled": true}`))
		So(err, ShouldBeNil)
		So(s.SheddingDisabled, ShouldBeTrue)
		_, err = router.ParseSettings([]byte("{" + valid + `, "sheddingDisabled": "yes"}`))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "sheddingDisabled")
	})
}

// TestOptionalSettings guards deployments without evacuations and cold endpoints against changed settings.
func TestOptionalSettings(t *testing.T) {
	const complete = `{"name": "a", "domain": "b", "callerAddress": "127.0.0.1:1", "readyAddress": "127.0.0.1:2", "peerAddress": "127.0.0.1:3",
		"storeAddress": "127.0.0.1:4", %s}`
	Convey("without values there are no evacuations and no cold endpoints", t, func() {
		s, err := router.ParseSettings([]byte(fmt.Sprintf(complete, "")))
		So(err, ShouldBeNil)
		So([]float64{s.EvacuationTimeoutMs, s.ColdOverage, s.ColdSlack}, ShouldResemble, []float64{0, 0, 0})
	})
	Convey("values out of range are refused", t, func() {
		for _, c := range []struct{ text, field string }{
			{`"evacuationTimeoutMs": 5`, "evacuationTimeoutMs"}, {`"coldOverage": -1`, "coldOverage"}, {`"coldOverage": 1.5, "coldSlack": -1`, "coldSlack"},
			{`"coldSlack": 5`, "coldSlack"}, {`"coldOverage": 1500`, "coldOverage"},
		} {
			_, err := router.ParseSettings([]byte(fmt.Sprintf(complete, c.text)))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, c.field)
		}
	})
	Convey("the template renders as before without the values, and with them for the deployment that has them", t, func() {
		text, err := os.ReadFile("../deploy/settings.hujson")
		So(err, ShouldBeNil)
		section := regexp.MustCompile(`(?s)\{\{#((?:bounds|limits)\.[a-z_]+)\}\}(.*?)\{\{/(?:bounds|limits)\.[a-z_]+\}\}`)
		without := section.ReplaceAllString(string(text), "")
		So(without, ShouldEndWith, `
  "storeAddress": {{platform.address|json}},
  "grace": "{{bounds.grace_s}}s",
  "retryRatio": {{bounds.retry_budget_ratio}},
  "retrySlack": {{bounds.retry_slack}},
  "retryWindow": "{{bounds.retry_window_s}}s",
  "deploymentFeatures": [{{#contracts}}{{.|json}}{{,}}{{/contracts}}],
  "memoryMb": {{limits.memory_mb}},
}
`)
		with := section.ReplaceAllString(string(text), "$2")
		with = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`).ReplaceAllString(with, "")
		with = regexp.MustCompile(`\{\{#contracts\}\}.*\{\{/contracts\}\}`).ReplaceAllString(with, `"base", "pressure"`)
		for name, value := range map[string]string{
			"node_name|json": `"a"`, "zone|json": `"b"`, "listen.front|json": `"127.0.0.1:1"`, "listen.ready|json": `"127.0.0.1:2"`, "listen.control|json": `"127.0.0.1:3"`,
			"platform.address|json": `"127.0.0.1:4"`, "bounds.grace_s": "8", "bounds.retry_budget_ratio": "0.2", "bounds.retry_slack": "20",
			"bounds.retry_window_s": "10", "limits.memory_mb": "256", "bounds.evacuate_ms": "5000", "bounds.cold_overage": "1.5", "bounds.cold_slack": "5",
			"limits.link_mbps": "10.0", "limits.max_fds": "4200",
		} {
			with = strings.ReplaceAll(with, "{{"+name+"}}", value)
		}
		s, err := router.ParseSettings([]byte(with))
		So(err, ShouldBeNil)
		So([]float64{s.EvacuationTimeoutMs, s.ColdOverage, s.ColdSlack}, ShouldResemble, []float64{5000, 1.5, 5})
		So(s.DeploymentFeatures, ShouldResemble, []string{"base", "pressure"})
		So(s.LinkMbps, ShouldEqual, 10)
		So(s.MaxDescriptors, ShouldEqual, 4200)
	})
}

func TestPageListsEveryField(t *testing.T) {
	Convey("docs/routing-settings.md has each field once, with a meaning, and no other", t, func() {
		rows, err := doctable.Read("../docs/routing-settings.md")
		So(err, ShouldBeNil)
		paths := doctable.FieldPaths((&api.RouterSettings{}).ProtoReflect().Descriptor())
		for _, path := range paths {
			SoMsg(path, rows, ShouldContainKey, path)
		}
		So(len(rows), ShouldEqual, len(paths))
	})
}
