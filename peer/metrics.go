package peer

import (
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/telemetry"
)

var (
	heartbeatsSent     = telemetry.Describe("peer.heartbeats.sent", "heartbeats", "Heartbeats sent to other instances.")
	heartbeatsReceived = telemetry.Describe("peer.heartbeats.received", "heartbeats", "Heartbeats received from other instances.")
	heartbeatsMissed   = telemetry.Describe("peer.heartbeats.missed", "heartbeats", "Heartbeats that failed or were not answered in time.")
	connsDialed        = telemetry.Describe("peer.connections.dialed", "connections", "Connections dialled to other instances.")
	connsFailed        = telemetry.Describe("peer.connections.failed", "connections", "Connections that could not be opened or secured.")
	connsDiscarded     = telemetry.Describe("peer.connections.discarded", "connections", "Connections closed because a heartbeat to their instance was missed.")
	connsRefused       = telemetry.Describe("peer.connections.no_member", "calls", "Connections refused because no such live instance is known.")
	instancesSuspected = telemetry.Describe("peer.instances.suspected", "instances", "Instances that this instance was first to miss a heartbeat of.")
	instancesFailed    = telemetry.Describe("peer.instances.gone", "instances", "Instances that were silent for the failure timeout.")
	instancesReturned  = telemetry.Describe("peer.instances.returned", "instances", "Instances that answered again after they were treated as gone.")
	instancesReplaced  = telemetry.Describe("peer.instances.replaced", "instances", "Incarnations at whose address a later one answered.")
	instancesLive      = telemetry.Describe("peer.instances.live", "instances", "Instances treated as live, this one included.")
	listsRead          = telemetry.Describe("peer.list.reads", "reads", "Reads of the platform's instance list.")
	listsFailed        = telemetry.Describe("peer.list.failed", "reads", "Reads of the platform's instance list that failed.")
)

type counters struct {
	sent, received, missed, dialed, dialFailed, discarded, noMember metrics.Counter
	suspected, failed, returned, superseded, listReads, listFailed  metrics.Counter
	live                                                            metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	return counters{
		sent:       heartbeatsSent.Counter(r),
		received:   heartbeatsReceived.Counter(r),
		missed:     heartbeatsMissed.Counter(r),
		dialed:     connsDialed.Counter(r),
		dialFailed: connsFailed.Counter(r),
		discarded:  connsDiscarded.Counter(r),
		noMember:   connsRefused.Counter(r),
		suspected:  instancesSuspected.Counter(r),
		failed:     instancesFailed.Counter(r),
		returned:   instancesReturned.Counter(r),
		superseded: instancesReplaced.Counter(r),
		listReads:  listsRead.Counter(r),
		listFailed: listsFailed.Counter(r),
		live:       instancesLive.Gauge(r),
	}
}
