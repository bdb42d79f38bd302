package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"pumiceshelf/registry"
)

// unreachedTTL is how long endpoints that load shedding left out are probed after the last decision that left them out.
const unreachedTTL = time.Second

// unreachedEndpoints are the endpoints of a service that were out of reach at a time.
type unreachedEndpoints struct {
	endpoints []registry.Endpoint
	at        time.Time
}

// recordUnreached records the endpoints of a service that were left out of its capacity. While a partition lasts, requests that are
// refused for want of capacity do not try them, and after it they would be left out until one does.
func (s *shedding) recordUnreached(endpoints []registry.Endpoint, now time.Time) {
	if len(endpoints) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreached[endpoints[0].Service] = unreachedEndpoints{endpoints, now}
}

// nextUnreached returns an endpoint of each failure domain that was left out lately, at random.
func (s *shedding) nextUnreached(now time.Time) (next []registry.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, u := range s.unreached {
		if now.Sub(u.at) >= unreachedTTL {
			delete(s.unreached, service)
			continue
		}
		chosen := make(map[string]bool)
		for _, i := range rand.Perm(len(u.endpoints)) {
			if e := u.endpoints[i]; !chosen[e.Domain] {
				chosen[e.Domain] = true
				next = append(next, e)
			}
		}
	}
	return next
}

// probeUnreached connects to an endpoint that load shedding left out, and makes it and its failure domain count again if it can.
func (s *shedding) probeUnreached(ctx context.Context, e registry.Endpoint) {
	if s.gateway.connect(ctx, e) != nil {
		return
	}
	s.gateway.config.Chooser.Reached(e)
	s.gateway.config.Log.WithFields(log.Fields{"endpoint": e.ID, "domain": e.Domain}).Info("gateway: endpoint is in reach again")
	s.rooms.Delete(e.Service)
	s.shedder.RoomChanged(e.Service)
}
