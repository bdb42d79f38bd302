package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readRate is how many prompt tokens an engine reads in a second while it also runs streams: chunks of 1,024 tokens
	// in steps of about 18.5 ms, from the published step times of the engines.
	readRate = 55_000.0
	// loadBoundFactor and loadBoundSlack bound an engine's requests against the mean of its service. Trials that moved
	// requests by the work before an engine instead had two to six times as much read again.
	loadBoundFactor = 2.5
	loadBoundSlack  = 4.0
	// runningCost is the time that a running stream adds to the reading of a prompt, by the engines' time per slot.
	runningCost = 500 * time.Microsecond
	// sessionLife is how long an engine is taken to keep a part that nobody uses.
	sessionLife = 10 * time.Second
	// sessionsKept bounds the parts remembered of an engine.
	sessionsKept = 2048
	// shareMost bounds how many times this instance's own readings others are taken to have at an engine.
	shareMost = 8.0
)

// byWork takes the engines in the order of their rendezvous hash and returns the first within the load bound, and the time
// until the request's prompt is read there.
func byWork(usable []*state, r Request, now time.Time) (*state, time.Duration) {
	session, shared := r.session()
	total := 0
	for _, s := range usable {
		total += s.inflight
	}
	bound := loadBoundFactor*float64(total+1)/float64(len(usable)) + loadBoundSlack
	best := rendezvous(usable, session, func(s *state) bool { return float64(s.inflight) < bound })
	if best == nil {
		best = rendezvous(usable, session, func(*state) bool { return true })
	}
	return best, best.backlog(r.Priority, now) + readTime(r.PromptTokens-shared)
}

func readTime(tokens int64) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / readRate * float64(time.Second))
}

// rendezvous returns the engine, of those that are allowed, that all instances choose for a part. It is nil for none.
func rendezvous(usable []*state, part string, allowed func(*state) bool) *state {
	var best *state
	var bestScore uint64
	for _, s := range usable {
		if !allowed(s) {
			continue
		}
		if score := xxhash.Sum64String(part + "\x00" + s.endpoint.ID); best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// backlog returns how long an engine reads before it comes to a prompt of a priority. It knows this instance's own
// prompts, and takes the other instances' to be as many times more as the engine has requests of theirs.
func (s *state) backlog(priority int, now time.Time) time.Duration {
	tokens, oldest := int64(0), time.Duration(0)
	for r := range s.readings {
		if r.priority <= priority {
			tokens += r.tokens
			oldest = max(oldest, now.Sub(r.since))
		}
	}
	wait := time.Duration(float64(readTime(tokens)) * s.others(now))
	if now.Sub(s.loadAt) < reportLife {
		wait += time.Duration(s.load.Running) * runningCost
	}
	return max(wait, oldest)
}

// others returns how many times this instance's own requests the engine has in all.
func (s *state) others(now time.Time) float64 {
	if now.Sub(s.loadAt) >= reportLife || s.inflight == 0 {
		return 1
	}
	all := float64(s.load.Running + s.load.Waiting)
	return min(max(all/float64(s.inflight), 1), shareMost)
}

// keeps says whether this instance had the engine read a session's part a moment ago.
func (s *state) keeps(session string, now time.Time) bool {
	at, ok := s.sessions[session]
	return ok && now.Sub(at) < sessionLife
}

// read notes that the engine is sent a prompt. Requests without a prompt are none.
func (s *state) read(r Request, now time.Time) *reading {
	if len(r.Parts) == 0 {
		return nil
	}
	session, shared := r.session()
	missing := r.PromptTokens
	if s.keeps(session, now) {
		missing -= shared
	}
	if len(s.sessions) >= sessionsKept {
		s.forget(now)
	}
	s.sessions[session] = now
	one := &reading{tokens: missing, priority: r.Priority, since: now}
	s.readings[one] = true
	return one
}

// forget drops the parts that are too old, and all of them if none is.
func (s *state) forget(now time.Time) {
	before := len(s.sessions)
	for id, at := range s.sessions {
		if now.Sub(at) >= sessionLife {
			delete(s.sessions, id)
		}
	}
	if len(s.sessions) == before {
		clear(s.sessions)
	}
}

func (s *state) finishReading(r *reading) { delete(s.readings, r) }
