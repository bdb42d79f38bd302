package bundle

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
)

// chainLimit bounds the changes of operators that one check of trust follows.
const chainLimit = 1024

// trust is a set of operators that may approve a bundle.
type trust struct {
	// hash of the manifest that names them; zero for the operators of the settings.
	hash Hash
	// number of that manifest.
	number    uint64
	operators []*api.OperatorKey
	threshold uint32
}

// chainSource finds the signed manifests at which operators changed.
type chainSource func(ctx context.Context, h Hash) (*api.SignedManifest, error)

// approve verifies a signed manifest from the operators trusted now on. Where it was approved by operators named since,
// the chain of manifests that named them is followed and each verified by the one before. It returns the manifest, the
// operators trusted to approve the next one, and the links followed, oldest first.
func (t trust) approve(ctx context.Context, signed *api.SignedManifest, find chainSource) (*api.Manifest, trust, []*api.SignedManifest, error) {
	links, err := t.links(ctx, signed, find)
	if err != nil {
		return nil, t, nil, err
	}
	for _, link := range links {
		m, err := Verify(link, t.operators, t.threshold)
		if err != nil {
			return nil, t, nil, err
		}
		if m.Number <= t.number {
			return nil, t, nil, fmt.Errorf("%w: chain of operators goes from bundle %d down to %d", ErrNotApproved, t.number, m.Number)
		}
		t = trustIn(link, m)
	}
	m, err := Verify(signed, t.operators, t.threshold)
	if err != nil {
		return nil, t, nil, err
	}
	if m.Number <= t.number {
		return nil, t, nil, fmt.Errorf("%w: bundle %d is older than its approvers' bundle %d", ErrNotApproved, m.Number, t.number)
	}
	if t.changedBy(m) {
		return m, trustIn(signed, m), append(links, signed), nil
	}
	return m, t, links, nil
}

// links returns the manifests between the trusted one and the signed one at which operators changed, oldest first.
func (t trust) links(ctx context.Context, signed *api.SignedManifest, find chainSource) ([]*api.SignedManifest, error) {
	var reversed []*api.SignedManifest
	for len(reversed) < chainLimit {
		m, err := decodeManifest(signed)
		if err != nil {
			return nil, err
		}
		if t.named(m.ApproversHash) {
			return reverse(reversed), nil
		}
		h, err := hashFrom(m.ApproversHash)
		if err != nil {
			return nil, fmt.Errorf("%w: bundle %d is not approved by operators that follow from those of bundle %d", ErrNotApproved, m.Number, t.number)
		}
		if signed, err = find(ctx, h); err != nil {
			return nil, err
		}
		if HashOf(signed.GetManifest()) != h {
			return nil, fmt.Errorf("%w: manifest %s has another hash", ErrMalformed, h)
		}
		reversed = append(reversed, signed)
	}
	return nil, fmt.Errorf("%w: over %d changes of operators", ErrNotApproved, chainLimit)
}

// named says whether an approvers' hash names this trust.
func (t trust) named(approvers []byte) bool {
	if t.hash == (Hash{}) {
		return len(approvers) == 0
	}
	return string(approvers) == string(t.hash[:])
}

// changedBy says whether the manifest, approved by t, hands approval on. The first bundle always does.
func (t trust) changedBy(m *api.Manifest) bool {
	return t.hash == (Hash{}) || !sameOperators(t.operators, t.threshold, m)
}

func trustIn(signed *api.SignedManifest, m *api.Manifest) trust {
	return trust{hash: HashOf(signed.Manifest), number: m.Number, operators: m.Operators, threshold: m.Threshold}
}

func sameOperators(operators []*api.OperatorKey, threshold uint32, m *api.Manifest) bool {
	if threshold != m.Threshold || len(operators) != len(m.Operators) {
		return false
	}
	for i, o := range operators {
		if !proto.Equal(o, m.Operators[i]) {
			return false
		}
	}
	return true
}

func reverse(list []*api.SignedManifest) []*api.SignedManifest {
	out := make([]*api.SignedManifest, 0, len(list))
	for i := len(list) - 1; i >= 0; i-- {
		out = append(out, list[i])
	}
	return out
}

// Follow fills the manifest's fields on the bundle that it replaces: the one the pointer names. Approvers is the
// manifest that approved that one, nil if those of the settings did; ReadApprovers reads it.
func Follow(m *api.Manifest, p Pointer, approvers *api.Manifest) {
	if p.Version == 0 {
		return
	}
	h := p.Hash()
	m.Previous = p.Number()
	m.PreviousHash = h[:]
	m.ApproversHash = p.Manifest.ApproversHash
	if approvers == nil || !sameOperators(approvers.Operators, approvers.Threshold, p.Manifest) {
		m.ApproversHash = h[:]
	}
}
