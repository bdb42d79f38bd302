// Package quarantine finds prompt parts and whole requests that crash endpoints, so that requests with them are refused.
//
// When an endpoint crashes, each request that waited there for its first event is a suspect with its content as a whole and
// with its prompt parts, except the last part, which belongs to the request alone. A part here is either of them; RequestPart
// returns the one that stands for a whole request. Two things tell the cause from the parts that were lost with it: the cause
// is in one crash after the other, and no answer to a request with it begins. A Tracker records both for this instance,
// exchanges them with other instances, and puts a part in quarantine when
//   - endpoints crashed at three separate times while requests with the part waited, and no answer with it began since, or at
//     five such times if an answer with it ever began, and
//   - no other part of its kind has as much evidence; prompt parts that are always lost together need one more crash, many parts
//     two more, and
//   - a prompt part is in half of the crashes since its first one, so that a long series of other crashes convicts nobody.
//
// Endpoints that crash within a short time of each other, like those of a rack, count as one crash. A whole request with which no
// answer ever began is an exception: it is in progress at several endpoints only because it is repeated, and a small service
// would be gone before its crashes are separate. Whole requests come first, as the narrower cause. Crashes with a part in
// quarantine are explained by it and count against no other part, except that those with a whole request still count against
// another one once it is in a further crash. After some time, the instance that decided lets one request with the part pass. A quarantine ends when no request with the part came for a while, when an answer to one began after all,
// or at the latest after a fixed time. After that, the next crash renews it.
//
// The package is pure: callers pass the current time. Instances exchange ages, because their clocks differ. A Tracker is safe
// for concurrent use, and its memory is bounded: the oldest entries are dropped.
package quarantine

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pumiceshelf/registry"
)

const (
	// requestPrefix begins the parts that stand for whole requests. IDs of prompt parts have no colon.
	requestPrefix = "request:"
	// groupPeriod is the time within which the crashes of several endpoints count as one.
	groupPeriod = 250 * time.Millisecond
	// minCrashes is the number of crashes that convict a part with which no answer ever began, minCrashesBegun the number for
	// one with which an answer began before them.
	minCrashes      = 3
	minCrashesBegun = 5
	// minSuspicion is the number of crashes from which a lost request with the part is not sent again, although an answer with
	// it ever began.
	minSuspicion = 2
	// fewTied is the number of parts with the same evidence that one more crash convicts together, about the number of parts
	// that always occur together in prompts. More of them need two more.
	fewTied = 8
	// minCrashShare is the inverse of the share of crashes that a part must be in.
	minCrashShare = 2
	// replyPeriod is how long after an own observation a verdict waits for other instances to say what they know of the parts.
	// relayPeriod is the same for crashes observed by others, in case those do not decide.
	replyPeriod = 400 * time.Millisecond
	relayPeriod = 2 * time.Second
	// evidenceMemory is how long a crash counts.
	evidenceMemory = 2 * time.Minute
	// sameCrashPeriod is the time within which reports about a process are about the same crash if its start is not known, so
	// that it may have started again. endedPeriod is how long it is certain that it has not.
	sameCrashPeriod = 10 * time.Second
	endedPeriod     = 3 * time.Second
	// QuietPeriod is how long after the last request with the part a quarantine ends.
	QuietPeriod = time.Minute
	// trialDelay and trialDelayBegun are how long after a verdict a request with the part is tried, without and with an answer
	// that began before it, trialDelayTied the same for whole requests of which only one may be the cause, and for one convicted before
	// another that was lost with it. A right verdict costs a crash, a wrong one ends. trialPeriod is the time for the result.
	trialDelay      = 3 * time.Minute
	trialDelayBegun = 30 * time.Second
	trialDelayTied  = 10 * time.Second
	trialPeriod     = 10 * time.Second
	// maxDuration bounds a quarantine while requests keep coming.
	maxDuration = 10 * time.Minute
	// formerMemory is how long after the end of a quarantine a single crash renews it.
	formerMemory = 10 * time.Minute
	// minAdvance is how much newer a time passed on by another instance must be. The time on the way makes it seem newer than
	// it is, and would add up otherwise.
	minAdvance = 300 * time.Millisecond

	maxCrashes = 128
	// maxPartsPerCrash bounds the prompt parts of a crash, and also its whole requests.
	maxPartsPerCrash = 64
	maxVerdicts      = 256
	maxFormer        = 256
	maxEndpointsKept = 8
	// begunGeneration is the number of parts in each of the two generations of prompt parts with which an answer began, and of
	// whole requests.
	begunGeneration = 8192
)

