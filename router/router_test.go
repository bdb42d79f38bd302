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
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/internal/doctable"
	"pumiceshelf/objectstore"
	"pumiceshelf/platform"
	"pumiceshelf/prepaid"
	"pumiceshelf/router"
)

// memoryStore is the object store in memory. Watches wait for the next change.
type memoryStore struct {
	objectstore.Store
	mu       sync.Mutex
	revision uint64
	objects  map[string]objectstore.Object
	changed  chan struct{}
	// refused says that the store turns the instance away.
	refused bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: make(map[string]objectstore.Object), changed: make(chan struct{})}
}

func (m *memoryStore) set(key string, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.put(key, []byte(value))
}

func (m *memoryStore) put(key string, value []byte) objectstore.Version {
	m.revision++
	m.objects[key] = objectstore.Object{Key: key, Version: objectstore.Version(m.revision), Value: value}
	close(m.changed)
	m.changed = make(chan struct{})
	return objectstore.Version(m.revision)
}

func (m *memoryStore) refuse(refused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused = refused
}

func (m *memoryStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	switch {
	case m.refused:
		return o, objectstore.ErrUnavailable
	case !ok:
		return o, objectstore.ErrNotFound
	}
	return o, nil
}

func (m *memoryStore) Put(_ context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch have := m.objects[key]; {
	case m.refused:
		return 0, objectstore.ErrUnavailable
	case have.Version != expected:
		return 0, &objectstore.ConflictError{Current: have}
	}
	return m.put(key, value), nil
}

func (m *memoryStore) Delete(_ context.Context, key string, _ objectstore.Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.objects, key)
	return nil
}

func (m *memoryStore) ListRecent(ctx context.Context, collection string) (objectstore.Listing, error) {
	return m.ListAll(ctx, collection)
}

func (m *memoryStore) ListAll(_ context.Context, collection string) (objectstore.Listing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refused {
		return objectstore.Listing{}, objectstore.ErrUnavailable
	}
	l := objectstore.Listing{Revision: objectstore.Revision(m.revision)}
	for key, o := range m.objects {
		if strings.HasPrefix(key, collection+"/") {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, nil
}

func (m *memoryStore) WatchAll(ctx context.Context, collection string, after objectstore.Revision, _ time.Duration) (objectstore.Changes, error) {
	for {
		m.mu.Lock()
		c, changed, refused := objectstore.Changes{Revision: objectstore.Revision(m.revision)}, m.changed, m.refused
		for key, o := range m.objects {
			if strings.HasPrefix(key, collection+"/") && objectstore.Revision(o.Version) > after {
				c.Events = append(c.Events, objectstore.Event{Object: o})
			}
		}
		m.mu.Unlock()
		if refused {
			return objectstore.Changes{}, objectstore.ErrUnavailable
		}
		if len(c.Events) > 0 {
			return c, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return objectstore.Changes{}, errors.New("ended")
		}
	}
}

const testConfiguration = `{"version":%d,"routes":[{"name":"status","host":"a.example","path_prefix":"/status/","mode":"non_idempotent",
	"timeout_ms":60000,"slo_ms":300,"max_attempts":1,"service":"desk"}],"services":[{"name":"desk"}],
	"tenants":[{"name":"alwusta","api_keys":["%s"],"prepaid":100000}]}`

func configuration(version int, key string) string {
	return fmt.Sprintf(testConfiguration, version, key)
}

// desk is a plain service whose answers wait for a word of the test when the path says so.
type desk struct {
	server  *httptest.Server
	arrived chan struct{}
	release chan struct{}
}

func newDesk() *desk {
	d := &desk{arrived: make(chan struct{}, 10), release: make(chan struct{})}
	d.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			d.arrived <- struct{}{}
			<-d.release
		}
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, "served")
	}))
	return d
}

func (d *desk) entry() string {
	return fmt.Sprintf(`{"service":"desk","address":%q,"zone":"hall-a","slots":6,"state":"ready"}`, strings.TrimPrefix(d.server.URL, "http://"))
}

// fixture is a router with its stand-ins.
type fixture struct {
	store    *memoryStore
	clock    *clockwork.FakeClock
	settings *api.RouterSettings
	stop     context.CancelFunc
	ended    chan error
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer l.Close()
	return l.Addr().String()
}

