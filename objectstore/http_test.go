package objectstore_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/internal/standin"
	"pumiceshelf/objectstore"
)

func newHTTPStore(url string) *objectstore.HTTPStore {
	return objectstore.NewHTTPStore(objectstore.HTTPStoreConfig{
		URL: url, Name: "muscat-1", Client: &http.Client{}, CallTimeout: 5 * time.Second, WatchTimeout: 20 * time.Second,
	})
}

func TestHTTPStore(t *testing.T) {
	Convey("Given a client of the object API over HTTP", t, func() {
		ctx := context.Background()
		objects := standin.NewObjects()
		server := httptest.NewServer(objects.Handler())
		Reset(server.Close)
		store := newHTTPStore(server.URL)

		Convey("a conditional update succeeds once per version", func() {
			v1, err := store.Put(ctx, "ledgers/al wusta/é", []byte("one"), 0)
			So(err, ShouldBeNil)
			_, err = store.Put(ctx, "ledgers/al wusta/é", []byte("two"), 0)
			So(errors.Is(err, objectstore.ErrConflict), ShouldBeTrue)
			v2, err := store.Put(ctx, "ledgers/al wusta/é", []byte("two"), v1)
			So(err, ShouldBeNil)
			So(v2, ShouldBeGreaterThan, v1)
			obj, err := store.Get(ctx, "ledgers/al wusta/é")
			So(err, ShouldBeNil)
			So(string(obj.Value), ShouldEqual, "two")
			So(obj.Version, ShouldEqual, v2)
		})
		Convey("reading or deleting an object that does not exist returns ErrNotFound", func() {
			_, err := store.Get(ctx, "none")
			So(errors.Is(err, objectstore.ErrNotFound), ShouldBeTrue)
			So(errors.Is(store.Delete(ctx, "none", 7), objectstore.ErrNotFound), ShouldBeTrue)
		})
		Convey("a list is sorted by key and limited", func() {
			for _, key := range []string{"b/2", "a/1", "b/1", "b/3"} {
				_, err := store.Put(ctx, key, []byte(key), 0)
				So(err, ShouldBeNil)
			}
			list, err := store.List(ctx, "b/", "b/1", 1)
			So(err, ShouldBeNil)
			So(len(list), ShouldEqual, 1)
			So(list[0].Key, ShouldEqual, "b/2")
		})
		Convey("a watch returns the newer version", func() {
			v, _ := store.Put(ctx, "current", []byte("1"), 0)
			got := make(chan objectstore.Object, 1)
			go func() {
				obj, _ := store.Watch(ctx, "current", v)
				got <- obj
			}()
			_, err := store.Put(ctx, "current", []byte("2"), v)
			So(err, ShouldBeNil)
			So(string((<-got).Value), ShouldEqual, "2")
		})
		Convey("a write whose response is lost is ambiguous and has taken effect", func() {
			objects.SetFaults(standin.Faults{LoseResponse: func(string) bool { return true }})
			_, err := store.Put(ctx, "x", []byte("1"), 0)
			So(errors.Is(err, objectstore.ErrAmbiguous), ShouldBeTrue)
			obj, err := store.Get(ctx, "x")
			So(err, ShouldBeNil)
			So(string(obj.Value), ShouldEqual, "1")
		})
		Convey("a call from a disconnected instance returns ErrUnavailable and writes nothing", func() {
			objects.SetFaults(standin.Faults{Partitioned: func(caller string) bool { return caller == "muscat-1" }})
			_, err := store.Put(ctx, "x", []byte("1"), 0)
			So(errors.Is(err, objectstore.ErrUnavailable), ShouldBeTrue)
			objects.SetFaults(standin.Faults{})
			_, err = store.Get(ctx, "x")
			So(errors.Is(err, objectstore.ErrNotFound), ShouldBeTrue)
		})
		Convey("a write to a closed server returns ErrUnavailable, not ErrAmbiguous", func() {
			server.Close()
			_, err := store.Put(ctx, "x", []byte("1"), 0)
			So(errors.Is(err, objectstore.ErrUnavailable), ShouldBeTrue)
		})
	})
}

func TestUnexpectedResponses(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		write   error
		read    error
	}{
		{"no version", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("hello")) }, objectstore.ErrAmbiguous, objectstore.ErrMalformed},
		{"version is not a number", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("ETag", `"abc"`) }, objectstore.ErrAmbiguous, objectstore.ErrMalformed},
		{"bad gateway", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, objectstore.ErrAmbiguous, objectstore.ErrUnavailable},
		{"rate limit", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, objectstore.ErrUnavailable, objectstore.ErrUnavailable},
	}
	for _, c := range cases {
		Convey("Given a platform that responds with: "+c.name, t, func() {
			server := httptest.NewServer(c.handler)
			Reset(server.Close)
			store := newHTTPStore(server.URL)
			_, err := store.Put(context.Background(), "x", nil, 0)
			So(errors.Is(err, c.write), ShouldBeTrue)
			_, err = store.Get(context.Background(), "x")
			So(errors.Is(err, c.read), ShouldBeTrue)
		})
	}
}

func TestClient(t *testing.T) {
	Convey("Given a client with a rate limit", t, func() {
		ctx := context.Background()
		objects := standin.NewObjects()
		link := objects.Client("muscat-1")
		registry := metrics.NewRegistry()
		client := objectstore.NewClient(objectstore.ClientConfig{
			Settings: &api.PlatformSettings{CallsPerSecond: 0.001}, Clock: clockwork.NewFakeClock(), Metrics: registry, Store: link, Lister: link,
		})
		Convey("a call over the rate limit is not sent", func() {
			_, err := client.Get(ctx, "x")
			So(errors.Is(err, objectstore.ErrNotFound), ShouldBeTrue)
			shortCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
			defer cancel()
			_, err = client.Get(shortCtx, "x")
			So(errors.Is(err, objectstore.ErrThrottled), ShouldBeTrue)
			So(objects.Calls().Reads, ShouldEqual, 1)
		})
		Convey("it is not reachable before the first response and reachable after it", func() {
			So(client.Reachable(), ShouldBeFalse)
			_, _ = client.Get(ctx, "x")
			So(client.Reachable(), ShouldBeTrue)
		})
	})
}
