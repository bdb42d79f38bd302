package members

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/objectstore"
	"pumiceshelf/quarantine"
	"pumiceshelf/registry"
)

// evidenceObject is a store that holds the evidence object and counts the calls.
type evidenceObject struct {
	objectstore.Store
	mu           sync.Mutex
	object       objectstore.Object
	reads, calls int
	unavailable  bool
}

func (s *evidenceObject) Get(context.Context, string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.reads++
	switch {
	case s.unavailable:
		return objectstore.Object{}, objectstore.ErrUnavailable
	case s.object.Version == 0:
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return s.object, nil
}

func (s *evidenceObject) Put(_ context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return 0, objectstore.ErrUnavailable
	}
	if expected != s.object.Version {
		return 0, &objectstore.ConflictError{Current: s.object}
	}
	s.object = objectstore.Object{Key: key, Value: value, Version: expected + 1}
	return s.object.Version, nil
}

// evidenceFleet is a fleet with trackers and a store.
type evidenceFleet struct {
	peers  map[string]*testPeer
	clock  *clockwork.FakeClock
	store  *evidenceObject
	stores map[string]*evidenceStore
}

func newEvidenceFleet(t *testing.T, names ...string) *evidenceFleet {
	peers, clock := newFleet(t, names...)
	f := &evidenceFleet{peers: peers, clock: clock, store: &evidenceObject{}, stores: make(map[string]*evidenceStore)}
	for name, p := range peers {
		p.config.Quarantine = quarantine.New(quarantine.Config{})
		p.config.Store = f.store
		f.stores[name] = &evidenceStore{members: p.Members}
	}
	return f
}

// crash records a crash at an instance, pushes it, and lets it count.
func (f *evidenceFleet) crash(t *testing.T, name, endpoint string, parts ...string) {
	p, now := f.peers[name], f.clock.Now()
	p.config.Quarantine.Crashed(registry.Endpoint{ID: endpoint, Service: "model", Address: "10.0.0.1:80"}, parts, now, now)
	p.pushEvidence(t.Context())
	f.clock.Advance(time.Second)
	p.config.Quarantine.Judge(f.clock.Now())
	p.pushEvidence(t.Context())
}

func (f *evidenceFleet) refuses(name, part string) bool {
	_, ok := f.peers[name].config.Quarantine.Quarantined([]string{part}, f.clock.Now())
	return ok
}

func (f *evidenceFleet) update(t *testing.T, name string) {
	So(f.stores[name].update(t.Context()), ShouldBeNil)
}

func TestEvidenceReachesOtherInstances(t *testing.T) {
	Convey("crashes that several instances observed add up, and the verdict is pushed to all", t, func() {
		f := newEvidenceFleet(t, "a1", "a2", "b1", "b2")
		f.crash(t, "a1", "i-1", "first", "bad")
		f.peers["b2"].config.Quarantine.Began([]string{"first"}, f.clock.Now())
		f.crash(t, "a2", "i-2", "first", "bad")
		f.crash(t, "b1", "i-3", "first", "bad")
		for name := range f.peers {
			So(f.refuses(name, "bad"), ShouldBeTrue)
			So(f.refuses(name, "first"), ShouldBeFalse)
		}
	})
	Convey("an instance that knows nothing learns the verdict by its own exchange", t, func() {
		f := newEvidenceFleet(t, "a1", "a2")
		for _, endpoint := range []string{"i-1", "i-2", "i-3"} {
			f.crash(t, "a1", endpoint, "bad")
		}
		f.peers["a2"].config.Quarantine = quarantine.New(quarantine.Config{})
		So(f.refuses("a2", "bad"), ShouldBeFalse)
		So(f.peers["a2"].exchangeEvidence(t.Context()), ShouldBeTrue)
		So(f.refuses("a2", "bad"), ShouldBeTrue)
	})
	Convey("the reply to an exchange names answers that began, so that no sound part is convicted", t, func() {
		f := newEvidenceFleet(t, "a1", "a2")
		for _, endpoint := range []string{"i-1", "i-2"} {
			f.crash(t, "a1", endpoint, "sound")
		}
		f.peers["a2"].config.Quarantine.Began([]string{"sound"}, f.clock.Now())
		f.clock.Advance(time.Second)
		f.crash(t, "a1", "i-3", "sound")
		So(f.refuses("a1", "sound"), ShouldBeFalse)
	})
}

