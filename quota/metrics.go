package quota

import (
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/telemetry"
)

var (
	descGranted      = telemetry.Describe("quota.reserve.granted", "requests", "Reservations granted to this instance's own requests.")
	descExhausted    = telemetry.Describe("quota.refused.exhausted", "requests", "Reservations refused because the budget lacks the tokens.")
	descOutOfReach   = telemetry.Describe("quota.refused.out_of_reach", "requests", "Reservations refused because the tokens cannot be reached now.")
	descUnknown      = telemetry.Describe("quota.refused.unknown_budget", "requests", "Reservations refused because no such budget is in force.")
	descWaited       = telemetry.Describe("quota.reserve.waited", "requests", "Reservations that had to wait for tokens at this holder.")
	descHolderRetry  = telemetry.Describe("quota.retry.holder_unreachable", "requests", "Reservations made under an own lease because the holder did not answer.")
	descNotHolder    = telemetry.Describe("quota.retry.not_holder", "requests", "Reservations made under an own lease because the instance asked does not hold the budget.")
	descSettled      = telemetry.Describe("quota.settle.settled", "requests", "Requests billed by this holder.")
	descDuplicate    = telemetry.Describe("quota.settle.duplicate", "requests", "Settlements of requests that were billed before.")
	descOverBound    = telemetry.Describe("quota.settle.over_bound", "requests", "Requests whose usage was over their bound and that were billed at the bound.")
	descReleased     = telemetry.Describe("quota.settle.released", "requests", "Reservations released because the request did not run.")
	descAdopted      = telemetry.Describe("quota.settle.adopted", "requests", "Records kept for a lease whose holder is gone.")
	descResent       = telemetry.Describe("quota.retry.settle", "requests", "Settlements sent again because the holder did not answer or is gone.")
	descOrphan       = telemetry.Describe("quota.orphan.resolved", "requests", "Requests of lost instances billed at the usage that an engine reported.")
	descOrphanBound  = telemetry.Describe("quota.orphan.at_bound", "requests", "Requests of lost instances billed at their bound.")
	descOrphanFreed  = telemetry.Describe("quota.orphan.released", "requests", "Reservations released because their live entry instance does not know them.")
	descWrites       = telemetry.Describe("quota.ledger.writes", "calls", "Ledger updates sent to the platform.")
	descReads        = telemetry.Describe("quota.ledger.reads", "calls", "Ledgers read from the platform.")
	descConflict     = telemetry.Describe("quota.retry.ledger_conflict", "calls", "Ledger updates tried again after a conflict.")
	descAmbiguous    = telemetry.Describe("quota.retry.ledger_answer_lost", "calls", "Ledger updates read back because their answer was lost.")
	descUnavailable  = telemetry.Describe("quota.retry.platform_unavailable", "calls", "Calls to the platform that failed and are tried again.")
	descAckFailed    = telemetry.Describe("quota.retry.witness_unreachable", "calls", "Acknowledgement calls that a witness did not answer.")
	descAcks         = telemetry.Describe("quota.witness.asked", "calls", "Acknowledgement calls sent to witnesses.")
	descSealedLease  = telemetry.Describe("quota.witness.sealed", "leases", "Leases that a witness refused because they are sealed.")
	descSegments     = telemetry.Describe("quota.segment.writes", "calls", "Usage segments sent to the platform.")
	descSegmentRetry = telemetry.Describe("quota.retry.segment", "calls", "Usage segments sent again after a failed call.")
	descTaken        = telemetry.Describe("quota.lease.taken", "leases", "Leases taken.")
	descGivenBack    = telemetry.Describe("quota.lease.returned", "leases", "Leases closed by their holder.")
	descLost         = telemetry.Describe("quota.lease.lost", "leases", "Own leases found closed by a reclaimer.")
	descReclaimed    = telemetry.Describe("quota.lease.reclaimed", "leases", "Leases of lost holders closed by this instance.")
	descReclaimWait  = telemetry.Describe("quota.retry.reclaim", "leases", "Reclaims put off because a witness did not seal or the ledger changed.")
	descFolded       = telemetry.Describe("quota.segment.folded", "segments", "Usage segments folded into totals by this instance.")
	descRefunded     = telemetry.Describe("quota.billing.refunded", "requests", "Records of requests that were billed before under another lease.")
	descUnmirrored   = telemetry.Describe("quota.mirror.missed", "requests", "Requests granted though no witness keeps them: they are not billed if this instance is lost.")
	descMirrorFull   = telemetry.Describe("quota.mirror.full", "calls", "Mirror calls of other holders turned away because this instance keeps too many requests.")
	descMirrorBilled = telemetry.Describe("quota.mirror.billed", "requests", "Requests of lost holders billed by this instance, their witness.")
)

// counters holds the manager's counters, looked up once.
type counters struct {
	granted, exhausted, outOfReach, unknown, waited, holderRetry, notHolder metrics.Counter
	settled, duplicate, overBound, released, adopted, resent                metrics.Counter
	orphan, orphanBound, orphanFreed                                        metrics.Counter
	unmirrored, mirrorFull, mirrorBilled                                    metrics.Counter
	writes, reads, conflict, ambiguous, unavailable                         metrics.Counter
	ackFailed, acks, sealedLease, segments, segmentRetry                    metrics.Counter
	taken, givenBack, lost, reclaimed, reclaimWait, folded, refunded        metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	return &counters{
		granted: descGranted.Counter(r), exhausted: descExhausted.Counter(r), outOfReach: descOutOfReach.Counter(r),
		unknown: descUnknown.Counter(r), waited: descWaited.Counter(r), holderRetry: descHolderRetry.Counter(r),
		notHolder: descNotHolder.Counter(r), settled: descSettled.Counter(r), duplicate: descDuplicate.Counter(r),
		overBound: descOverBound.Counter(r), released: descReleased.Counter(r), adopted: descAdopted.Counter(r),
		resent: descResent.Counter(r), orphan: descOrphan.Counter(r), orphanBound: descOrphanBound.Counter(r),
		orphanFreed: descOrphanFreed.Counter(r), writes: descWrites.Counter(r), reads: descReads.Counter(r),
		conflict: descConflict.Counter(r), ambiguous: descAmbiguous.Counter(r), unavailable: descUnavailable.Counter(r),
		ackFailed: descAckFailed.Counter(r), acks: descAcks.Counter(r), sealedLease: descSealedLease.Counter(r),
		segments: descSegments.Counter(r), segmentRetry: descSegmentRetry.Counter(r), taken: descTaken.Counter(r),
		givenBack: descGivenBack.Counter(r), lost: descLost.Counter(r), reclaimed: descReclaimed.Counter(r),
		reclaimWait: descReclaimWait.Counter(r), folded: descFolded.Counter(r), refunded: descRefunded.Counter(r),
		unmirrored: descUnmirrored.Counter(r), mirrorFull: descMirrorFull.Counter(r), mirrorBilled: descMirrorBilled.Counter(r),
	}
}
