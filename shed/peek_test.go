package shed

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestPeek guards against a Peek that decides otherwise than the next Decide, or that changes a later decision.
func TestPeek(t *testing.T) {
	Convey("Peek returns what Decide returns next, and a shedder that was asked decides like one that was not", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			asked, other := New(Config{Seed: 7}), New(Config{Seed: 7})
			now := time.Unix(1_000_000, 0)
			refused := 0
			for range 300 {
				now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
				r := Request{
					Customer: strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "customer")), CustomerRank: rapid.IntRange(0, 2).Draw(t, "customer rank"), Route: "r",
					RouteRank: rapid.IntRange(0, 2).Draw(t, "route rank"), TimeLeft: 20 * time.Second, PromptTokens: 1000, MaxOutputTokens: 100,
				}
				room := Room{Endpoints: 2, Slots: 16, Running: 16, Waiting: rapid.IntRange(0, 60).Draw(t, "waiting"), EndpointsWaiting: 2, WorkTime: 1, Instances: 3, Known: true}
				peeked := asked.Peek("s", r, room, now)
				for range rapid.IntRange(0, 2).Draw(t, "further questions") {
					asked.Peek("s", r, room, now)
				}
				decided, unasked := asked.Decide("s", r, room, now), other.Decide("s", r, room, now)
				if peeked != decided || decided != unasked {
					t.Fatalf("peeked %+v, decided %+v, without questions %+v", peeked, decided, unasked)
				}
				if decided.Verdict == Refuse {
					refused++
				}
				asked.Finished("s", r, time.Second, 1, now)
				other.Finished("s", r, time.Second, 1, now)
			}
			if refused == 0 {
				t.Fatal("nothing was refused")
			}
		})
	})
}
