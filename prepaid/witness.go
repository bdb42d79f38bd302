package prepaid

import (
	"maps"
	"sync"

	"github.com/apex/log"

	"pumiceshelf/instance"
	"pumiceshelf/telemetry"
)

// maxWitnessedHolders bounds the holders whose marks a witness keeps: several times the instances of a large fleet, each restarted some
// times. None is forgotten while the process lives.
const maxWitnessedHolders = 4096

var descWitnessed = telemetry.Describe("prepaid.witness.holders", "instances", "Incarnations of other instances whose marks this one keeps.")

// witnessedMarks are the marks of one holder at a witness: the most tokens that it may have used without those that it borrowed, by customer.
type witnessedMarks struct {
	tokens map[string]int64
	sealed bool
}

// witnessLog holds the marks that this instance acknowledged, by holder. It is safe for concurrent use.
//
// Invariant: a mark never falls, none of a sealed holder rises, and no holder is forgotten. A holder that was, and came back with other
// customers, would have spent more than a later seal says.
type witnessLog struct {
	mu      sync.Mutex
	holders map[instance.Incarnation]*witnessedMarks
}

// raise raises marks of a holder. It returns false if it does not.
func (l *witnessLog) raise(holder instance.Incarnation, marks map[string]int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.holders[holder]
	switch {
	case known == nil && len(l.holders) >= maxWitnessedHolders, known != nil && known.sealed:
		return false
	case known == nil:
		known = &witnessedMarks{tokens: make(map[string]int64)}
		if l.holders == nil {
			l.holders = make(map[instance.Incarnation]*witnessedMarks)
		}
		l.holders[holder] = known
	}
	for customer, tokens := range marks {
		known.tokens[customer] = max(known.tokens[customer], tokens)
	}
	return true
}

// seal ends the acknowledgements of marks of a holder and returns them. It returns false for a holder that it does not know.
func (l *witnessLog) seal(holder instance.Incarnation) (map[string]int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.holders[holder]
	if known == nil {
		return nil, false
	}
	known.sealed = true
	return maps.Clone(known.tokens), true
}

func (l *witnessLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.holders)
}

// WitnessMarks acknowledges marks of another instance, by customer. It returns false if it does not: it is another incarnation than the
// witness that the request is for, has sealed the holder, or keeps the marks of too many.
func (m *Manager) WitnessMarks(holder, witness instance.Incarnation, marks map[string]int64) bool {
	if witness != m.config.Incarnation || holder == "" {
		return false
	}
	for customer, tokens := range marks {
		if !isPossible(tokens) {
			m.config.Log.WithFields(log.Fields{"customer": customer, "holder": string(holder), "mark": tokens}).Warn("prepaid: impossible mark refused")
			return false
		}
	}
	if !m.witnessed.raise(holder, marks) {
		m.config.Log.WithField("holder", string(holder)).Info("prepaid: mark of another instance refused")
		return false
	}
	m.witnessedHolders.Update(int64(m.witnessed.count()))
	return true
}

// SealMarks acknowledges no further marks of another instance and returns those that it acknowledged. It returns false if it is another
// incarnation than the witness that the request is for, or does not know the holder.
func (m *Manager) SealMarks(holder, witness instance.Incarnation) (map[string]int64, bool) {
	if witness != m.config.Incarnation {
		return nil, false
	}
	marks, known := m.witnessed.seal(holder)
	m.config.Log.WithFields(log.Fields{"holder": string(holder), "known": known, "tokens": sumOf(marks)}).Info("prepaid: marks of another instance sealed")
	return marks, known
}
