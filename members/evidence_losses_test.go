package members

import (
	"context"
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
