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
	// crowdedPart is the part of the patience, one in crowdedPart, that the mean backlog of a service's engines must exceed
	// for requests to be refused. Trials that moved requests in a burst instead lost a third of its worth to parts read
	// again.
	crowdedPart = 4
	// runningCost is the time that a running stream adds to the reading of a prompt, by the engines' time per slot.
	runningCost = 500 * time.Microsecond
	// sessionLife is how long an engine is taken to keep a part that nobody uses.
	sessionLife = 10 * time.Second
	// sessionsKept bounds the parts remembered of an engine.
	sessionsKept = 2048
	// shareMost bounds how many times this instance's own readings others are taken to have at an engine.
	shareMost = 8.0
)

// byWork takes the engines in the order of their rendezvous hash and returns the first within the load bound. If that one
// cannot read the prompt in time, another one may while engines have little to read; else the answer is false, with the
// time that the request would wait.
func byWork(usable []*state, r Request, now time.Time) (s *state, wait time.Duration, inTime bool) {
	session, shared := r.session()
	bound := loadBound(usable)
	within := func(s *state) bool { return float64(s.inflight) < bound }
	home := rendezvous(usable, session, within)
	if home == nil {
		home = rendezvous(usable, session, func(*state) bool { return true })
	}
	own := readTime(r.PromptTokens - shared)
	wait = home.backlog(r.Priority, now)
	if r.Patience == 0 || wait <= timeToWait(r.Patience, own) {
		return home, wait, true
	}
	if crowded(usable, r, now) {
		return home, wait, false
	}
	// Reading the shared parts again costs little while engines have little to read.
	other := rendezvous(usable, session, func(s *state) bool {
		return within(s) && s.backlog(r.Priority, now) <= timeToWait(r.Patience, readTime(r.PromptTokens))/2
	})
	if other != nil {
		return other, other.backlog(r.Priority, now), true
	}
	return home, wait, true
}

// crowded says whether the engines together have so much to read that parts should not be read twice, and that a request
// that is sent though it will be late delays others.
func crowded(usable []*state, r Request, now time.Time) bool {
	var sum time.Duration
	for _, s := range usable {
		sum += s.backlog(r.Priority, now)
	}
	return sum/time.Duration(len(usable)) > r.Patience/crowdedPart
}

// timeToWait returns how long a prompt may wait until it is read. Half of the patience is granted to any prompt, so that
// large ones, which take longer than that to read, are not always refused.
func timeToWait(patience, reading time.Duration) time.Duration {
	return max(patience-reading, patience/2)
}

// loadBound returns the requests that one engine may have of this instance, against the mean of its service.
func loadBound(usable []*state) float64 {
	total := 0
	for _, s := range usable {
		total += s.inflight
	}
	return loadBoundFactor*float64(total+1)/float64(len(usable)) + loadBoundSlack
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
