package prepaid

import (
	"sync"
	"time"

	"github.com/apex/log"

	"pumiceshelf/instance"
	"pumiceshelf/telemetry"
)

// transferRetention is how long a transfer can be abandoned. It exceeds the time for which a borrower repeats this.
const transferRetention = 30 * time.Second

var descTakenBack = telemetry.Describe("prepaid.loan.taken_back", "tokens", "Tokens passed on in responses that the other instance did not receive, and taken back.")

// TransferID identifies one request of an instance for tokens of another one. A zero Sequence marks a request that cannot
// be abandoned.
type TransferID struct {
	Borrower instance.Incarnation
	Sequence uint64
}

// transfer is the state of one request for tokens at the instance that passes them on.
type transfer struct {
	account   *account
	tokens    int64
	abandoned bool
}

// transferLog records the tokens passed on by request, so that the borrower can abandon a request whose response it did
// not receive. It is safe for concurrent use.
//
// Invariant: the tokens of an abandoned transfer are returned to the account at most once, and a request that arrives after
// it was abandoned gets none.
type transferLog struct {
	mu        sync.Mutex
	transfers map[TransferID]*transfer
	// expiries are the transfers in the order in which they expire.
	expiries []transferExpiry
}

type transferExpiry struct {
	id TransferID
	at time.Time
}

// begin records a request before its tokens are reserved. It returns false if the request was abandoned or is a duplicate.
func (l *transferLog) begin(id TransferID, a *account, now time.Time) bool {
	if id.Sequence == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if l.transfers[id] != nil {
		return false
	}
	l.put(id, &transfer{account: a}, now)
	return true
}

// complete records the tokens reserved for a request. It returns the number to pass on, which is zero if the request was
// abandoned meanwhile.
func (l *transferLog) complete(id TransferID, tokens int64) int64 {
	if id.Sequence == 0 || tokens == 0 {
		return tokens
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.transfers[id]
	if t == nil {
		return tokens
	}
	if t.abandoned {
		t.account.takeBack(tokens)
		return 0
	}
	t.tokens = tokens
	return tokens
}

// abandon takes back the tokens of a request whose response the borrower did not receive, and returns their number.
func (l *transferLog) abandon(id TransferID, now time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	t := l.transfers[id]
	if t == nil {
		l.put(id, &transfer{abandoned: true}, now)
		return 0
	}
	if t.abandoned {
		return 0
	}
	t.abandoned = true
	if t.tokens > 0 {
		t.account.takeBack(t.tokens)
	}
	return t.tokens
}

// put records a transfer until it expires. l.mu must be held.
func (l *transferLog) put(id TransferID, t *transfer, now time.Time) {
	if l.transfers == nil {
		l.transfers = make(map[TransferID]*transfer)
	}
	l.transfers[id] = t
	l.expiries = append(l.expiries, transferExpiry{id: id, at: now.Add(transferRetention)})
}

// expire removes expired transfers. l.mu must be held.
func (l *transferLog) expire(now time.Time) {
	n := 0
	for n < len(l.expiries) && !now.Before(l.expiries[n].at) {
		delete(l.transfers, l.expiries[n].id)
		n++
	}
	l.expiries = l.expiries[n:]
}

// Abandon takes back the tokens of requests whose responses the borrower did not receive and will never use.
func (m *Manager) Abandon(borrower instance.Incarnation, sequences []uint64) {
	now := m.config.Clock.Now()
	tokens := int64(0)
	for _, sequence := range sequences {
		tokens += m.transfers.abandon(TransferID{Borrower: borrower, Sequence: sequence}, now)
	}
	m.takenBack.Inc(tokens)
	m.config.Log.WithFields(log.Fields{"borrower": string(borrower), "requests": len(sequences), "tokens": tokens}).
		Info("prepaid: tokens taken back from lost responses")
}
