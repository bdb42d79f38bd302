package idempotency

import (
	"errors"

	"github.com/rcrowley/go-metrics"

	"pumiceshelf/objectstore"
	"pumiceshelf/telemetry"
)

var (
	descRuns             = telemetry.Describe("claim.runs", "requests", "Keyed requests that were let run.")
	descJoins            = telemetry.Describe("claim.joins", "requests", "Keyed requests that joined one in progress on the same instance.")
	descRemoteJoins      = telemetry.Describe("claim.joins.remote", "requests", "Keyed requests that waited for one on another instance.")
	descRecorded         = telemetry.Describe("claim.recorded", "requests", "Keyed requests that got a recorded outcome.")
	descMismatch         = telemetry.Describe("claim.refused.mismatch", "requests", "Keyed requests refused because the key was used with another body.")
	descUnavailable      = telemetry.Describe("claim.refused.unavailable", "requests", "First attempts refused as not run because their claim could not be made durable.")
	descUndecided        = telemetry.Describe("claim.refused.undecided", "requests", "Keyed requests answered as unknown because their key's claim was out of reach.")
	descRunning          = telemetry.Describe("claim.refused.running", "requests", "Keyed requests answered as unknown because the one in progress outlasted their wait.")
	descUnknown          = telemetry.Describe("claim.refused.unknown", "requests", "Keyed requests answered as unknown because one with the key may have run.")
	descExpired          = telemetry.Describe("claim.refused.expired", "requests", "Keyed requests answered as unknown because their key is older than the retention.")
	descForged           = telemetry.Describe("claim.refused.forged", "requests", "Keyed requests refused because their key was not issued to the customer.")
	descLaterAttempt     = telemetry.Describe("claim.refused.later_attempt", "requests", "Later attempts with a stated key answered as unknown because no record is on file.")
	descLocalAdmits      = telemetry.Describe("claim.admitted.locally", "requests", "First attempts with a stated key let run without the platform.")
	descKeysIssued       = telemetry.Describe("claim.keys.issued", "keys", "Idempotency keys issued.")
	descWrites           = telemetry.Describe("claim.writes", "writes", "Writes of claim objects to the platform.")
	descChanges          = telemetry.Describe("claim.changes", "claims", "Changes of claims made durable by those writes.")
	descRolls            = telemetry.Describe("claim.rolls", "segments", "Segments written when a shard's head was full.")
	descRollsFailed      = telemetry.Describe("claim.rolls.failed", "segments", "Segments that could not be put in place.")
	descObjectsLeft      = telemetry.Describe("claim.objects.left", "objects", "Claim objects that could not be removed.")
	descRetryConflict    = telemetry.Describe("claim.retry.conflict", "writes", "Writes of claims repeated because another instance wrote the shard.")
	descRetryAmbiguous   = telemetry.Describe("claim.retry.answer_lost", "writes", "Writes of claims read back because their answer was lost.")
	descRetryUnavailable = telemetry.Describe("claim.retry.unavailable", "calls", "Calls for claims repeated because the platform failed.")
	descViaPeer          = telemetry.Describe("claim.proposals.peer", "groups", "Groups of claims decided through another instance.")
	descPeerFailed       = telemetry.Describe("claim.proposals.peer_failed", "groups", "Groups of claims that another instance did not decide.")
	descPending          = telemetry.Describe("claim.pending", "outcomes", "Outcomes that wait to be made durable.")
	descPendingDropped   = telemetry.Describe("claim.pending.dropped", "outcomes", "Outcomes dropped because too many waited to be made durable.")
)

type counters struct {
	runs, joins, remoteJoins, recorded                                                   metrics.Counter
	mismatch, unavailable, undecided, running, unknown, expired                          metrics.Counter
	forged, laterAttempt, localAdmits, keysIssued                                        metrics.Counter
	writes, changes, rolls, rollsFailed, objectsLeft                                     metrics.Counter
	retryConflict, retryAmbiguous, retryUnavailable, viaPeer, peerFailed, pendingDropped metrics.Counter
	pending                                                                              metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	return counters{
		runs: descRuns.Counter(r), joins: descJoins.Counter(r), remoteJoins: descRemoteJoins.Counter(r), recorded: descRecorded.Counter(r),
		mismatch: descMismatch.Counter(r), unavailable: descUnavailable.Counter(r), undecided: descUndecided.Counter(r),
		running: descRunning.Counter(r), unknown: descUnknown.Counter(r), expired: descExpired.Counter(r),
		forged: descForged.Counter(r), laterAttempt: descLaterAttempt.Counter(r), localAdmits: descLocalAdmits.Counter(r), keysIssued: descKeysIssued.Counter(r),
		writes: descWrites.Counter(r), changes: descChanges.Counter(r), rolls: descRolls.Counter(r),
		rollsFailed: descRollsFailed.Counter(r), objectsLeft: descObjectsLeft.Counter(r),
		retryConflict: descRetryConflict.Counter(r), retryAmbiguous: descRetryAmbiguous.Counter(r), retryUnavailable: descRetryUnavailable.Counter(r),
		viaPeer: descViaPeer.Counter(r), peerFailed: descPeerFailed.Counter(r), pendingDropped: descPendingDropped.Counter(r),
		pending: descPending.Gauge(r),
	}
}

// countRetry counts a retried call to the object store by the error that caused the retry.
func (m *Manager) countRetry(err error) {
	switch {
	case errors.Is(err, objectstore.ErrConflict):
		m.counters.retryConflict.Inc(1)
	case errors.Is(err, objectstore.ErrAmbiguous):
		m.counters.retryAmbiguous.Inc(1)
	default:
		m.counters.retryUnavailable.Inc(1)
	}
}
