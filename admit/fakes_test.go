package admit

import (
	"flag"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fixedSlots is a Chooser with one fixed number of slots for all groups.
type fixedSlots struct {
	mu         sync.Mutex
	capacity   int
	used       int
	noEndpoint bool
	onSlotFree func(string)
}

func (s *fixedSlots) Acquire(string, Target) (Slot, Availability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noEndpoint {
		return Slot{}, NoEndpoint
	}
	if s.used >= s.capacity {
		return Slot{}, Busy
	}
	s.used++
	return Slot{Endpoint: "e"}, Acquired
}

func (s *fixedSlots) Release(Slot, Result) {
	s.mu.Lock()
	s.used--
	s.mu.Unlock()
	s.onSlotFree("g")
}

func (s *fixedSlots) Capacity(string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacity
}

func (s *fixedSlots) OnSlotFree(f func(string)) { s.onSlotFree = f }

func newController(s *fixedSlots, waiting uint32, bytes uint64) (*Controller, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(Config{
		Settings: &api.AdmissionSettings{QueueLimit: waiting, QueueBytes: bytes, DefaultDeadline: durationpb.New(time.Minute)},
		Clock:    clock, Log: &log.Logger{Handler: discard.Default}, Metrics: metrics.NewRegistry(), Chooser: s, Seed: 1,
	}), clock
}

// admitAll submits the items in order and returns the channels that receive their tickets.
func admitAll(c *Controller, items ...Item) []chan Ticket {
	var out []chan Ticket
	for _, i := range items {
		w := &waiter{item: i}
		ch := make(chan Ticket, 1)
		if t, queued := c.admitOrQueue(w); queued {
			ch = w.ticket
		} else {
			ch <- t
		}
		out = append(out, ch)
	}
	return out
}
