package prepaid

import "time"

// aheadRetryDelay is how long an instance requests no tokens in advance after a request for them got no response. On a full link, a
// response that comes too late leaves its tokens unused at the token holder until the request is abandoned.
const aheadRetryDelay = time.Second

// maxLoanHalvings bounds how often the size of loans is halved.
const maxLoanHalvings = 5

// requestAhead requests tokens for a request from the token holder of the failure domain. It handles the load of an instance that gets
// many requests of one customer at once, over a link that delays responses: if each of them asked for the tokens of the requests
// that follow, a quarter of a budget was allocated and not used for up to 20 s. Where tokens are rationed, only one of them does at a
// time.
func (m *Manager) requestAhead(a *account, needed int64, request func(wanted int64) Allocation) Allocation {
	if !m.rations() {
		return request(needed + a.allocationAhead(needed, m.config.ReduceParked))
	}
	now := m.config.Clock.Now()
	if !a.beginAhead(now) {
		return request(needed)
	}
	allocation := request(needed + a.allocationAhead(needed, m.config.ReduceParked))
	a.endAhead(allocation.StoreUnavailable, m.config.Clock.Now())
	return allocation
}

// beginAhead reports whether a request may ask for tokens in advance. If so, endAhead must follow.
func (a *account) beginAhead(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aheadRequested || now.Before(a.aheadNotBefore) {
		return false
	}
	a.aheadRequested = true
	return true
}

// endAhead records that the request that asked for tokens in advance has ended, and whether it got no response.
func (a *account) endAhead(unanswered bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aheadRequested = false
	if unanswered {
		a.aheadNotBefore = now.Add(aheadRetryDelay)
	}
}

// boundLoan returns how many tokens to borrow of those wanted: half after each loan that fell short, but not less than waiting
// requests need. The lender of a loan whose response is lost counts the tokens as spent until it is abandoned, and on a busy link each
// loan for the next seconds took several percent of a budget out of use.
func (a *account) boundLoan(wanted int64) int64 {
	waiting := a.demand().waiting
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(wanted, max(wanted>>a.loanHalvings, waiting))
}

// recordLoan records whether a loan fell short.
func (a *account) recordLoan(fellShort bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !fellShort {
		a.loanHalvings = 0
		return
	}
	a.loanHalvings = min(a.loanHalvings+1, maxLoanHalvings)
}