// RequestPart returns the part that stands for all requests with the same content.
func RequestPart(contentID string) string { return requestPrefix + contentID }

// IsRequestPart reports whether a part stands for a whole request.
func IsRequestPart(part string) bool { return strings.HasPrefix(part, requestPrefix) }

// Verdict is a quarantine of a part with its evidence.
type Verdict struct {
	Part string
	// Endpoints holds the IDs of endpoints that crashed.
	Endpoints []string
	// LastCrashAge is the time since the last crash that counted against the part.
	LastCrashAge time.Duration
	// Remaining is the time until the quarantine ends although requests with the part keep coming.
	Remaining time.Duration
}

// Change is the begin or the end of a quarantine.
type Change struct {
	Verdict
	// Ended is the reason for which it ended, empty if it began.
	Ended string
	// FromInstance is set if another instance passed on the verdict.
	FromInstance bool
}

// Reasons for the end of a quarantine.
const (
	EndedQuiet   = "no requests"
	EndedBegun   = "an answer began"
	EndedExpired = "longest duration reached"
)

// Config holds the dependencies of a Tracker.
type Config struct {
	// Self is the name of this instance.
	Self string
	// OnChange is called for each begin and end of a quarantine. It must not call the Tracker.
	OnChange func(Change)
	// TakeoverDelay returns how long after a first period this instance writes evidence of others to the store, if they do not.
	// It should differ among instances. If nil, there is no delay.
	TakeoverDelay func() time.Duration
	// OnLoss is called when another instance lost a request at an endpoint and has not checked yet whether it has ended. It must not
	// call the Tracker. It may be nil.
	OnLoss func(registry.Endpoint)
}

// Tracker holds what this instance knows of parts that crash endpoints.
type Tracker struct {
	config Config
	// inUse is set while there are crashes or verdicts, so that the path of requests usually takes no lock.
	inUse            atomic.Bool
	wake, wakeLosses chan struct{}

	mu      sync.Mutex
	crashes []*crash
	// ownLosses holds the losses of this instance until they are passed on or checked, otherLosses those of other instances until
	// this one has checked them.
	ownLosses, otherLosses []*loss
	// begunParts and begunRequests hold when an answer last began, for prompt parts and for whole requests, of which there are
	// many more.
	begunParts, begunRequests recentTimes
	verdicts                  map[string]*verdict
	// former maps parts that were in quarantine to the time until which a single crash convicts them.
	former map[string]time.Time
	// judgeAt is when evidence that is not judged yet will be complete, zero if there is none.
	judgeAt time.Time
	// withdrawn holds parts whose quarantine ended because an answer began, until others were told. storedWithdrawn is set if
	// the store has such a verdict.
	withdrawn       []string
	storedWithdrawn bool
	// answersToTell holds parts of which others are to be told that an answer began.
	answersToTell []string
}

// crash is the end of one endpoint process while requests waited there for their first event.
type crash struct {
	endpoint registry.Endpoint
	at       time.Time
	parts    map[string]*suspect
	// explainedBy is a part in quarantine that was lost with it, empty if there is none.
	explainedBy string
	// unsent is set until an own observation was passed on.
	unsent bool
	// storeAfter is when this instance writes the crash to the store although it was observed by others.
	storeAfter time.Time
}

