// Package linkload measures how much of an instance's network link is in use, and decides when the instance should get no further
// callers. It answers a load that the load balancer divides unevenly: it selects the instance by a hash of the caller, so that one
// instance with a narrow link may get ten times the requests of another one. Its link then fills up, packets wait for longer than
// connections take to time out, and nearly none of its requests is served, while the links of other instances are idle.
//
// The load balancer sends new connections elsewhere while an instance reports that it is not ready, so that a caller with many
// connections is spread over several instances as one after the other leaves and returns.
//
// The package reads no clock: callers pass the time. A Monitor is safe for concurrent use.
package linkload

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// averageTime is the time constant of the utilization. It smooths single requests of some kilobytes, and follows a burst before callers
	// give up after a second.
	averageTime = 300 * time.Millisecond
	// minSampleTime is the shortest time over which a rate is measured.
	minSampleTime = 20 * time.Millisecond
	// packetBytes is the payload of a full TCP segment on Ethernet, and packetOverhead the size of its headers: 20 bytes IP, 32 bytes TCP
	// with timestamps and 14 bytes Ethernet. Stream events are small, so that headers are a third of what they take.
	packetBytes    = 1448
	packetOverhead = 66
	// busyUtilization is the utilization from which the link is too busy: at 0.8 a packet waits for the time of a few others, and acknowledgements
	// and connections in the other direction are not counted. idleUtilization is that up to which further callers are welcome.
	busyUtilization, idleUtilization = 0.8, 0.5
	// minBusyTime is how long the link counts as busy at least. The load balancer takes an instance out of rotation after two polls that
	// are a second apart. maxBusyTime bounds it: callers that are left do not move, and the instance must not stay unused for a wrong
	// rate of its link. minFreeTime is the least time between two of these periods, in which the load balancer sees it ready.
	minBusyTime, maxBusyTime = 3 * time.Second, 10 * time.Second
	minFreeTime              = 1500 * time.Millisecond
	// calmTime is the time in rotation after which the least time out of rotation is minBusyTime again. It doubles each time that the link
	// becomes busy earlier: the callers that the load balancer then sends back are those that had filled the link before.
	calmTime = maxBusyTime
)

// Monitor measures the utilization of one link.
type Monitor struct {
	// bytesPerSecond is the rate of the link in each direction.
	bytesPerSecond float64
	received, sent atomic.Int64

	mu sync.Mutex
	// sampledAt is when the averages in bytes per second were last updated, and the last counts are those at that time.
	sampledAt                    time.Time
	lastReceived, lastSent       int64
	averageReceived, averageSent float64
	// busy is set since changedAt.
	busy      bool
	changedAt time.Time
	// relapses counts how often in a row the link became busy before it was free for calmTime.
	relapses int
	// full is set from busyUtilization on, until the utilization is idleUtilization or less.
	full bool
}

// New returns a monitor of a link with a rate in bytes per second, the same in both directions.
func New(bytesPerSecond float64) *Monitor { return &Monitor{bytesPerSecond: bytesPerSecond} }

// Received records that n bytes were read from a connection at once.
func (m *Monitor) Received(n int) { m.received.Add(onLink(n)) }

// Sent records that n bytes were written to a connection at once.
func (m *Monitor) Sent(n int) { m.sent.Add(onLink(n)) }

// onLink returns the bytes that n bytes of payload take on the link.
func onLink(n int) int64 {
	if n <= 0 {
		return 0
	}
	packets := (n + packetBytes - 1) / packetBytes
	return int64(n + packets*packetOverhead)
}

// Busy reports whether the link is too busy for more callers, and whether that has changed since the last call. It must be called at
// least once a second.
func (m *Monitor) Busy(now time.Time) (busy, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	utilization, lasted := m.utilization(now), now.Sub(m.changedAt)
	switch {
	case !m.busy:
		changed = utilization >= busyUtilization && lasted >= minFreeTime
		if changed && lasted < calmTime {
			m.relapses++
		} else if changed {
			m.relapses = 0
		}
	default:
		changed = lasted >= maxBusyTime || lasted >= leastBusyTime(m.relapses) && utilization <= idleUtilization
	}
	if changed {
		m.busy, m.changedAt = !m.busy, now
	}
	return m.busy, changed
}

// leastBusyTime returns the least time for which the link counts as busy, after a number of relapses.
func leastBusyTime(relapses int) time.Duration {
	// Further doublings are beyond maxBusyTime.
	const maxDoublings = 4
	return min(minBusyTime<<min(relapses, maxDoublings), maxBusyTime)
}

// Full reports whether packets wait on the link now. Unlike Busy, it follows the utilization alone: the time in or out of rotation
// does not matter.
func (m *Monitor) Full(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if utilization := m.utilization(now); m.full {
		m.full = utilization > idleUtilization
	} else {
		m.full = utilization >= busyUtilization
	}
	return m.full
}

// utilization returns the part of the link that is in use, in the direction that is used more.
func (m *Monitor) utilization(now time.Time) float64 {
	received, sent := m.received.Load(), m.sent.Load()
	elapsed := now.Sub(m.sampledAt)
	switch {
	case m.sampledAt.IsZero():
		m.sampledAt, m.lastReceived, m.lastSent = now, received, sent
	case elapsed >= minSampleTime:
		weight := 1 - math.Exp(-elapsed.Seconds()/averageTime.Seconds())
		m.averageReceived += weight * (float64(received-m.lastReceived)/elapsed.Seconds() - m.averageReceived)
		m.averageSent += weight * (float64(sent-m.lastSent)/elapsed.Seconds() - m.averageSent)
		m.sampledAt, m.lastReceived, m.lastSent = now, received, sent
	}
	return max(m.averageReceived, m.averageSent) / m.bytesPerSecond
}