func TestEvidenceInStore(t *testing.T) {
	Convey("quiet instances read once and write nothing", t, func() {
		f := newEvidenceFleet(t, "a1", "a2")
		for range 100 {
			for name := range f.peers {
				So(f.peers[name].exchangeEvidence(t.Context()), ShouldBeTrue)
				f.update(t, name)
			}
			f.clock.Advance(time.Second)
		}
		So(f.store.calls, ShouldEqual, 2)
	})
	Convey("an instance that starts after the end of all others refuses requests with the part", t, func() {
		f := newEvidenceFleet(t, "a1", "a2")
		f.update(t, "a1")
		f.update(t, "a2")
		for _, endpoint := range []string{"i-1", "i-2", "i-3"} {
			f.crash(t, "a1", endpoint, "bad")
			f.update(t, "a1")
			f.update(t, "a2")
		}
		// Two reads, and one write after the second and the third crash.
		So(f.store.calls, ShouldEqual, 4)
		later := newEvidenceFleet(t, "a1")
		later.clock.Advance(f.clock.Since(later.clock.Now()))
		later.store.object = f.store.object
		later.store.unavailable = true
		So(later.stores["a1"].update(t.Context()), ShouldNotBeNil)
		later.store.unavailable = false
		later.update(t, "a1")
		So(later.refuses("a1", "bad"), ShouldBeTrue)
	})
	Convey("only an instance that reaches no other one reads it again, once for each update", t, func() {
		f := newEvidenceFleet(t, "a1", "a2")
		So(f.peers["a1"].exchangeEvidence(t.Context()), ShouldBeTrue)
		f.update(t, "a1")
		f.peers["a1"].contact.failed.Store(true)
		f.update(t, "a1")
		So(f.store.reads, ShouldEqual, 1)
		f.clock.Advance(2 * time.Second)
		f.update(t, "a1")
		f.update(t, "a1")
		So(f.store.reads, ShouldEqual, 3)
		f.peers["a1"].contact.failed.Store(false)
		f.update(t, "a1")
		So(f.store.reads, ShouldEqual, 3)
	})
	Convey("two instances that write at the same time lose no evidence, and evidence is written again after the object is lost", t, func() {
		f := newEvidenceFleet(t, "a1", "a2")
		f.update(t, "a1")
		f.update(t, "a2")
		for _, name := range []string{"a1", "a2"} {
			// Neither knows of the other's crashes.
			p := f.peers[name]
			for _, endpoint := range []string{"i-1", "i-2", "i-3"} {
				now := f.clock.Now()
				p.config.Quarantine.Crashed(registry.Endpoint{ID: name + endpoint, Address: "10.0.0.1:80"}, []string{"bad-" + name}, now, now)
				f.clock.Advance(time.Second)
			}
			f.update(t, name)
		}
		fresh := newEvidenceFleet(t, "c1")
		fresh.clock.Advance(f.clock.Since(fresh.clock.Now()))
		fresh.store.object = f.store.object
		fresh.update(t, "c1")
		So(fresh.refuses("c1", "bad-a1"), ShouldBeTrue)
		So(fresh.refuses("c1", "bad-a2"), ShouldBeTrue)
		f.store.object = objectstore.Object{}
		for _, endpoint := range []string{"i-4", "i-5", "i-6"} {
			f.crash(t, "a1", endpoint, "other")
		}
		f.update(t, "a1")
		So(string(f.store.object.Value), ShouldContainSubstring, "other")
		So(string(f.store.object.Value), ShouldContainSubstring, "bad-a1")
	})
	Convey("an outage of the store leads to few writes, and the evidence is written after it", t, func() {
		f := newEvidenceFleet(t, "a1")
		f.update(t, "a1")
		f.store.unavailable = true
		for _, endpoint := range []string{"i-1", "i-2", "i-3"} {
			f.crash(t, "a1", endpoint, "bad")
		}
		for range 60 {
			So(f.refuses("a1", "bad"), ShouldBeTrue)
			_ = f.stores["a1"].update(t.Context())
			f.clock.Advance(time.Second)
		}
		So(f.store.calls, ShouldBeBetween, 3, 20)
		f.store.unavailable = false
		for range 20 {
			f.update(t, "a1")
			f.clock.Advance(time.Second)
		}
		So(string(f.store.object.Value), ShouldContainSubstring, "bad")
	})
	Convey("a clock that is seconds behind or ahead does not hide the evidence", t, func() {
		for _, offset := range []time.Duration{-5 * time.Second, 5 * time.Second} {
			f := newEvidenceFleet(t, "a1")
			f.update(t, "a1")
			for _, endpoint := range []string{"i-1", "i-2", "i-3"} {
				f.crash(t, "a1", endpoint, "bad")
			}
			f.update(t, "a1")
			later := newEvidenceFleet(t, "a1")
			later.clock.Advance(f.clock.Since(later.clock.Now()) + offset)
			later.store.object = f.store.object
			later.update(t, "a1")
			So(later.refuses("a1", "bad"), ShouldBeTrue)
		}
	})
}

// An instance that starts must know what crashes endpoints before it sends requests.
func TestInstanceThatStartsAsksForEvidence(t *testing.T) {
	isAsked := func(p *testPeer) bool {
		select {
		case <-p.contact.asked:
			return true
		default:
			return false
		}
	}
	Convey("requests wait until others were asked, of which all but one may have just started too", t, func() {
		f := newEvidenceFleet(t, "a1", "a2", "a3", "b1", "b2")
		for _, endpoint := range []string{"i-1", "i-2", "i-3"} {
			f.crash(t, "a1", endpoint, "bad")
		}
		for _, name := range []string{"a2", "a3", "b1", "b2"} {
			f.peers[name].config.Quarantine = quarantine.New(quarantine.Config{})
		}
		p := f.peers["b2"]
		So(isAsked(p), ShouldBeFalse)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- p.RunExchangingEvidence(ctx) }()
		p.AwaitEvidence(ctx)
		So(f.refuses("b2", "bad"), ShouldBeTrue)
		stop()
		So(<-ended, ShouldBeNil)
	})
	Convey("they wait for a limited time if none responds, and not at all if there is none", t, func() {
		f := newEvidenceFleet(t, "a1", "a2")
		p := f.peers["a1"]
		p.config.Dial = func(context.Context, string) (net.Conn, error) { return nil, errors.New("unreachable") }
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- p.RunExchangingEvidence(ctx) }()
		So(f.clock.BlockUntilContext(ctx, 2), ShouldBeNil)
		f.clock.Advance(maxAskTime - time.Millisecond)
		So(isAsked(p), ShouldBeFalse)
		f.clock.Advance(time.Millisecond)
		p.AwaitEvidence(ctx)
		stop()
		So(<-ended, ShouldBeNil)

		alone := newEvidenceFleet(t, "a1").peers["a1"]
		close(alone.contact.listed)
		ctx, stop = context.WithCancel(t.Context())
		go func() { ended <- alone.RunExchangingEvidence(ctx) }()
		alone.AwaitEvidence(ctx)
		stop()
		So(<-ended, ShouldBeNil)
	})
}
