package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds of the rules in docs/design/hard-load-proof.md.
const (
	drainTimeout      = 3 * time.Second
	evacuationTimeout = 5 * time.Second
	// disturbancePeriod is how long before a request its instance must neither have been stopped nor cut off for these bounds to apply.
	disturbancePeriod = 4 * time.Second
	// stallTime is how long this process must not have run for a stall, tickTime the time between two looks at the clock. A scheduler gives
	// a process that is ready to run its turn within some tens of milliseconds unless the machine has far too much to do.
	stallTime, tickTime = 200 * time.Millisecond, 20 * time.Millisecond
	// extraRuns is how many endpoints a request may run on beyond the attempts of its route.
	extraRuns = 3
	// maxRankDeficit is by how much the share served of urgent requests may be lower than that of others, if there are minRankCalls of each.
	maxRankDeficit, minRankCalls = 0.03, 100
)

// violation is one violated guarantee.
type violation struct {
	// rule is the name of the rule, as in docs/design/hard-load-proof.md; ANSWER for a response that is not that of the endpoint, EXIT
	// for a process that ended on its own, RANK for the share served of urgent requests.
	rule, text string
	at         time.Time
	// request and endpoint are those concerned, or empty.
	request, endpoint string
}

// observations is what callers and endpoints saw.
type observations struct {
	calls    []*call
	byID     map[string]*call
	arrivals []arrival
	// runs holds the arrivals that ran by request, in order.
	runs       map[string][]arrival
	violations []violation
	// extra holds figures for Result.Extra. notChecked describes what was not checked, since there was too little of it. overspent is the number
	// of tokens spent beyond those granted.
	extra      map[string]float64
	notChecked []string
	overspent  int64
}

