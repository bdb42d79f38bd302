package bundle

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
)

// maxChainLinks bounds the operator changes that the verification of one manifest follows.
const maxChainLinks = 1024

// trust is a set of operators that may approve a bundle.
type trust struct {
	// hash of the manifest that names the operators, zero for the operators of the settings.
	hash Hash
	// number of that manifest.
	number    uint64
	operators []*api.OperatorKey
	threshold uint32
}

// manifestFinder finds a signed manifest by its hash.
type manifestFinder func(ctx context.Context, h Hash) (*api.SignedManifest, error)

// approve verifies a signed manifest, starting from the trusted operators. If later operators approved it, approve
// follows the chain of manifests that named them and verifies each one by the operators of the one before. It returns the
// manifest, the operators trusted to approve the next one, and the new links of the operator chain, oldest first.
func (t trust) approve(ctx context.Context, signed *api.SignedManifest, find manifestFinder) (*api.Manifest, trust, []*api.SignedManifest, error) {
	links, err := t.findLinks(ctx, signed, find)
	if err != nil {
		return nil, t, nil, err
	}
	for _, link := range links {
		m, err := Verify(link, t.operators, t.threshold)
		if err != nil {
			return nil, t, nil, err
		}
		if m.Number <= t.number {
			return nil, t, nil, fmt.Errorf("%w: operator chain goes from bundle %d back to bundle %d", ErrNotApproved, t.number, m.Number)
		}
		t = newTrust(link, m)
	}
	m, err := Verify(signed, t.operators, t.threshold)
	if err != nil {
		return nil, t, nil, err
	}
	if m.Number <= t.number {
		return nil, t, nil, fmt.Errorf("%w: bundle %d is not newer than bundle %d, which names its approvers", ErrNotApproved, m.Number, t.number)
	}
	if t.isChangedBy(m) {
		return m, newTrust(signed, m), append(links, signed), nil
	}
	return m, t, links, nil
}

// findLinks returns the manifests between the trusted one and the signed one that changed the operators, oldest first.
func (t trust) findLinks(ctx context.Context, signed *api.SignedManifest, find manifestFinder) ([]*api.SignedManifest, error) {
	var reversed []*api.SignedManifest
	for len(reversed) < maxChainLinks {
		m, err := decodeManifest(signed)
		if err != nil {
			return nil, err
		}
		if t.isNamedBy(m.ApproversHash) {
			return reversedList(reversed), nil
		}
		h, err := parseHash(m.ApproversHash)
		if err != nil {
			return nil, fmt.Errorf("%w: approvers of bundle %d cannot be traced back to the operators of bundle %d", ErrNotApproved, m.Number, t.number)
		}
		if signed, err = find(ctx, h); err != nil {
			return nil, err
		}
		if HashOf(signed.GetManifest()) != h {
			return nil, fmt.Errorf("%w: manifest %s does not match its hash", ErrMalformed, h)
		}
		reversed = append(reversed, signed)
	}
	return nil, fmt.Errorf("%w: more than %d operator changes", ErrNotApproved, maxChainLinks)
}

// isNamedBy reports whether an approvers hash references the manifest that names these operators. An empty hash
// references the operators of the settings.
func (t trust) isNamedBy(approversHash []byte) bool {
	if t.hash == (Hash{}) {
		return len(approversHash) == 0
	}
	return string(approversHash) == string(t.hash[:])
}

// isChangedBy reports whether the manifest, which t approved, replaces the operators who approve the next one. The first
// bundle always does.
func (t trust) isChangedBy(m *api.Manifest) bool {
	return t.hash == (Hash{}) || !sameOperators(t.operators, t.threshold, m)
}

func newTrust(signed *api.SignedManifest, m *api.Manifest) trust {
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

func reversedList(list []*api.SignedManifest) []*api.SignedManifest {
	out := make([]*api.SignedManifest, 0, len(list))
	for i := len(list) - 1; i >= 0; i-- {
		out = append(out, list[i])
	}
	return out
}

// SetPrevious sets the manifest's fields about the bundle that it replaces, which is the one that the pointer names.
// approvers is the manifest whose operators approved that bundle, as returned by ReadApprovers; it is nil for the
// operators of the settings.
func SetPrevious(m *api.Manifest, p Pointer, approvers *api.Manifest) {
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
