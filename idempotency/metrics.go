package idempotency

import (
	"errors"

	"github.com/rcrowley/go-metrics"

	"pumiceshelf/objectstore"
	"pumiceshelf/telemetry"
)

var (
	runs          = telemetry.Describe("claim.runs", "requests", "Keyed requests that were let run.")
	joins         = telemetry.Describe("claim.joins", "requests", "Keyed requests that joined one in progress on the same instance.")
	remoteJoins   = telemetry.Describe("claim.joins.remote", "requests", "Keyed requests that waited for one on another instance.")
	recorded      = telemetry.Describe("claim.recorded", "requests", "Keyed requests that got a recorded outcome.")
	refMismatch   = telemetry.Describe("claim.refused.mismatch", "requests", "Keyed requests refused because the key was used with another body.")
	refUnavail    = telemetry.Describe("claim.refused.unavailable", "requests", "First attempts refused as not run because their claim could not be made durable.")
	refUndecided  = telemetry.Describe("claim.refused.undecided", "requests", "Keyed requests answered as unknown because their key's claim was out of reach.")
	refRunning    = telemetry.Describe("claim.refused.running", "requests", "Keyed requests answered as unknown because the one in progress outlasted their wait.")
	refUnknown    = telemetry.Describe("claim.refused.unknown", "requests", "Keyed requests answered as unknown because one with the key may have run.")
	refExpired    = telemetry.Describe("claim.refused.expired", "requests", "Keyed requests answered as unknown because their key is older than the retention.")
	refForged     = telemetry.Describe("claim.refused.forged", "requests", "Keyed requests refused because their key was not issued to the customer.")
	refLater      = telemetry.Describe("claim.refused.later_attempt", "requests", "Later attempts with a stated key answered as unknown because no record is on file.")
	localAdmits   = telemetry.Describe("claim.admitted.locally", "requests", "First attempts with a stated key let run without the platform.")
	keysIssued    = telemetry.Describe("claim.keys.issued", "keys", "Idempotency keys issued.")
	shardWrites   = telemetry.Describe("claim.writes", "writes", "Writes of claim objects to the platform.")
	shardGrouped  = telemetry.Describe("claim.changes", "claims", "Changes of claims made durable by those writes.")
	shardRolls    = telemetry.Describe("claim.rolls", "segments", "Segments written when a shard's head was full.")
	rollsFailed   = telemetry.Describe("claim.rolls.failed", "segments", "Segments that could not be put in place.")
	objectsLeft   = telemetry.Describe("claim.objects.left", "objects", "Claim objects that could not be removed.")
	retryConflict = telemetry.Describe("claim.retry.conflict", "writes", "Writes of claims repeated because another instance wrote the shard.")
	retryLost     = telemetry.Describe("claim.retry.answer_lost", "writes", "Writes of claims read back because their answer was lost.")
	retryOther    = telemetry.Describe("claim.retry.unavailable", "calls", "Calls for claims repeated because the platform failed.")
	viaPeer       = telemetry.Describe("claim.proposals.peer", "groups", "Groups of claims decided through another instance.")
	peerFailed    = telemetry.Describe("claim.proposals.peer_failed", "groups", "Groups of claims that another instance did not decide.")
	pendingSize   = telemetry.Describe("claim.pending", "outcomes", "Outcomes that wait to be made durable.")
	pendingLost   = telemetry.Describe("claim.pending.dropped", "outcomes", "Outcomes dropped because too many waited to be made durable.")
)

type counters struct {
	runs, joins, remoteJoins, recorded                          metrics.Counter
	mismatch, unavailable, undecided, running, unknown, expired metrics.Counter
	forged, later, localAdmits, issued                          metrics.Counter
	writes, grouped, rolls, rollFailed, leftBehind              metrics.Counter
	conflict, lost, failed, viaPeer, peerFailed, pendingLost    metrics.Counter
	pending                                                     metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	return counters{
		runs: runs.Counter(r), joins: joins.Counter(r), remoteJoins: remoteJoins.Counter(r), recorded: recorded.Counter(r),
		mismatch: refMismatch.Counter(r), unavailable: refUnavail.Counter(r), undecided: refUndecided.Counter(r),
		running: refRunning.Counter(r), unknown: refUnknown.Counter(r), expired: refExpired.Counter(r),
		forged: refForged.Counter(r), later: refLater.Counter(r), localAdmits: localAdmits.Counter(r), issued: keysIssued.Counter(r),
		writes: shardWrites.Counter(r), grouped: shardGrouped.Counter(r), rolls: shardRolls.Counter(r),
		rollFailed: rollsFailed.Counter(r), leftBehind: objectsLeft.Counter(r),
		conflict: retryConflict.Counter(r), lost: retryLost.Counter(r), failed: retryOther.Counter(r),
		viaPeer: viaPeer.Counter(r), peerFailed: peerFailed.Counter(r), pendingLost: pendingLost.Counter(r),
		pending: pendingSize.Gauge(r),
	}
}

// countRetry counts why a call to the platform is repeated.
func (k *Keeper) countRetry(err error) {
	switch {
	case errors.Is(err, objectstore.ErrConflict):
		k.count.conflict.Inc(1)
	case errors.Is(err, objectstore.ErrAmbiguous):
		k.count.lost.Inc(1)
	default:
		k.count.failed.Inc(1)
	}
}
