package idempotency

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
)

func TestPendingOutcomesAreBounded(t *testing.T) {
	Convey("Given as many pending outcomes as are kept, of which a batch is being written", t, func() {
		m := New(Config{Metrics: metrics.NewRegistry(), Clock: clockwork.NewFakeClock(), Self: &api.Instance{}})
		p := m.pending
		proposals := make([]*api.ClaimProposal, maxPendingOutcomes+maxPendingBatch)
		for i := range proposals {
			proposals[i] = &api.ClaimProposal{}
		}
		for _, proposal := range proposals[:maxPendingOutcomes] {
			p.add(proposal)
		}
		batch := p.takeBatch()
		failed := make([]bool, len(batch))
		for i := range failed {
			failed[i] = true
		}
		for _, proposal := range proposals[maxPendingOutcomes:] {
			p.add(proposal)
		}

		Convey("if the batch fails, the oldest outcomes are dropped, and each further one replaces the oldest", func() {
			So(p.requeueFailed(batch, failed), ShouldBeFalse)
			So(p.size(), ShouldEqual, maxPendingOutcomes)
			So(m.counters.pendingDropped.Count(), ShouldEqual, maxPendingBatch)
			So(p.queue[0], ShouldPointTo, proposals[maxPendingBatch])
			p.add(&api.ClaimProposal{})
			So(p.size(), ShouldEqual, maxPendingOutcomes)
			So(m.counters.pendingDropped.Count(), ShouldEqual, maxPendingBatch+1)
		})
		Convey("if a part of the batch fails, only as many are dropped", func() {
			failed[0], failed[1] = false, false
			So(p.requeueFailed(batch, failed), ShouldBeFalse)
			So(p.size(), ShouldEqual, maxPendingOutcomes)
			So(m.counters.pendingDropped.Count(), ShouldEqual, maxPendingBatch-2)
		})
	})
}
