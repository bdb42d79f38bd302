package bundle

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
)

// signaturePrefix provides domain separation: a signature of a manifest is not valid for any other kind of message.
const signaturePrefix = "pumiceshelf bundle manifest v1\n"

var (
	// ErrNotApproved means that too few of the operators who may approve the manifest signed it.
	ErrNotApproved = errors.New("bundle: not approved")
	// ErrMalformed means that a manifest or part cannot be decoded, or that its hash or kind is not the expected one.
	ErrMalformed = errors.New("bundle: malformed")
)

// Sign encodes a manifest and signs it as one operator.
func Sign(m *api.Manifest, operatorID string, key ed25519.PrivateKey) *api.SignedManifest {
	signed := Unsigned(m)
	AddSignature(signed, operatorID, key)
	return signed
}

// AddSignature adds an operator's signature to a manifest and replaces an older signature of the same operator.
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

// Verify returns the manifest if at least threshold of the operators signed it, and ErrNotApproved otherwise.
func Verify(signed *api.SignedManifest, operators []*api.OperatorKey, threshold uint32) (*api.Manifest, error) {
	m, err := decodeManifest(signed)
	if err != nil {
		return nil, err
	}
	if threshold == 0 {
		return nil, fmt.Errorf("%w: no threshold is set", ErrNotApproved)
	}
	valid := validSigners(signed, operators)
	if len(valid) < int(threshold) {
		return nil, fmt.Errorf("%w: bundle %d is signed by %d of the operators [%s] who may approve it, must be signed by at least %d",
			ErrNotApproved, m.Number, len(valid), operatorIDs(operators), threshold)
	}
	return m, nil
}

// validSigners returns the public keys of the operators with a valid signature. Each key counts once, even if several
// operators have the same one.
func validSigners(signed *api.SignedManifest, operators []*api.OperatorKey) map[string]bool {
	valid := make(map[string]bool)
	for _, s := range signed.Signatures {
		for _, o := range operators {
			if o.Id == s.OperatorId && isValidSignature(o, signed.Manifest, s.Signature) {
				valid[string(o.PublicKey)] = true
			}
		}
	}
	return valid
}

func isValidSignature(o *api.OperatorKey, manifest, signature []byte) bool {
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
	if hasUnknownFields(m.ProtoReflect()) {
		return nil, fmt.Errorf("%w: manifest has fields that are unknown to this version of the program; a newer version is required", ErrMalformed)
	}
	if m.Number == 0 {
		return nil, fmt.Errorf("%w: manifest has no number", ErrMalformed)
	}
	return m, nil
}

// Unsigned encodes a manifest without signatures; see AddSignature.
func Unsigned(m *api.Manifest) *api.SignedManifest { return &api.SignedManifest{Manifest: encode(m)} }

// DecodeManifest decodes the manifest of a signed one without verifying its signatures.
func DecodeManifest(signed *api.SignedManifest) (*api.Manifest, error) { return decodeManifest(signed) }
