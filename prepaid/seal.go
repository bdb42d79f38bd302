package prepaid

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"pumiceshelf/instance"
)

// sealTimeout is how long an instance asks the witnesses of its earlier incarnations before it closes their leases at their whole size:
// the time to list the other instances at the start, and some calls. Until then the leases are committed, as they are if they are closed.
const sealTimeout = 5 * time.Second

// seals are the marks of earlier incarnations that their witnesses have sealed. It is safe for concurrent use.
type seals struct {
	mu sync.Mutex
	// wanted are the witnesses that have not answered, by holder.
	wanted map[instance.Incarnation][]instance.Incarnation
	// begunAt is when a witness was first wanted.
	begunAt time.Time
	// answers are the marks by customer, nil from an instance that does not know the holder.
	answers map[sealKey]map[string]int64
	// failed are the witnesses that were asked and did not answer.
	failed map[sealKey]bool
}

// sealKey names a holder and a witness.
type sealKey struct{ holder, witness instance.Incarnation }

// want asks for the marks of holders. It returns true once no answer is expected any more that allows to close leases at a mark.
func (s *seals) want(witnesses map[instance.Incarnation][]instance.Incarnation, now time.Time) (done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begunAt.IsZero() {
		s.begunAt = now
	}
	s.wanted = make(map[instance.Incarnation][]instance.Incarnation)
	for holder, list := range witnesses {
		if s.sealedLocked(holder, list) != nil {
			continue
		}
		unanswered := slices.DeleteFunc(slices.Clone(list), func(w instance.Incarnation) bool {
			_, answered := s.answers[sealKey{holder, w}]
			return answered
		})
		if len(unanswered) > 0 {
			s.wanted[holder] = unanswered
		}
	}
	if now.Sub(s.begunAt) >= sealTimeout {
		s.wanted = nil
	}
	return len(s.wanted) == 0
}

// pending returns the witnesses to ask, by holder.
func (s *seals) pending() map[instance.Incarnation][]instance.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.wanted)
}

// record records the answer of a witness.
func (s *seals) record(holder, witness instance.Incarnation, marks map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answers == nil {
		s.answers = make(map[sealKey]map[string]int64)
	}
	s.answers[sealKey{holder, witness}] = marks
}

// recordFailure records that a witness did not answer. It reports whether that is the first time.
func (s *seals) recordFailure(holder, witness instance.Incarnation) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = make(map[sealKey]bool)
	}
	first = !s.failed[sealKey{holder, witness}]
	s.failed[sealKey{holder, witness}] = true
	return first
}

// sealed returns what a holder can have used at most, by customer, or nil if too few of its witnesses have sealed its marks.
func (s *seals) sealed(holder instance.Incarnation, witnesses []instance.Incarnation) map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sealedLocked(holder, witnesses)
}

func (s *seals) sealedLocked(holder instance.Incarnation, witnesses []instance.Incarnation) map[string]int64 {
	missing := maxMissing(len(witnesses))
	var answers []map[string]int64
	for _, w := range witnesses {
		if marks := s.answers[sealKey{holder, w}]; marks != nil {
			answers = append(answers, marks)
		}
	}
	if len(answers) <= missing {
		return nil
	}
	used := make(map[string]int64)
	for _, answer := range answers {
		for customer := range answer {
			var marks []int64
			for _, a := range answers {
				marks = append(marks, a[customer])
			}
			used[customer] = heldBack(marks, missing)
		}
	}
	return used
}

// witnessedPredecessors returns the witnesses of the earlier incarnations of an instance whose leases may be closed at a mark. The ledger
// does not say which witnesses bind a holder that has not confirmed its leases in this era.
func (l ledger) witnessedPredecessors(holder instance.Incarnation) map[instance.Incarnation][]instance.Incarnation {
	out := make(map[instance.Incarnation][]instance.Incarnation)
	for _, a := range l.message.Accounts {
		for other := range a.Leases {
			earlier := instance.Incarnation(other)
			if earlier == holder || earlier.Name() != holder.Name() || !l.confirmed(other) {
				continue
			}
			if witnesses := l.witnesses(earlier); len(witnesses) > 0 {
				out[earlier] = witnesses
			}
		}
	}
	return out
}

// awaitsSeals reports whether the leases of earlier incarnations are to be closed later, since a witness may still say how much of them was
// used.
func (m *Manager) awaitsSeals(l ledger) bool {
	if m.config.Witnesses == nil {
		return false
	}
	if m.seals.want(l.witnessedPredecessors(m.config.Incarnation), m.config.Clock.Now()) {
		return false
	}
	notify(m.markSignal)
	return true
}

// usedByPredecessors returns what earlier incarnations can have used at most, by holder and customer, as far as witnesses have sealed it.
func (m *Manager) usedByPredecessors(l ledger) map[instance.Incarnation]map[string]int64 {
	out := make(map[instance.Incarnation]map[string]int64)
	for holder, witnesses := range l.witnessedPredecessors(m.config.Incarnation) {
		if marks := m.seals.sealed(holder, witnesses); marks != nil {
			out[holder] = marks
		}
	}
	return out
}

// sealPredecessors asks the witnesses of earlier incarnations that have not answered.
func (m *Manager) sealPredecessors(ctx context.Context) {
	var calls sync.WaitGroup
	for holder, witnesses := range m.seals.pending() {
		for _, w := range witnesses {
			calls.Go(func() { m.sealAt(ctx, holder, w) })
		}
	}
	calls.Wait()
}

// sealAt asks one witness of an earlier incarnation.
func (m *Manager) sealAt(ctx context.Context, holder, witness instance.Incarnation) {
	marks, known, err := m.config.SealMarks(ctx, holder, witness)
	entry := m.config.Log.WithFields(log.Fields{"holder": string(holder), "witness": string(witness)})
	if err != nil {
		if m.seals.recordFailure(holder, witness) {
			entry.WithError(err).Info("prepaid: marks of an earlier incarnation not sealed yet")
		}
		return
	}
	if !known {
		marks = nil
	} else if marks == nil {
		marks = map[string]int64{}
	}
	m.seals.record(holder, witness, marks)
	entry.WithFields(log.Fields{"known": known, "tokens": sumOf(marks)}).Info("prepaid: marks of an earlier incarnation sealed")
	notify(m.updateSignal)
}

// closesWitnessed reports whether earlier incarnations have leases that may be closed at a mark.
func (m *Manager) closesWitnessed() bool {
	return m.config.Witnesses != nil && !m.predecessorsClosed && len(m.ledger.witnessedPredecessors(m.config.Incarnation)) > 0
}
