package idempotency

import (
	"container/list"
	"context"
	"sync"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/claim"
	"pumiceshelf/instance"
)

const (
	// maxIssuedClaims bounds the claims of issued keys that are kept in memory.
	maxIssuedClaims = 16384
	// maxIssuedResponseBytes bounds the size of the responses in these claims.
	maxIssuedResponseBytes = 16 << 20
	// wordBits is the number of keys in one word of the bit set of used keys.
	wordBits = 64
)

// issuedKeys decides the keys that this incarnation issued. No other instance decides them, so the object store is not
// needed. A key stays used after its claim was evicted.
type issuedKeys struct {
	mu     sync.Mutex
	issuer *claim.Issuer
	claims map[uint64]*list.Element
	// order holds the claims, the most recently changed first.
	order         *list.List
	responseBytes int
	// usedKeys is a bit set of the numbers of used keys whose claims were evicted. They must not run again.
	usedKeys map[uint64]uint64
}

type issuedClaim struct {
	number uint64
	claim  *api.Claim
}

func newIssuedKeys(issuer *claim.Issuer) *issuedKeys {
	return &issuedKeys{
		issuer:   issuer,
		claims:   make(map[uint64]*list.Element),
		order:    list.New(),
		usedKeys: make(map[uint64]uint64),
	}
}

// propose decides a proposal and returns the resulting claim, nil if the key has none. It returns errForged if the key
// was not issued to the customer.
func (k *issuedKeys) propose(p *api.ClaimProposal) (*api.Claim, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.issuer.Verify(p.GetIssued()) {
		return nil, errForged
	}
	number := p.GetIssued().GetNumber()
	current := k.current(number, p.GetClaim().GetKeyHash())
	next := claim.Apply(current, p)
	if next != current {
		k.put(number, next)
	}
	return next, nil
}

// current returns the key's claim, with state UNKNOWN if it was evicted, or nil if there is none.
func (k *issuedKeys) current(number uint64, keyHash []byte) *api.Claim {
	if el := k.claims[number]; el != nil {
		return el.Value.(*issuedClaim).claim
	}
	if k.usedKeys[number/wordBits]&(1<<(number%wordBits)) != 0 {
		return &api.Claim{KeyHash: keyHash, State: api.ClaimState_CLAIM_STATE_UNKNOWN}
	}
	return nil
}

// put stores a claim and evicts the oldest ones that exceed the limits.
func (k *issuedKeys) put(number uint64, c *api.Claim) {
	if el := k.claims[number]; el != nil {
		k.remove(el)
	}
	k.claims[number] = k.order.PushFront(&issuedClaim{number: number, claim: c})
	k.responseBytes += len(c.GetAnswer().GetBody())
	for k.order.Len() > maxIssuedClaims || (k.responseBytes > maxIssuedResponseBytes && k.order.Len() > 1) {
		oldest := k.order.Back()
		evicted := k.remove(oldest)
		if claim.HoldsKey(evicted.claim) {
			k.usedKeys[evicted.number/wordBits] |= 1 << (evicted.number % wordBits)
		}
	}
}

func (k *issuedKeys) remove(el *list.Element) *issuedClaim {
	c := k.order.Remove(el).(*issuedClaim)
	delete(k.claims, c.number)
	k.responseBytes -= len(c.claim.GetAnswer().GetBody())
	return c
}

func (k *issuedKeys) issue(customer string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.issuer.Issue(customer)
}

func (k *issuedKeys) len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.claims)
}

// newKey returns a key of the form that the policy issues: an issued key, or with PolicyRefuse a UUID, which is an opaque
// key. A version 7 UUID lets instances recognize keys that are past the retention.
func (m *Manager) newKey(customer string) string {
	if m.cfg.Policy != PolicyRefuse {
		return m.issued.issue(customer)
	}
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

func issuerOf(p *api.ClaimProposal) instance.Incarnation {
	return instance.Incarnation(p.GetIssued().GetIssuer())
}

// proposeIssued lets the incarnation that issued the key decide a proposal.
func (m *Manager) proposeIssued(ctx context.Context, p *api.ClaimProposal) (*api.Claim, error) {
	issuer := issuerOf(p)
	if issuer == m.self {
		return m.issued.propose(p)
	}
	ctx, cancel := m.withTimeout(ctx, m.claimWait())
	defer cancel()
	claims, err := m.proposeToPeer(ctx, issuer, &api.ProposeRequest{Issued: true, Proposals: []*api.ClaimProposal{p}})
	if err != nil {
		return nil, err
	}
	if proto.Equal(claims[0], forgedClaim) {
		return nil, errForged
	}
	return claims[0], nil
}

// forgedClaim reports to another instance that a key was not issued to the customer.
var forgedClaim = &api.Claim{RequestId: "forged"}