// observe collects what callers and endpoints saw, in order.
func (s *soak) observe() *observations {
	o := &observations{calls: s.callers.calls, byID: make(map[string]*call), runs: make(map[string][]arrival), extra: make(map[string]float64), notChecked: []string{}}
	for _, c := range o.calls {
		o.byID[c.id] = c
	}
	for _, e := range s.endpoints {
		e.mu.Lock()
		for _, a := range e.arrivals {
			o.arrivals = append(o.arrivals, *a)
		}
		e.mu.Unlock()
	}
	slices.SortStableFunc(o.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	for _, a := range o.arrivals {
		if !a.ranAt.IsZero() {
			o.runs[a.request] = append(o.runs[a.request], a)
		}
	}
	return o
}

func (o *observations) violate(v violation) { o.violations = append(o.violations, v) }

// check checks all guarantees.
func (s *soak) check(o *observations) {
	versions := make(map[string]string)
	for _, c := range o.calls {
		o.checkRuns(c)
		if c.route.stream {
			o.checkStream(c, versions)
		} else if whole := plainBody(c.key); c.status == http.StatusOK && (c.complete() && string(c.body) != whole || !strings.HasPrefix(whole, string(c.body))) {
			o.violate(violation{rule: "ANSWER", at: c.ended, request: c.id, text: fmt.Sprintf("%s got %d bytes, which are not the %d of the response", c.id, len(c.body), len(whole))})
		}
	}
	s.checkSpending(o)
	s.checkRanks(o)
	s.checkLate(o)
	s.checkCold(o)
	for _, in := range s.instances {
		for _, f := range in.failures {
			o.violate(violation{rule: "EXIT", text: f})
		}
	}
	slices.SortStableFunc(o.violations, func(a, b violation) int { return cmp.Compare(a.rule, b.rule) })
}

// notRun reports whether the response to a call guarantees that the request did not run and never will.
func (c *call) notRun() bool {
	return slices.Contains([]int{http.StatusPaymentRequired, http.StatusTooManyRequests, http.StatusServiceUnavailable}, c.status) || c.outcome == "not-run"
}

// checkRuns checks how often the request of a call ran.
func (o *observations) checkRuns(c *call) {
	runs := o.runs[c.id]
	describe := func(rule, what string) {
		o.violate(violation{rule: rule, at: runs[len(runs)-1].ranAt, request: c.id, text: fmt.Sprintf("%s (%s) %s; it ran %d times", c.id, c.route.name, what, len(runs))})
	}
	if c.route.once && len(runs) > 1 {
		describe("TWICE", "may run at most once")
	}
	if c.notRun() && len(runs) > 0 {
		describe("REFUSED", fmt.Sprintf("was refused with %d %s, which says that it did not run", c.status, c.title))
	}
	if len(runs) > c.route.attempts+extraRuns {
		describe("BUDGET", fmt.Sprintf("may run on %d endpoints, plus %d", c.route.attempts, extraRuns))
	}
}

// checkStream checks that the events of a call are those of its stream, in order, of the version that the stream began with, and that a
// stream that ends as if it were complete is. versions holds the version of the first event of each stream, by key.
func (o *observations) checkStream(c *call, versions map[string]string) {
	if c.status != http.StatusOK {
		return
	}
	fault := func(rule, format string, args ...any) {
		o.violate(violation{rule: rule, at: c.ended, request: c.id, text: fmt.Sprintf("%s (%s) ", c.id, c.route.name) + fmt.Sprintf(format, args...)})
	}
	rest, id := string(c.body), c.after
	for strings.Contains(rest, "\n\n") {
		id++
		var version string
		for v := range other {
			if after, ok := strings.CutPrefix(rest, eventText(v, c.key, id)); ok {
				version, rest = v, after
				break
			}
		}
		if version == "" {
			fault("ANSWER", "has %.80q in place of event %d", rest, id)
			return
		}
		if _, ok := versions[c.key]; !ok {
			versions[c.key] = version
		}
		if begun := versions[c.key]; version != begun {
			fault("ORDER", "event %d is of version %s, the stream began with %s", id, version, begun)
			return
		}
	}
	if c.complete() && (rest != "" || id != streamEvents) {
		fault("ANSWER", "ends as if it were complete after event %d of %d", id, streamEvents)
	}
}

// spent returns the least number of tokens that a call spent: its prompt if it ran, and the events that its caller received.
func (o *observations) spent(c *call) int64 {
	if !c.route.stream || len(o.runs[c.id]) == 0 {
		return 0
	}
	tokens := int64(c.route.promptTokens)
	if c.status == http.StatusOK {
		tokens += int64(c.events() * tokensPerEvent)
	}
	return tokens
}

// checkSpending checks that no customer spent more at any time than it had been granted until then.
func (s *soak) checkSpending(o *observations) {
	ended := slices.Clone(o.calls)
	slices.SortStableFunc(ended, func(a, b *call) int { return a.ended.Compare(b.ended) })
	for _, cu := range customers {
		spent, exceeded := int64(0), false
		for _, c := range ended {
			if c.customer != cu.name {
				continue
			}
			spent += o.spent(c)
			if total := s.grantedAt(cu.name, c.ended); spent > total && !exceeded {
				exceeded = true
				o.violate(violation{rule: "BUDGET", at: c.ended, request: c.id, text: fmt.Sprintf("%s had spent at least %d tokens of %d with the end of %s", cu.name, spent, total, c.id)})
			}
		}
		total := s.grantedAt(cu.name, time.Now())
		o.overspent += max(spent-total, 0)
		o.extra["spent_share_"+cu.name] = float64(spent) / float64(max(total, 1))
	}
}

// checkRanks checks that urgent calls in pairs are served at least as well as the others while tokens are short: after the first refusal for
// want of tokens in an outage of the store, until its end.
func (s *soak) checkRanks(o *observations) {
	for _, outage := range s.outages {
		var first *call
		asked, served := make(map[string]float64), make(map[string]float64)
		for _, c := range o.calls {
			switch {
			case c.customer != pairCustomer || c.at.Before(outage.from) || c.at.After(outage.to):
			case first != nil:
				asked[c.route.name]++
				if c.complete() {
					served[c.route.name]++
				}
			case strings.HasPrefix(c.title, "budget-"):
				first = c
			}
		}
		text := fmt.Sprintf("%.0f of %.0f urgent and %.0f of %.0f other requests were served while tokens were short in the outage at %s", served[urgentRoute],
			asked[urgentRoute], served[otherRoute], asked[otherRoute], outage.from.Format(timeFormat))
		if min(asked[urgentRoute], asked[otherRoute]) < minRankCalls {
			o.notChecked = append(o.notChecked, "RANK: "+text)
		} else if served[urgentRoute]/asked[urgentRoute] < served[otherRoute]/asked[otherRoute]-maxRankDeficit {
			o.violate(violation{rule: "RANK", at: outage.to, request: first.id, text: text})
		}
		for name := range asked {
			o.extra["short_"+name] += asked[name]
			o.extra["short_"+name+"_served"] += served[name]
		}
	}
}

// grantedAt returns the total that a customer had been granted until a time.
func (s *soak) grantedAt(name string, at time.Time) (total int64) {
	for _, g := range s.grants {
		if g.customer == name && !g.at.After(at) {
			total = g.total
		}
	}
	return total
}

// recordStalls records when this process did not run, until the context ends: then no instance reaches the store, and requests that have
// long arrived are seen late.
func (s *soak) recordStalls(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(tickTime)
		if now := time.Now(); now.Sub(last) > stallTime {
			s.stalls = append(s.stalls, interval{last, now})
		}
		last = time.Now()
	}
}

