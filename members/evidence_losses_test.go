package members

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/quarantine"
	"pumiceshelf/registry"
)

// A loss that waits for the next push of evidence, or for the check, is gone if the instance is killed meanwhile.
func TestUncheckedLossIsPassedOnAtOnce(t *testing.T) {
	Convey("another instance knows of it without a crash being recorded", t, func() {
		f := newEvidenceFleet(t, "a1", "a2")
		e := registry.Endpoint{ID: "i-1", Service: "model", Address: "10.0.0.1:80"}
		told := make(chan registry.Endpoint, 1)
		other := quarantine.New(quarantine.Config{OnLoss: func(e registry.Endpoint) { told <- e }})
		f.peers["a2"].config.Quarantine = other
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.peers["a1"].runPassingOnLosses(ctx)
		}()
		f.peers["a1"].config.Quarantine.Lost(e, []string{"first", "bad"}, f.clock.Now())
		So(<-told, ShouldResemble, e)
		cancel()
		<-done
		So(other.Statements(f.clock.Now()).Crashes, ShouldBeEmpty)
		other.CrashedForOthers(e, f.clock.Now())
		So(other.Statements(f.clock.Now()).Crashes[0].Parts, ShouldResemble, []string{"bad", "first"})
	})
	Convey("the mark survives the encoding, and an older release finds the loss too old to count", t, func() {
		for _, age := range []time.Duration{-time.Second, 0, time.Second} {
			encoded := encodeEvidence(quarantine.State{Crashes: []quarantine.Crash{{Age: age, Unchecked: true}, {Age: age}}})
			So(encoded.Crashes[0].Age.AsDuration(), ShouldBeGreaterThan, 2*time.Minute)
			decoded := decodeEvidence(encoded).Crashes
			So(decoded[0].Unchecked, ShouldBeTrue)
			So(decoded[0].Age, ShouldEqual, max(age, 0))
			So(decoded[1].Unchecked, ShouldBeFalse)
			So(decoded[1].Age, ShouldEqual, age)
		}
	})
}

// The instance that observed most of the crashes may be cut off from the others, which still reach each other.
func TestEvidenceOfUnreachableInstanceIsRead(t *testing.T) {
	Convey("an instance whose push got no response reads the store for a while, and learns what the cut one knows", t, func() {
		f := newEvidenceFleet(t, "a1", "a2", "cut")
		for name := range f.peers {
			f.update(t, name)
		}
		dial := f.peers["a1"].config.Dial
		f.peers["a1"].config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			if address == f.peers["cut"].config.Self.PeerAddress {
				return nil, errors.New("cut")
			}
			return dial(ctx, address)
		}
		for _, endpoint := range []string{"i-1", "i-2", "i-3"} {
			now := f.clock.Now()
			f.peers["cut"].config.Quarantine.Crashed(registry.Endpoint{ID: endpoint, Address: "10.0.0.1:80"}, []string{"bad"}, now, now)
			f.clock.Advance(time.Second)
		}
		f.update(t, "cut")
		reads := f.store.reads
		f.update(t, "a1")
		So(f.store.reads, ShouldEqual, reads)
		f.crash(t, "a1", "i-4", "other")
		f.update(t, "a1")
		So(f.store.reads, ShouldEqual, reads+1)
		So(f.refuses("a1", "bad"), ShouldBeTrue)
		f.clock.Advance(failedPushPeriod)
		f.update(t, "a1")
		So(f.store.reads, ShouldEqual, reads+1)
	})
}
