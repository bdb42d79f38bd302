package shed

import (
	"math"
	"time"
)

const (
	// sentRateTime is the time constant of the work sent by rank: long enough for the few requests that one of 86 instances sees.
	sentRateTime = 5 * time.Second
	// minSpare is the least share of the slots that is assumed to be left for a rank by more urgent ones, so that waits are finite.
	minSpare = 0.05
	// learningTime is the time in which the backlog of each rank is learned: two time constants. Until then, requests are assumed to be
	// served in the order of arrival.
	learningTime = 2 * sentRateTime
)

// queueUp adds what was sent in the last seconds to the estimated work of waiting requests by rank, and takes off what the endpoints
// began to process, the most urgent first.
func (st *service) queueUp(room Room, elapsed float64) {
	if elapsed <= 0 {
		return
	}
	multiple, capacity := st.multiple(room), float64(room.Slots)*elapsed
	decay := math.Exp(-elapsed / sentRateTime.Seconds())
	for rank := range st.backlog {
		sent := multiple * st.sentWork[rank]
		st.sentRate[rank] = st.sentRate[rank]*decay + (1-decay)*sent/elapsed
		work := st.backlog[rank] + sent
		begun := min(work, capacity)
		st.backlog[rank], st.sentWork[rank] = work-begun, 0
		capacity -= begun
	}
}

// waits returns the expected wait of a request of each rank at engines, which begin with the most urgent one: until the work before
// it has begun in the slots that more urgent requests leave. The work that waits in all is known from reports; what the estimates by
// rank deviate from it is work of the least urgent ranks, which wait longest or are given up.
func (st *service) waits(slots, waiting float64, now time.Time) (waits [NumRanks]time.Duration) {
	learning := now.Sub(st.since) < learningTime
	sum, moreUrgent := 0.0, 0.0
	for rank := range st.backlog {
		st.backlog[rank] = min(st.backlog[rank], waiting-sum)
		sum += st.backlog[rank]
		if rank == NumRanks-1 {
			st.backlog[rank] += waiting - sum
			sum = waiting
		}
		waits[rank] = seconds(sum / max(slots-moreUrgent, minSpare*slots))
		if learning {
			waits[rank] = seconds(waiting / slots)
		}
		moreUrgent += st.sentRate[rank]
	}
	return waits
}

// wait returns the expected wait of a request at its endpoint. Plain services serve requests in the order of arrival.
func (p plan) wait(r Request, rank int) time.Duration {
	if r.PromptTokens+r.MaxOutputTokens <= 0 {
		return p.queueTime
	}
	return p.rankTimes[rank]
}