// suspect is a part in one crash.
type suspect struct {
	// first is set if the part was the first of a prompt.
	first bool
	// own is set if this instance lost the request, stored if the store has the part with this crash.
	own, stored bool
	// knownAt is when this instance first knew.
	knownAt time.Time
}

// verdict is a quarantine in force.
type verdict struct {
	lastRequest, lastCrash, until time.Time
	endpoints                     []string
	stored, unsent                bool
	// withdraws is set if this instance tells others when the verdict proves wrong: it decided it, or knows the answer.
	withdraws bool
	// storeAfter is when this instance writes the verdict to the store.
	storeAfter time.Time
	// decidedBy is the name of the instance that decided. It may let a request pass after triedFrom, and did so at triedAt.
	decidedBy          string
	triedFrom, triedAt time.Time
}

// New returns a Tracker that knows nothing.
func New(c Config) *Tracker {
	return &Tracker{
		config: c, wake: make(chan struct{}, 1), wakeLosses: make(chan struct{}, 1), verdicts: make(map[string]*verdict),
		former: make(map[string]time.Time),
	}
}

// Wake returns a channel that receives after this instance made an observation that others should know.
func (t *Tracker) Wake() <-chan struct{} { return t.wake }

func (t *Tracker) signal() { signal(t.wake) }

// signal sends to a channel unless it holds a value.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Began records that an answer to a request with the parts began.
func (t *Tracker) Began(parts []string, now time.Time) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		t.setBegun(part, now)
		if v := t.verdicts[part]; v != nil {
			v.withdraws = true
			t.endVerdicts(now)
		}
	}
}

// recentTimes maps the latest parts to times. It has two generations, of which the older one is dropped when the newer one is
// full. The zero value is empty.
type recentTimes struct {
	newer, older map[string]time.Time
}

func (r *recentTimes) get(part string) time.Time {
	if at, ok := r.newer[part]; ok {
		return at
	}
	return r.older[part]
}

func (r *recentTimes) set(part string, at time.Time) {
	if r.newer == nil || len(r.newer) >= begunGeneration {
		r.newer, r.older = make(map[string]time.Time), r.newer
	}
	if _, ok := r.newer[part]; !ok {
		// The part may be a piece of a whole header.
		part = strings.Clone(part)
	}
	r.newer[part] = at
}

// begun returns the times at which answers with parts of the same kind began.
func (t *Tracker) begun(part string) *recentTimes {
	if IsRequestPart(part) {
		return &t.begunRequests
	}
	return &t.begunParts
}

func (t *Tracker) setBegun(part string, at time.Time) {
	if known := t.begunAt(part); known.After(at) {
		at = known
	}
	t.begun(part).set(part, at)
	delete(t.former, part)
}

// begunAt returns when an answer with the part last began, zero if none did.
func (t *Tracker) begunAt(part string) time.Time { return t.begun(part).get(part) }

// Crashed records that an endpoint ended at the given time while a request with the parts waited there for its first event.
// The prompt parts are in the order of the prompt, without the last one. The part of the whole request follows them.
func (t *Tracker) Crashed(e registry.Endpoint, parts []string, at, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownLosses = withoutProcess(t.ownLosses, e)
	c := t.crashOf(e, at)
	// If there are too many parts, those with an older answer are kept.
	order := slices.Clone(parts)
	slices.SortStableFunc(order, func(a, b string) int { return t.begunAt(a).Compare(t.begunAt(b)) })
	for _, part := range order {
		t.addSuspect(c, part, suspect{first: part == parts[0] && !IsRequestPart(part), own: true, knownAt: now})
	}
	t.observed(c, now)
}

// observed lets a crash that this instance observed be passed on and judged.
func (t *Tracker) observed(c *crash, now time.Time) {
	c.unsent = true
	t.scheduleJudge(now.Add(replyPeriod))
	t.signal()
}

