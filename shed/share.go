package shed

import (
	"math"
	"time"
)

// advance adds the time since the last call to the decayed sums.
func (st *service) advance(room Room, now time.Time) {
	elapsed := min(now.Sub(st.advancedAt), maxGap).Seconds()
	utilization := float64(room.Running) / float64(room.Slots)
	if st.advancedAt.IsZero() || elapsed < 0 {
		elapsed, st.utilization = 0, utilization
	}
	st.utilization += (utilization - st.utilization) * (1 - math.Exp(-elapsed/utilizationTime.Seconds()))
	if st.since.IsZero() {
		st.since = now
	}
	st.advancedAt = now
	decay := math.Exp(-elapsed / calibrationTime.Seconds())
	requests := room.Running + room.Waiting
	// The sum of a steady load must not depend on how often it is advanced, or instances that see few requests take the load for smaller.
	arrived := calibrationTime.Seconds() * (1 - decay) * float64(room.Running)
	if st.reported != 0 {
		arrived += float64(requests-st.reported) * st.sentMean()
	}
	st.reported = requests
	st.queueUp(room, elapsed)
	st.arrivedWork = max(st.arrivedWork*decay+st.plan.weight()*arrived, 0)
	st.sentCount *= decay
}

// multiple returns the load of all instances relative to that of this one. By Little's law, the slots taken are the work that ends
// per second; with the growth of the queues, it is the work that all instances send. Until this instance has sent enough, equal
// shares are assumed.
func (st *service) multiple(room Room) float64 {
	n := float64(max(room.Instances, 1))
	prior := priorRequests * st.sentMean()
	m := (st.arrivedWork + prior*n) / (st.sentCount*st.sentMean() + prior)
	return min(max(m, 1), 4*n)
}
