package quota

import (
	"slices"
	"sync"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

const (
	// mirrorTimeout bounds the time that a grant waits for one instance to mirror the request.
	mirrorTimeout = 200 * time.Millisecond
	// maxMirrorAttempts bounds the instances tried for one request. With mirrorTimeout it bounds the delay that
	// unresponsive instances add to the first token: 0.4 s, below the target of 0.52 s.
	maxMirrorAttempts = 2
	// mirrorBackoff is how long no request is mirrored at an instance after it failed to respond in time.
	mirrorBackoff = 2 * time.Second
	// maxMirroredRequests bounds the requests that an instance stores for all holders together.
	maxMirroredRequests = 1 << 16
)

// mirrorCall requests that an instance store a mirror of an open request or, if item is nil, remove the mirror of a settled
// attempt.
type mirrorCall struct {
	item           *api.MirrorItem
	stored         chan bool
	settledAttempt uint64
}

// mirror stores a request at another instance before it is dispatched. It is used if this instance is both the entry
// instance and the holder: if this instance is lost, no other one would know to charge the request. Instances are tried one
// after another, and the grant proceeds if none responds in time. mirror returns those that may have stored the request.
func (m *Manager) mirror(r Request, attempt uint64, lease string) []string {
	item := &api.MirrorItem{
		RequestId:   r.RequestID,
		Customer:    r.Budget.Customer,
		Budget:      r.Budget.Budget,
		Lease:       lease,
		Model:       r.Model,
		BoundTokens: uint64(r.Bound),
		Attempt:     attempt,
	}
	var tried []string
	for _, candidate := range m.mirrorCandidates(m.holder.witnesses(r.Budget, lease)) {
		l := m.link(candidate)
		if m.cfg.Clock.Now().UnixNano() < l.mirrorAfter.Load() {
			continue
		}
		tried = append(tried, candidate)
		if l.mirror(item) {
			return tried
		}
		if len(tried) == maxMirrorAttempts {
			break
		}
	}
	m.counters.unmirrored.Inc(1)
	return tried
}

// mirrorCandidates returns the instances that can mirror a request, in order of preference: the lease's witnesses, whose
// seals a reclaim requires as well, then other live instances of this domain, then those of other domains.
func (m *Manager) mirrorCandidates(witnesses []string) []string {
	candidates := append([]string(nil), witnesses...)
	var otherDomains []string
	for _, p := range m.cfg.View.Members() {
		id := p.Instance.Incarnation
		switch {
		case !p.Live || id == m.self || slices.Contains(witnesses, id):
		case p.Instance.Domain == m.domain:
			candidates = append(candidates, id)
		default:
			otherDomains = append(otherDomains, id)
		}
	}
	return append(candidates, otherDomains...)
}

// witnesses returns the witnesses of a lease of this instance.
func (h *leaseHolder) witnesses(id budget.ID, lease string) []string {
	v, ok := h.accounts.Load(id)
	if !ok {
		return nil
	}
	a := v.(*account)
	a.mu.Lock()
	defer a.mu.Unlock()
	if l := a.findLease(lease); l != nil {
		return l.Witnesses()
	}
	return nil
}

// mirror reports whether the instance has stored the request. It waits at most mirrorTimeout.
func (l *link) mirror(item *api.MirrorItem) bool {
	stored := make(chan bool, 1)
	l.mirrors.add(mirrorCall{item: item, stored: stored})
	timer := l.m.cfg.Clock.NewTimer(mirrorTimeout)
	defer timer.Stop()
	select {
	case ok := <-stored:
		return ok
	case <-timer.Chan():
	}
	l.backOffMirroring()
	return false
}

func (l *link) backOffMirroring() {
	l.mirrorAfter.Store(l.m.cfg.Clock.Now().Add(mirrorBackoff).UnixNano())
}

func (l *link) sendMirrors(calls []mirrorCall) {
	l.mirrorSequence++
	req := &api.MirrorRequest{Holder: l.m.self, Witness: l.incarnation, Sequence: l.mirrorSequence}
	for _, c := range calls {
		if c.item != nil {
			req.Open = append(req.Open, c.item)
		} else {
			req.Done = append(req.Done, c.settledAttempt)
		}
	}
	stored, responded := l.callMirror(req)
	if !responded {
		l.backOffMirroring()
		l.m.mirrorRemovals.retry(l.incarnation, req.Done)
	}
	for _, c := range calls {
		if c.item != nil {
			c.stored <- stored
		}
	}
}

func (l *link) callMirror(req *api.MirrorRequest) (stored, responded bool) {
	client, ctx, cancel, err := l.client(peerCallTimeout)
	if err != nil {
		return false, false
	}
	defer cancel()
	res, err := client.Mirror(ctx, req)
	if err != nil {
		return false, false
	}
	return res.Kept, true
}

// mirrorRemovals holds the attempts of this holder whose mirrors have to be removed. It is safe for concurrent use.
type mirrorRemovals struct {
	mu      sync.Mutex
	pending []mirrorRemoval
}

// mirrorRemoval is an attempt whose mirror can be removed once all segments below the sequence are durable.
type mirrorRemoval struct {
	instance string
	attempt  uint64
	below    uint64
}

// addSettled adds a request whose record will be in the segment with the sequence or an earlier one.
func (s *mirrorRemovals) addSettled(o *openRequest, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range o.mirrorInstances {
		s.pending = append(s.pending, mirrorRemoval{instance: w, attempt: o.attempt, below: sequence + 1})
	}
}

// retry adds attempts again whose removal at an instance is unconfirmed.
func (s *mirrorRemovals) retry(instance string, attempts []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range attempts {
		s.pending = append(s.pending, mirrorRemoval{instance: instance, attempt: a})
	}
}

// takeDurable removes and returns the attempts whose mirrors can be removed.
func (s *mirrorRemovals) takeDurable(durableBelow uint64) []mirrorRemoval {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out, remaining []mirrorRemoval
	for _, d := range s.pending {
		if d.below <= durableBelow {
			out = append(out, d)
		} else {
			remaining = append(remaining, d)
		}
	}
	s.pending = remaining
	return out
}

// removeMirrors removes the mirrors of a settled request: immediately if it did not run, because it must not be charged,
// otherwise when its record, in the segment with the sequence or an earlier one, is durable.
func (m *Manager) removeMirrors(o *openRequest, ran bool, sequence uint64) {
	if ran {
		m.mirrorRemovals.addSettled(o, sequence)
		return
	}
	for _, w := range o.mirrorInstances {
		m.link(w).mirrors.add(mirrorCall{settledAttempt: o.attempt})
	}
}

// removeDurableMirrors removes the mirrors of requests whose records are durable. Missing instances need no call: their
// mirrors are lost with them, or they check the records before they charge a request.
func (m *Manager) removeDurableMirrors() {
	live := m.liveIncarnations()
	for _, d := range m.mirrorRemovals.takeDurable(m.segments.durableBelow()) {
		if live[d.instance] {
			m.link(d.instance).mirrors.add(mirrorCall{settledAttempt: d.attempt})
		}
	}
}