// crashOf returns the record of a crash, which it adds if it is new.
func (t *Tracker) crashOf(e registry.Endpoint, at time.Time) *crash {
	for _, c := range t.crashes {
		if c.endpoint.SameProcess(e) && (e.StartedUnixMilli != 0 || at.Sub(c.at).Abs() < sameCrashPeriod) {
			if at.Before(c.at) {
				c.at = at
			}
			return c
		}
	}
	if len(t.crashes) >= maxCrashes {
		oldest := slices.MinFunc(t.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
		t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return c == oldest })
	}
	c := &crash{endpoint: e, at: at, parts: make(map[string]*suspect), storeAfter: at.Add(t.takeoverDelay())}
	t.crashes = append(t.crashes, c)
	t.inUse.Store(true)
	return c
}

// addSuspect adds a part to a crash, or what is new about it.
func (t *Tracker) addSuspect(c *crash, part string, s suspect) {
	known := c.parts[part]
	if known == nil {
		if c.count(IsRequestPart(part)) < maxPartsPerCrash {
			c.parts[strings.Clone(part)] = &s
		}
		return
	}
	known.first, known.stored = known.first || s.first, known.stored || s.stored
	if s.own && !known.own {
		known.own, known.knownAt = true, s.knownAt
	}
}

// count returns the number of suspects of a kind.
func (c *crash) count(requests bool) (n int) {
	for part := range c.parts {
		if IsRequestPart(part) == requests {
			n++
		}
	}
	return n
}

// Ended reports whether the process of an endpoint is known to have crashed lately.
func (t *Tracker) Ended(e registry.Endpoint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.crashes, func(c *crash) bool { return c.endpoint.SameProcess(e) && now.Sub(c.at) < endedPeriod })
}

// Quarantined returns the verdict on the first of the parts that is in quarantine. A request with the part extends it.
func (t *Tracker) Quarantined(parts []string, now time.Time) (Verdict, bool) {
	if !t.inUse.Load() {
		return Verdict{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	var tried []*verdict
	for _, part := range parts {
		v := t.verdicts[part]
		if v == nil {
			continue
		}
		v.lastRequest = now
		if !t.mayTry(v, now) {
			return v.export(part, now), true
		}
		tried = append(tried, v)
	}
	for _, v := range tried {
		v.triedAt = now
	}
	return Verdict{}, false
}

// mayTry reports whether a request may pass to find out whether the verdict is wrong. Only one instance lets one pass, and after
// a crash of it no other.
func (t *Tracker) mayTry(v *verdict, now time.Time) bool {
	switch {
	case v.decidedBy == "", v.decidedBy != t.config.Self, now.Before(v.triedFrom):
		return false
	case v.triedAt.IsZero():
		return true
	}
	return !v.lastCrash.After(v.triedAt) && now.Sub(v.triedAt) > trialPeriod
}

// Suspected reports whether one of the parts may have caused the loss of a request at an endpoint, because requests with it were
// lost in crashes of other endpoints and no answer began since: one crash if no answer with the part ever began, two otherwise.
// Requests with it are served, but not sent again after a crash.
func (t *Tracker) Suspected(e registry.Endpoint, parts []string, now time.Time) bool {
	if !t.inUse.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	for _, s := range t.suspicions(now) {
		switch {
		case !slices.Contains(parts, s.part):
		case s.crashes >= minSuspicion:
			return true
		case !s.begun && slices.ContainsFunc(s.entries, func(c *crash) bool { return !c.endpoint.SameProcess(e) }):
			return true
		}
	}
	return false
}

func (v *verdict) export(part string, now time.Time) Verdict {
	return Verdict{Part: part, Endpoints: slices.Clone(v.endpoints), LastCrashAge: now.Sub(v.lastCrash), Remaining: v.until.Sub(now)}
}
