package router_test

import (
	"fmt"
	"testing"
	"time"
)

// The constants describe a play in which one instance has five times the requests of the others, before engines that a burst exceeds.
const (
	burstBegins, burstEnds = warmUp + 10*time.Second, warmUp + 30*time.Second
	burstLoad              = 1.5
	mostRequests           = 5
	// maxRefusedWithRoom is the share of the refusals that may come although there is capacity for all: a target of package shed, since
	// load reports are up to 3 s old.
	maxRefusedWithRoom = 0.01
)

func playUnequalLoad(instances int, seed uint64) *loadPlay {
	p := newLoadPlay(seed, instances, 10, 12, 0, true)
	p.instances[0].weight = mostRequests
	capacity := p.capacity(allServers)
	p.send(burstEnds, func(at time.Duration) float64 {
		if at < burstBegins {
			return calmLoad * capacity
		}
		return burstLoad * capacity
	})
	p.stop()
	return p
}

// TestInstanceWithMostRequests guards callers while one instance has five times the requests of the others: neither its callers nor those
// of the others may be starved, and urgent requests go first.
func TestInstanceWithMostRequests(t *testing.T) {
	forLoads(t, func(t *testing.T, instances int, seed uint64) {
		p := playUnequalLoad(instances, seed)
		queries := p.between(burstBegins, burstEnds)
		came, _, used := p.admitted(allServers, burstBegins+reportsKnown, burstEnds)
		t.Logf("came %.3f of the capacity, %.3f of the slots used, longest wait %v, %v", came, used, longestWait(queries), statuses(queries))
		refused := statuses(queries)["503 no-room"]
		if wrong := p.refusedWithRoom(allServers, 0, burstEnds); float64(len(wrong)) > maxRefusedWithRoom*float64(refused) {
			t.Errorf("%d of %d requests were refused although there was capacity for all", len(wrong), refused)
			reportBroken(t, wrong)
		}
		all := sharesBy(queries, byAll)[0].served()
		for _, s := range sharesBy(queries, func(q *query) string {
			return fmt.Sprint("first sent to the instance with most requests: ", q.answers[0].instance == p.instances[0].name)
		}) {
			t.Logf("%s: served %.3f of %d", s.group, s.served(), s.asked)
			if s.served() < minShareOfAverage*all {
				t.Errorf("%s: served %.3f of %d, all %.3f", s.group, s.served(), s.asked, all)
			}
		}
		p.checkShares(t, "one instance has five times the requests", queries)
		p.checkRefusals(t)
	})
}

// TestNobodyWaitsInVain guards callers of engines that are sent to one and wait there until their time is over, which a refusal would
// have saved them.
func TestNobodyWaitsInVain(t *testing.T) {
	forLoads(t, func(t *testing.T, instances int, seed uint64) {
		p := playUnequalLoad(instances, seed)
		reportBroken(t, p.lateQueries(p.between(burstBegins, burstEnds)))
	})
}
