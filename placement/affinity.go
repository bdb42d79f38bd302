package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefillTokensPerSecond is the prefill rate of an engine that also runs streams: chunks of 1,024 tokens in steps
	// of about 18.5 ms, from the published step times of the engines.
	prefillTokensPerSecond = 55_000.0
	// loadBoundFactor and loadBoundSlack bound an engine's requests relative to the mean of its service. Moving
	// requests by an engine's backlog instead repeated two to six times as much prefill work.
	loadBoundFactor = 2.5
	loadBoundSlack  = 4.0
	// overloadDivisor sets the overload limit: late requests are refused while the mean backlog of a service's engines
	// exceeds MaxTimeToFirstToken / overloadDivisor. Moving requests to other engines during a burst instead lost a
	// third of the burst's value to repeated prefill.
	overloadDivisor = 4
	// runningStreamDelay is the time that each running stream adds to a prefill, from the engines' time per slot.
	runningStreamDelay = 500 * time.Microsecond
	// sessionTTL is how long an engine is assumed to cache a prompt part after its last use.
	sessionTTL = 10 * time.Second
	// maxCachedSessions bounds the recorded session parts per engine.
	maxCachedSessions = 2048
	// maxRequestMultiplier bounds the factor by which this instance's prefills are scaled up to estimate those of all
	// instances at an engine.
	maxRequestMultiplier = 8.0
)

// chooseByAffinity returns the engine that ranks first by rendezvous hash of the session part among those within the
// load bound. If its backlog is too long, inTime is false while the service is overloaded; otherwise another engine
// with a short backlog is chosen if there is one.
func chooseByAffinity(usable []*endpointState, r Request, now time.Time) (s *endpointState, wait time.Duration, inTime bool) {
	session, sharedTokens := r.sessionPart()
	bound := loadBound(usable)
	withinBound := func(s *endpointState) bool { return float64(s.inflight) < bound }
	preferred := rendezvous(usable, session, withinBound)
	if preferred == nil {
		preferred = rendezvous(usable, session, func(*endpointState) bool { return true })
	}
	ownPrefill := preferred.prefillTime(r.PromptTokens - sharedTokens)
	wait = preferred.backlog(r.Priority, now)
	if r.MaxTimeToFirstToken == 0 || wait <= maxWait(r.MaxTimeToFirstToken, ownPrefill) {
		return preferred, wait, true
	}
	if overloaded(usable, r, now) && !r.NeverOverloaded {
		return preferred, wait, false
	}
	// Repeating the prefill of the shared parts costs little while backlogs are short.
	other := rendezvous(usable, session, func(s *endpointState) bool {
		return withinBound(s) && s.backlog(r.Priority, now) <= maxWait(r.MaxTimeToFirstToken, s.prefillTime(r.PromptTokens))/2
	})
	if other != nil {
		return other, other.backlog(r.Priority, now), true
	}
	return preferred, wait, true
}

// overloaded reports whether the mean backlog is so long that repeated prefill of shared parts, or a request that will
// be late anyway, would delay other requests.
func overloaded(usable []*endpointState, r Request, now time.Time) bool {
	var sum time.Duration
	for _, s := range usable {
		sum += s.backlog(r.Priority, now)
	}
	return sum/time.Duration(len(usable)) > r.MaxTimeToFirstToken/overloadDivisor
}

// maxWait returns how long a prompt may wait before its prefill starts. It is at least half of the limit, so that
// prompts whose own prefill exceeds the limit are not always refused.
func maxWait(limit, ownPrefill time.Duration) time.Duration {
	return max(limit-ownPrefill, limit/2)
}

// loadBound returns how many requests of this instance one engine may have in flight, relative to the mean of its
// service.
func loadBound(usable []*endpointState) float64 {
	total := 0
	for _, s := range usable {
		total += s.inflight
	}
	return loadBoundFactor*float64(total+1)/float64(len(usable)) + loadBoundSlack
}

// prefillTime returns the estimated prefill time of a number of prompt tokens.
func prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / prefillTokensPerSecond * float64(time.Second))
}

// rendezvous returns the allowed engine with the highest rendezvous hash for a prompt part, or nil if none is allowed.
// All instances compute the same engine for the same part.
func rendezvous(usable []*endpointState, part string, allowed func(*endpointState) bool) *endpointState {
	var best *endpointState
	var bestScore uint64
	for _, s := range usable {
		if !allowed(s) {
			continue
		}
		if score := s.learned.weight(xxhash.Sum64String(part + "\x00" + s.endpoint.ID)); best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// backlog returns the estimated time until an engine starts a new prompt of the given priority. It scales this
// instance's own pending prefills by requestMultiplier to account for the other instances, and is at least the age of
// the oldest of them.
func (s *endpointState) backlog(priority int, now time.Time) time.Duration {
	tokens, oldest := int64(0), time.Duration(0)
	for p := range s.prefills {
		if p.priority <= priority {
			tokens += p.tokens
			oldest = max(oldest, now.Sub(p.since))
		}
	}
	wait := time.Duration(float64(s.prefillTime(tokens)) * s.requestMultiplier(now))
	if now.Sub(s.loadAt) < loadReportTTL {
		wait += time.Duration(s.load.Running) * runningStreamDelay
	}
	return max(wait, oldest)
}

// requestMultiplier returns the ratio of all requests at the engine, from its load report, to those of this instance.
// It is 1 without a current report.
func (s *endpointState) requestMultiplier(now time.Time) float64 {
	if now.Sub(s.loadAt) >= loadReportTTL || s.inflight == 0 {
		return 1
	}
	all := float64(s.load.Running + s.load.Waiting)
	return min(max(all/float64(s.inflight), 1), maxRequestMultiplier)
}

// hasCached reports whether this instance sent the engine a prompt with the session part within sessionTTL.
func (s *endpointState) hasCached(session string, now time.Time) bool {
	at, ok := s.cachedSessions[session]
	return ok && now.Sub(at) < sessionTTL
}

// startPrefill records that a prompt is sent to the engine. It returns nil for requests without a prompt.
func (s *endpointState) startPrefill(r Request, now time.Time) *prefill {
	if len(r.PromptParts) == 0 {
		return nil
	}
	session, sharedTokens := r.sessionPart()
	uncached := r.PromptTokens
	if s.hasCached(session, now) {
		uncached -= sharedTokens
	}
	if len(s.cachedSessions) >= maxCachedSessions {
		s.evictSessions(now)
	}
	s.cachedSessions[session] = now
	p := &prefill{tokens: uncached, priority: r.Priority, since: now}
	s.prefills[p] = true
	return p
}

// evictSessions deletes the session parts older than sessionTTL, or all of them if none is.
func (s *endpointState) evictSessions(now time.Time) {
	before := len(s.cachedSessions)
	for id, at := range s.cachedSessions {
		if now.Sub(at) >= sessionTTL {
			delete(s.cachedSessions, id)
		}
	}
	if len(s.cachedSessions) == before {
		clear(s.cachedSessions)
	}
}

func (s *endpointState) finishPrefill(p *prefill) { delete(s.prefills, p) }
