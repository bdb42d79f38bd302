package peer

import (
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/telemetry"
)

var (
	descHeartbeatsSent      = telemetry.Describe("peer.heartbeats.sent", "heartbeats", "Heartbeats sent to other instances.")
	descHeartbeatsReceived  = telemetry.Describe("peer.heartbeats.received", "heartbeats", "Heartbeats received from other instances.")
	descHeartbeatsMissed    = telemetry.Describe("peer.heartbeats.missed", "heartbeats", "Heartbeats that failed or were not answered in time.")
	descConnsDialed         = telemetry.Describe("peer.connections.dialed", "connections", "Connections dialled to other instances.")
	descConnsFailed         = telemetry.Describe("peer.connections.failed", "connections", "Connections that could not be opened or secured.")
	descConnsDiscarded      = telemetry.Describe("peer.connections.discarded", "connections", "Connections closed because a heartbeat to their instance was missed.")
	descConnsRefused        = telemetry.Describe("peer.connections.no_member", "calls", "Connections refused because no such live instance is known.")
	descInstancesSuspected  = telemetry.Describe("peer.instances.suspected", "instances", "Instances that this instance was first to miss a heartbeat of.")
	descInstancesFailed     = telemetry.Describe("peer.instances.gone", "instances", "Instances that were silent for the failure timeout.")
	descInstancesRecovered  = telemetry.Describe("peer.instances.returned", "instances", "Instances that answered again after they were treated as gone.")
	descInstancesSuperseded = telemetry.Describe("peer.instances.replaced", "instances", "Incarnations at whose address a later one answered.")
	descInstancesLive       = telemetry.Describe("peer.instances.live", "instances", "Instances treated as live, this one included.")
	descListReads           = telemetry.Describe("peer.list.reads", "reads", "Reads of the platform's instance list.")
	descListFailed          = telemetry.Describe("peer.list.failed", "reads", "Reads of the platform's instance list that failed.")
)

type counters struct {
	sent, received, missed, dialed, dialFailed, discarded, noMember metrics.Counter
	suspected, failed, recovered, superseded, listReads, listFailed metrics.Counter
	live                                                            metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	return counters{
		sent:       descHeartbeatsSent.Counter(r),
		received:   descHeartbeatsReceived.Counter(r),
		missed:     descHeartbeatsMissed.Counter(r),
		dialed:     descConnsDialed.Counter(r),
		dialFailed: descConnsFailed.Counter(r),
		discarded:  descConnsDiscarded.Counter(r),
		noMember:   descConnsRefused.Counter(r),
		suspected:  descInstancesSuspected.Counter(r),
		failed:     descInstancesFailed.Counter(r),
		recovered:  descInstancesRecovered.Counter(r),
		superseded: descInstancesSuperseded.Counter(r),
		listReads:  descListReads.Counter(r),
		listFailed: descListFailed.Counter(r),
		live:       descInstancesLive.Gauge(r),
	}
}