// disturbed reports whether the instance that sent a request was stopped or cut off shortly before, or all were because this process did
// not run.
func (s *soak) disturbed(a arrival) bool {
	from := a.at.Add(-disturbancePeriod)
	return overlap(s.stalls, from, a.at) || slices.ContainsFunc(s.instances, func(in *instance) bool { return in.name == a.instance && in.disturbedIn(from, a.at) })
}

// checkLate checks that endpoints get nothing once all instances may know that they leave, or that their domain is evacuated.
func (s *soak) checkLate(o *observations) {
	for _, a := range o.arrivals {
		if s.disturbed(a) {
			continue
		}
		late := func(rule, what string, since time.Time) {
			o.violate(violation{rule: rule, at: a.at, request: a.request, endpoint: a.endpoint.id, text: fmt.Sprintf("%s got %s from %s %v after %s", a.endpoint.id, a.request, a.instance, a.at.Sub(since), what)})
		}
		if left := a.endpoint.leftAt; !left.IsZero() && a.at.Sub(left) > drainTimeout {
			late("DRAIN", "its entry said that it leaves", left)
		}
		for _, e := range s.evacuations {
			if a.endpoint.domain == e.domain && a.at.Sub(e.begun) > evacuationTimeout && (e.ended.IsZero() || a.at.Before(e.ended)) {
				late("EVAC", "the evacuation of "+e.domain, e.begun)
			}
		}
	}
}

// checkCold checks that no cold endpoint gets more in any one second than it can handle.
func (s *soak) checkCold(o *observations) {
	for _, e := range s.endpoints {
		counted := s.coldArrivals(o, e)
		if most, last := mostInASecond(counted); float64(most) > coldPerSecond*coldOverage+coldSlack {
			o.violate(violation{rule: "FAILBACK", at: last.at, request: last.request, endpoint: e.id, text: fmt.Sprintf("%s got %d requests in a second, %v after its cold start", e.id, most, last.at.Sub(e.started))})
		}
	}
}

// coldArrivals returns the arrivals at an endpoint while it was cold, without those that were not for it and those of instances that
// were stopped or cut off.
func (s *soak) coldArrivals(o *observations, e *endpoint) (out []arrival) {
	for _, a := range o.arrivals {
		if a.endpoint == e && !a.misrouted && a.at.Before(e.started.Add(e.cold)) && !s.disturbed(a) {
			out = append(out, a)
		}
	}
	return out
}

// mostInASecond returns the largest number of arrivals in any one second, and the last of these.
func mostInASecond(arrivals []arrival) (most int, last arrival) {
	first := 0
	for i, a := range arrivals {
		for a.at.Sub(arrivals[first].at) >= time.Second {
			first++
		}
		if n := i - first + 1; n > most {
			most, last = n, a
		}
	}
	return most, last
}
