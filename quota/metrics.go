package quota

import (
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/telemetry"
)

var (
	descGranted            = telemetry.Describe("quota.reserve.granted", "requests", "Reservations granted to this instance's own requests.")
	descExhausted          = telemetry.Describe("quota.refused.exhausted", "requests", "Reservations refused because the budget lacks the tokens.")
	descRefusedUnavailable = telemetry.Describe("quota.refused.out_of_reach", "requests", "Reservations refused because the tokens cannot be reached now.")
	descUnknownBudget      = telemetry.Describe("quota.refused.unknown_budget", "requests", "Reservations refused because no such budget is in force.")
	descWaited             = telemetry.Describe("quota.reserve.waited", "requests", "Reservations that had to wait for tokens at this holder.")
	descHolderRetry        = telemetry.Describe("quota.retry.holder_unreachable", "requests", "Reservations made under an own lease because the holder did not answer.")
	descNotHolder          = telemetry.Describe("quota.retry.not_holder", "requests", "Reservations made under an own lease because the instance asked does not hold the budget.")
	descSettled            = telemetry.Describe("quota.settle.settled", "requests", "Requests billed by this holder.")
	descDuplicate          = telemetry.Describe("quota.settle.duplicate", "requests", "Settlements of requests that were billed before.")
	descOverBound          = telemetry.Describe("quota.settle.over_bound", "requests", "Requests whose usage was over their bound and that were billed at the bound.")
	descReleased           = telemetry.Describe("quota.settle.released", "requests", "Reservations released because the request did not run.")
	descAdopted            = telemetry.Describe("quota.settle.adopted", "requests", "Records kept for a lease whose holder is gone.")
	descResent             = telemetry.Describe("quota.retry.settle", "requests", "Settlements sent again because the holder did not answer or is gone.")
	descOrphanResolved     = telemetry.Describe("quota.orphan.resolved", "requests", "Requests of lost instances billed at the usage that an engine reported.")
	descOrphanAtBound      = telemetry.Describe("quota.orphan.at_bound", "requests", "Requests of lost instances billed at their bound.")
	descOrphanReleased     = telemetry.Describe("quota.orphan.released", "requests", "Reservations released because their live entry instance does not know them.")
	descLedgerWrites       = telemetry.Describe("quota.ledger.writes", "calls", "Ledger updates sent to the platform.")
	descLedgerReads        = telemetry.Describe("quota.ledger.reads", "calls", "Ledgers read from the platform.")
	descLedgerConflict     = telemetry.Describe("quota.retry.ledger_conflict", "calls", "Ledger updates tried again after a conflict.")
	descLedgerAmbiguous    = telemetry.Describe("quota.retry.ledger_answer_lost", "calls", "Ledger updates read back because their answer was lost.")
	descStoreUnavailable   = telemetry.Describe("quota.retry.platform_unavailable", "calls", "Calls to the platform that failed and are tried again.")
	descAckFailed          = telemetry.Describe("quota.retry.witness_unreachable", "calls", "Acknowledgement calls that a witness did not answer.")
	descAckCalls           = telemetry.Describe("quota.witness.asked", "calls", "Acknowledgement calls sent to witnesses.")
	descLeaseSealed        = telemetry.Describe("quota.witness.sealed", "leases", "Leases that a witness refused because they are sealed.")
	descSegmentWrites      = telemetry.Describe("quota.segment.writes", "calls", "Usage segments sent to the platform.")
	descSegmentRetry       = telemetry.Describe("quota.retry.segment", "calls", "Usage segments sent again after a failed call.")
	descLeaseAcquired      = telemetry.Describe("quota.lease.taken", "leases", "Leases taken.")
	descLeaseReturned      = telemetry.Describe("quota.lease.returned", "leases", "Leases closed by their holder.")
	descLeaseLost          = telemetry.Describe("quota.lease.lost", "leases", "Own leases found closed by a reclaimer.")
	descLeaseReclaimed     = telemetry.Describe("quota.lease.reclaimed", "leases", "Leases of lost holders closed by this instance.")
	descReclaimPostponed   = telemetry.Describe("quota.retry.reclaim", "leases", "Reclaims put off because a witness did not seal or the ledger changed.")
	descSegmentFolded      = telemetry.Describe("quota.segment.folded", "segments", "Usage segments folded into totals by this instance.")
	descRecordRefunded     = telemetry.Describe("quota.billing.refunded", "requests", "Records of requests that were billed before under another lease.")
	descUnmirrored         = telemetry.Describe("quota.mirror.missed", "requests", "Requests granted though no witness keeps them: they are not billed if this instance is lost.")
	descMirrorFull         = telemetry.Describe("quota.mirror.full", "calls", "Mirror calls of other holders turned away because this instance keeps too many requests.")
	descMirrorCharged      = telemetry.Describe("quota.mirror.billed", "requests", "Requests of lost holders billed by this instance, their witness.")
)

// counters holds the manager's counters, which are looked up once.
type counters struct {
	granted, exhausted, refusedUnavailable, unknownBudget, waited, holderRetry, notHolder                    metrics.Counter
	settled, duplicate, overBound, released, adopted, resent                                                 metrics.Counter
	orphanResolved, orphanAtBound, orphanReleased                                                            metrics.Counter
	unmirrored, mirrorFull, mirrorCharged                                                                    metrics.Counter
	ledgerWrites, ledgerReads, ledgerConflict, ledgerAmbiguous, storeUnavailable                             metrics.Counter
	ackFailed, ackCalls, leaseSealed, segmentWrites, segmentRetry                                            metrics.Counter
	leaseAcquired, leaseReturned, leaseLost, leaseReclaimed, reclaimPostponed, segmentFolded, recordRefunded metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	return &counters{
		granted: descGranted.Counter(r), exhausted: descExhausted.Counter(r),
		refusedUnavailable: descRefusedUnavailable.Counter(r), unknownBudget: descUnknownBudget.Counter(r),
		waited: descWaited.Counter(r), holderRetry: descHolderRetry.Counter(r), notHolder: descNotHolder.Counter(r),
		settled: descSettled.Counter(r), duplicate: descDuplicate.Counter(r), overBound: descOverBound.Counter(r),
		released: descReleased.Counter(r), adopted: descAdopted.Counter(r), resent: descResent.Counter(r),
		orphanResolved: descOrphanResolved.Counter(r), orphanAtBound: descOrphanAtBound.Counter(r),
		orphanReleased: descOrphanReleased.Counter(r), ledgerWrites: descLedgerWrites.Counter(r),
		ledgerReads: descLedgerReads.Counter(r), ledgerConflict: descLedgerConflict.Counter(r),
		ledgerAmbiguous: descLedgerAmbiguous.Counter(r), storeUnavailable: descStoreUnavailable.Counter(r),
		ackFailed: descAckFailed.Counter(r), ackCalls: descAckCalls.Counter(r), leaseSealed: descLeaseSealed.Counter(r),
		segmentWrites: descSegmentWrites.Counter(r), segmentRetry: descSegmentRetry.Counter(r),
		leaseAcquired: descLeaseAcquired.Counter(r), leaseReturned: descLeaseReturned.Counter(r),
		leaseLost: descLeaseLost.Counter(r), leaseReclaimed: descLeaseReclaimed.Counter(r),
		reclaimPostponed: descReclaimPostponed.Counter(r), segmentFolded: descSegmentFolded.Counter(r),
		recordRefunded: descRecordRefunded.Counter(r), unmirrored: descUnmirrored.Counter(r),
		mirrorFull: descMirrorFull.Counter(r), mirrorCharged: descMirrorCharged.Counter(r),
	}
}