func start(store *memoryStore, name string, seeds ...string) *fixture {
	f := &fixture{store: store, clock: clockwork.NewFakeClock(), ended: make(chan error, 1)}
	text, err := json.Marshal(map[string]any{
		"name": name, "domain": "hall-a", "callerAddress": freeAddress(), "readyAddress": freeAddress(), "peerAddress": freeAddress(),
		"storeAddress": "127.0.0.1:1", "seedPeers": seeds, "grace": "8s",
	})
	So(err, ShouldBeNil)
	f.settings, err = router.ParseSettings(text)
	So(err, ShouldBeNil)
	r := router.New(router.Config{
		Settings: f.settings, Store: store, Decoder: platform.Decoder{}, Wire: platform.Headers{}, Clock: f.clock,
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Metrics: metrics.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { f.ended <- r.Run(ctx) }()
	return f
}

// tick lets simulated time pass until a condition holds.
func (f *fixture) tick(until func() bool) {
	for !until() {
		if len(f.ended) > 0 {
			panic(fmt.Sprintf("router ended: %v", <-f.ended))
		}
		f.clock.Advance(100 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

func (f *fixture) ready() bool {
	resp, err := http.Get("http://" + f.settings.ReadyAddress + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// end lets simulated time pass until the router has ended.
func (f *fixture) end() {
	f.stop()
	f.tick(func() bool { return len(f.ended) > 0 })
	So(<-f.ended, ShouldBeNil)
}

// caller keeps one connection open.
type caller struct {
	conn net.Conn
	in   *bufio.Reader
}

func (f *fixture) connect() *caller {
	for {
		if conn, err := net.Dial("tcp", f.settings.CallerAddress); err == nil {
			return &caller{conn: conn, in: bufio.NewReader(conn)}
		}
		time.Sleep(time.Millisecond)
	}
}

func (c *caller) send(path, key string) {
	_, err := fmt.Fprintf(c.conn, "GET /status/%s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-1\r\nApi-Key: %s\r\n\r\n", path, key)
	So(err, ShouldBeNil)
}

// receive returns the status and body, or an error if the connection ended without a whole answer.
func (c *caller) receive() (int, string, bool, error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", true, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), resp.Close, err
}

func TestRouter(t *testing.T) {
	Convey("an instance is not ready before it knows a configuration, and refuses until then", t, func() {
		f := start(newMemoryStore(), "muscat-1")
		c := f.connect()
		c.send("x", "key")
		status, _, _, err := c.receive()
		So(err, ShouldBeNil)
		So(status, ShouldEqual, 503)
		So(f.ready(), ShouldBeFalse)
		f.end()
	})
	Convey("Given an instance before a plain service", t, func() {
		store, d := newMemoryStore(), newDesk()
		Reset(d.server.Close)
		f := start(store, "muscat-1")

		store.set("servers/i-1", d.entry())
		store.set("config/main", configuration(3, "key"))
		f.tick(f.ready)

		Convey("a stop cuts off nothing, takes nothing late, and gives all back", func() {
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
			<-d.arrived

			f.stop()
			for f.ready() {
				time.Sleep(time.Millisecond)
			}
			idle.send("x", "key")
			status, _, closing, err = idle.receive()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
			So(closing, ShouldBeTrue)

			// Once the balancer has taken the instance out, an open connection is closed before it can be used again.
			f.tick(func() bool {
				_ = late.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
				_, err := late.in.Peek(1)
				return errors.Is(err, io.EOF)
			})
			close(d.release)
			status, body, _, err = busy.receive()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, "served")
			f.tick(func() bool { return len(f.ended) > 0 })
			So(<-f.ended, ShouldBeNil)
			ledger, err := store.Get(context.Background(), prepaid.LedgerKey)
			So(err, ShouldBeNil)
			So(string(ledger.Value), ShouldNotContainSubstring, "muscat-1")
		})

		Convey("a newer configuration is in force at once, an older one never", func() {
			c := f.connect()
			store.set("config/main", configuration(9, "other"))
			f.tick(func() bool {
				c.send("x", "other")
				status, _, _, err := c.receive()
				So(err, ShouldBeNil)
				return status == 200
			})
			store.set("config/main", configuration(4, "key"))
			store.set("config/main", `{"version":"spoilt"}`)
			store.set("servers/i-9", `{"service":7}`)
			c.send("x", "key")
			status, _, _, err := c.receive()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 401)
			c.send("x", "other")
			status, _, _, err = c.receive()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
			f.end()
		})

		Convey("one that the store turns away learns a configuration from another instance", func() {
			// Both instances see one store here; the second one's view of it refuses.
			refusing := newMemoryStore()
			refusing.refuse(true)
			second := start(refusing, "muscat-2", f.settings.PeerAddress)
			second.tick(second.ready)
			c := second.connect()
			c.send("x", "key")
			status, _, _, err := c.receive()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
			store.set("config/main", configuration(12, "newer"))
			second.tick(func() bool {
				c.send("x", "newer")
				status, _, _, err := c.receive()
				So(err, ShouldBeNil)
				return status == 200
			})
			second.end()
			f.end()
		})
	})
}

func TestSettings(t *testing.T) {
	Convey("settings that are wrong are named, all at once", t, func() {
		_, err := router.ParseSettings([]byte(`{"callerAddress": "localhost:80", "seedPeers": ["x"], "retryRatio": 2, "log": {"format": "xml"}}`))
		So(err, ShouldNotBeNil)
		for _, field := range []string{"name", "domain", `callerAddress is "localhost:80"`, "seedPeers[0]", "retryRatio is 2", "log.format"} {
			So(err.Error(), ShouldContainSubstring, field)
		}
		_, err = router.ParseSettings([]byte(`{"nmae": "x"}`))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "nmae")
	})
}

func TestPageListsEveryField(t *testing.T) {
	Convey("docs/routing-settings.md has each field once, with a meaning, and no other", t, func() {
		rows, err := doctable.Read("../docs/routing-settings.md")
		So(err, ShouldBeNil)
		leaves := doctable.Leaves((&api.RouterSettings{}).ProtoReflect().Descriptor())
		for _, path := range leaves {
			SoMsg(path, rows, ShouldContainKey, path)
		}
		So(len(rows), ShouldEqual, len(leaves))
	})
}
