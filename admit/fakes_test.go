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

// slots is a Chooser with a fixed number of places in all.
type slots struct {
	mu     sync.Mutex
	places int
	used   int
	gone   bool
	room   func(string)
}

func (s *slots) Acquire(string, Target) (Place, Availability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return Place{}, Gone
	}
	if s.used >= s.places {
		return Place{}, Busy
	}
	s.used++
	return Place{Endpoint: "e"}, Chosen
}

func (s *slots) Release(Place, Result) {
	s.mu.Lock()
	s.used--
	s.mu.Unlock()
	s.room("g")
}

func (s *slots) Places(string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.places
}

func (s *slots) OnRoom(f func(string)) { s.room = f }

func newController(s *slots, waiting uint32, bytes uint64) (*Controller, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(Config{
		Settings: &api.AdmissionSettings{QueueLimit: waiting, QueueBytes: bytes, DefaultDeadline: durationpb.New(time.Minute)},
		Clock:    clock, Log: &log.Logger{Handler: discard.Default}, Metrics: metrics.NewRegistry(), Chooser: s, Seed: 1,
	}), clock
}

// admitAll starts an Admit for each item in order and returns the channels of their tickets.
func admitAll(c *Controller, items ...Item) []chan Ticket {
	var out []chan Ticket
	for _, i := range items {
		w := &waiter{item: i}
		ch := make(chan Ticket, 1)
		if t, waits := c.enter(w); waits {
			ch = w.answer
		} else {
			ch <- t
		}
		out = append(out, ch)
	}
	return out
}
