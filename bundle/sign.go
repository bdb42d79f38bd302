package bundle

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
)

// signaturePrefix keeps a manifest's signature from meaning anything else.
const signaturePrefix = "pumiceshelf bundle manifest v1\n"

var (
	// ErrNotApproved means that too few of the operators named by the previous bundle signed the manifest.
	ErrNotApproved = errors.New("bundle: not approved")
	// ErrMalformed means that a manifest or part does not decode or is not what it is named.
	ErrMalformed = errors.New("bundle: malformed")
)

// Sign encodes a manifest and signs it as one operator.
func Sign(m *api.Manifest, operatorID string, key ed25519.PrivateKey) *api.SignedManifest {
	signed := Unsigned(m)
	AddSignature(signed, operatorID, key)
	return signed
}

// AddSignature signs the same bytes as another operator. An older signature of the operator is replaced.
func AddSignature(signed *api.SignedManifest, operatorID string, key ed25519.PrivateKey) {
	signature := &api.Signature{OperatorId: operatorID, Signature: ed25519.Sign(key, signedBytes(signed.Manifest))}
	for i, old := range signed.Signatures {
		if old.OperatorId == operatorID {
			signed.Signatures[i] = signature
			return
		}
	}
	signed.Signatures = append(signed.Signatures, signature)
}

func signedBytes(manifest []byte) []byte { return append([]byte(signaturePrefix), manifest...) }

// Verify returns the manifest if at least threshold of the operators signed it, and ErrNotApproved if not.
func Verify(signed *api.SignedManifest, operators []*api.OperatorKey, threshold uint32) (*api.Manifest, error) {
	m, err := decodeManifest(signed)
	if err != nil {
		return nil, err
	}
	if threshold == 0 {
		return nil, fmt.Errorf("%w: no threshold is set", ErrNotApproved)
	}
	valid := approvers(signed, operators)
	if len(valid) < int(threshold) {
		return nil, fmt.Errorf("%w: bundle %d is signed by %d of the operators [%s] named for it, must be by %d",
			ErrNotApproved, m.Number, len(valid), operatorIDs(operators), threshold)
	}
	return m, nil
}

// approvers returns the operators with a valid signature, each key once.
func approvers(signed *api.SignedManifest, operators []*api.OperatorKey) map[string]bool {
	valid := make(map[string]bool)
	for _, s := range signed.Signatures {
		for _, o := range operators {
			if o.Id == s.OperatorId && verifies(o, signed.Manifest, s.Signature) {
				valid[string(o.PublicKey)] = true
			}
		}
	}
	return valid
}

func verifies(o *api.OperatorKey, manifest, signature []byte) bool {
	return len(o.PublicKey) == ed25519.PublicKeySize && ed25519.Verify(o.PublicKey, signedBytes(manifest), signature)
}

func operatorIDs(operators []*api.OperatorKey) string {
	ids := make([]string, len(operators))
	for i, o := range operators {
		ids[i] = o.Id
	}
	return strings.Join(ids, ", ")
}

func decodeManifest(signed *api.SignedManifest) (*api.Manifest, error) {
	m := &api.Manifest{}
	if err := proto.Unmarshal(signed.GetManifest(), m); err != nil {
		return nil, fmt.Errorf("%w: manifest: %w", ErrMalformed, err)
	}
	if hasUnknown(m.ProtoReflect()) {
		return nil, fmt.Errorf("%w: manifest has fields that this program does not know; it needs a newer one", ErrMalformed)
	}
	if m.Number == 0 {
		return nil, fmt.Errorf("%w: manifest without a number", ErrMalformed)
	}
	return m, nil
}

// Unsigned encodes a manifest for signatures to be added to.
func Unsigned(m *api.Manifest) *api.SignedManifest { return &api.SignedManifest{Manifest: encode(m)} }

// Manifest returns the manifest that a signed one holds, without verifying it.
func Manifest(signed *api.SignedManifest) (*api.Manifest, error) { return decodeManifest(signed) }
