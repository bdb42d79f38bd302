package quota

import (
	"slices"
	"sync"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

const (
	// mirrorWait is the longest time that a grant waits for one witness to keep the request.
	mirrorWait = 200 * time.Millisecond
	// mirrorTries bounds the instances asked to keep one request, and with mirrorWait what silent ones add to a first token:
	// 0.4 s, under the target of 0.52 s.
	mirrorTries = 2
	// mirrorAvoid is how long a witness that did not answer in time is passed over.
	mirrorAvoid = 2 * time.Second
	// mirrorLimit bounds the requests that an instance keeps for all holders together.
	mirrorLimit = 1 << 16
)

// mirrorCall asks a witness to keep an open request, or to forget a settled attempt if item is nil.
type mirrorCall struct {
	item *api.MirrorItem
	kept chan bool
	done uint64
}

// mirror has another instance keep a request that this instance is both entry instance and holder of, before it is
// dispatched: if this instance is lost, nobody else would know to bill it. Instances are asked one after another, and the
// grant goes on if none answers in time. It returns the instances that may keep the request.
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
	var asked []string
	for _, keeper := range m.mirrorKeepers(m.holder.witnesses(r.Budget, lease)) {
		l := m.link(keeper)
		if m.cfg.Clock.Now().UnixNano() < l.mirrorAfter.Load() {
			continue
		}
		asked = append(asked, keeper)
		if l.mirror(item) {
			return asked
		}
		if len(asked) == mirrorTries {
			break
		}
	}
	m.counters.unmirrored.Inc(1)
	return asked
}

// mirrorKeepers returns the instances that may keep a request, the likeliest first: the lease's witnesses, which the
// reclaimer needs as well, then other live instances of this domain, then those of others.
func (m *Manager) mirrorKeepers(witnesses []string) []string {
	keepers := append([]string(nil), witnesses...)
	var far []string
	for _, p := range m.cfg.View.Members() {
		id := p.Instance.Incarnation
		switch {
		case !p.Live || id == m.self || slices.Contains(witnesses, id):
		case p.Instance.Domain == m.domain:
			keepers = append(keepers, id)
		default:
			far = append(far, id)
		}
	}
	return append(keepers, far...)
}

// witnesses returns the witnesses of a lease held here.
func (h *holder) witnesses(id budget.ID, lease string) []string {
	v, ok := h.accounts.Load(id)
	if !ok {
		return nil
	}
	a := v.(*account)
	a.mu.Lock()
	defer a.mu.Unlock()
	if l := a.held(lease); l != nil {
		return l.Witnesses()
	}
	return nil
}

// mirror returns whether the instance keeps the request. It waits no longer than mirrorWait.
func (l *link) mirror(item *api.MirrorItem) bool {
	kept := make(chan bool, 1)
	l.mirrors.add(mirrorCall{item: item, kept: kept})
	timer := l.m.cfg.Clock.NewTimer(mirrorWait)
	defer timer.Stop()
	select {
	case ok := <-kept:
		return ok
	case <-timer.Chan():
	}
	l.avoidMirror()
	return false
}

func (l *link) avoidMirror() {
	l.mirrorAfter.Store(l.m.cfg.Clock.Now().Add(mirrorAvoid).UnixNano())
}

func (l *link) sendMirrors(calls []mirrorCall) {
	l.mirrored++
	req := &api.MirrorRequest{Holder: l.m.self, Witness: l.incarnation, Sequence: l.mirrored}
	for _, c := range calls {
		if c.item != nil {
			req.Open = append(req.Open, c.item)
		} else {
			req.Done = append(req.Done, c.done)
		}
	}
	kept, answered := l.callMirror(req)
	if !answered {
		l.avoidMirror()
		l.m.mirrors.again(l.incarnation, req.Done)
	}
	for _, c := range calls {
		if c.item != nil {
			c.kept <- kept
		}
	}
}

func (l *link) callMirror(req *api.MirrorRequest) (kept, answered bool) {
	client, ctx, cancel, err := l.client(callTimeout)
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

// mirrors are the attempts of this holder that its witnesses are to forget. It is safe for concurrent use.
type mirrors struct {
	mu   sync.Mutex
	done []mirrorDone
}

// mirrorDone is an attempt to be forgotten once segments below the sequence are durable.
type mirrorDone struct {
	witness string
	attempt uint64
	below   uint64
}

// settled notes that the record of a request will be in a segment up to the sequence.
func (s *mirrors) settled(o *openRequest, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range o.mirrors {
		s.done = append(s.done, mirrorDone{witness: w, attempt: o.attempt, below: sequence + 1})
	}
}

// again notes attempts that a witness may not have forgotten.
func (s *mirrors) again(witness string, attempts []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range attempts {
		s.done = append(s.done, mirrorDone{witness: witness, attempt: a})
	}
}

// take takes out the attempts that can be forgotten.
func (s *mirrors) take(durableBelow uint64) []mirrorDone {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out, kept []mirrorDone
	for _, d := range s.done {
		if d.below <= durableBelow {
			out = append(out, d)
		} else {
			kept = append(kept, d)
		}
	}
	s.done = kept
	return out
}

// settledMirrored has witnesses forget a settled request: at once if it did not run, as nobody must bill it then, and else
// when its record, in a segment up to the sequence, is durable.
func (m *Manager) settledMirrored(o *openRequest, ran bool, sequence uint64) {
	if ran {
		m.mirrors.settled(o, sequence)
		return
	}
	for _, w := range o.mirrors {
		m.link(w).mirrors.add(mirrorCall{done: o.attempt})
	}
}

// dropMirrors has witnesses forget requests whose records are durable. One that is missing took its memory along, or
// asks the records when it bills.
func (m *Manager) dropMirrors() {
	live := m.liveIncarnations()
	for _, d := range m.mirrors.take(m.segments.durableBelow()) {
		if live[d.witness] {
			m.link(d.witness).mirrors.add(mirrorCall{done: d.attempt})
		}
	}
}
