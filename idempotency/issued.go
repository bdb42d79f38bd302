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
	// issuedLimit bounds the claims of issued keys kept in full.
	issuedLimit = 16384
	// issuedBytes bounds the size of their answers.
	issuedBytes = 16 << 20
	// wordBits is the number of keys whose use one word of the set of used keys tells.
	wordBits = 64
)

// issuedBook decides keys that this incarnation issued. It is the only one to decide them, so that no platform is needed,
// and what it forgot stays used.
type issuedBook struct {
	mu     sync.Mutex
	issuer *claim.Issuer
	claims map[uint64]*list.Element
	order  *list.List
	bytes  int
	// used tells of keys whose claims are no longer kept that they must not run.
	used map[uint64]uint64
}

type issuedClaim struct {
	number uint64
	claim  *api.Claim
}

func newIssuedBook(issuer *claim.Issuer) *issuedBook {
	return &issuedBook{
		issuer: issuer,
		claims: make(map[uint64]*list.Element),
		order:  list.New(),
		used:   make(map[uint64]uint64),
	}
}

// propose decides a proposal. It returns nil for a key without a claim.
func (b *issuedBook) propose(p *api.ClaimProposal) (*api.Claim, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.issuer.Genuine(p.GetIssued()) {
		return nil, errForged
	}
	number := p.GetIssued().GetNumber()
	present := b.present(number, p.GetClaim().GetKeyHash())
	next := claim.Apply(present, p)
	if next != present {
		b.keep(number, next)
	}
	return next, nil
}

func (b *issuedBook) present(number uint64, keyHash []byte) *api.Claim {
	if el := b.claims[number]; el != nil {
		return el.Value.(*issuedClaim).claim
	}
	if b.used[number/wordBits]&(1<<(number%wordBits)) != 0 {
		return &api.Claim{KeyHash: keyHash, State: api.ClaimState_CLAIM_STATE_UNKNOWN}
	}
	return nil
}

func (b *issuedBook) keep(number uint64, c *api.Claim) {
	if el := b.claims[number]; el != nil {
		b.remove(el)
	}
	b.claims[number] = b.order.PushFront(&issuedClaim{number: number, claim: c})
	b.bytes += len(c.GetAnswer().GetBody())
	for b.order.Len() > issuedLimit || (b.bytes > issuedBytes && b.order.Len() > 1) {
		oldest := b.order.Back()
		old := b.remove(oldest)
		if claim.Stands(old.claim) {
			b.used[old.number/wordBits] |= 1 << (old.number % wordBits)
		}
	}
}

func (b *issuedBook) remove(el *list.Element) *issuedClaim {
	c := b.order.Remove(el).(*issuedClaim)
	delete(b.claims, c.number)
	b.bytes -= len(c.claim.GetAnswer().GetBody())
	return c
}

func (b *issuedBook) issue(customer string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.issuer.Issue(customer)
}

func (b *issuedBook) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.claims)
}

// newKey returns a key of the form that the policy issues.
func (k *Keeper) newKey(customer string) string {
	if k.cfg.Policy != PolicyRefuse {
		return k.issued.issue(customer)
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

// proposeIssued has a proposal decided by the incarnation that issued the key.
func (k *Keeper) proposeIssued(ctx context.Context, p *api.ClaimProposal) (*api.Claim, error) {
	issuer := issuerOf(p)
	if issuer == k.self {
		return k.issued.propose(p)
	}
	ctx, cancel := k.within(ctx, k.claimWait())
	defer cancel()
	claims, err := k.askPeer(ctx, issuer, &api.ProposeRequest{Issued: true, Proposals: []*api.ClaimProposal{p}})
	if err != nil {
		return nil, err
	}
	if proto.Equal(claims[0], forged) {
		return nil, errForged
	}
	return claims[0], nil
}

// forged stands for a key that was not issued to the customer, in answers to other instances.
var forged = &api.Claim{RequestId: "forged"}
