package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"pumiceshelf/api"
	"pumiceshelf/invariant"
)

// Hash identifies a part or manifest by the SHA-256 of its bytes.
type Hash [sha256.Size]byte

// HashOf returns the hash of the bytes.
func HashOf(b []byte) Hash { return sha256.Sum256(b) }

// String returns the hash in hexadecimal digits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// parseHash converts a bytes field of a message to a hash. It returns an error if the length is wrong.
func parseHash(b []byte) (Hash, error) {
	if len(b) != sha256.Size {
		return Hash{}, fmt.Errorf("bundle: hash has %d bytes, must have %d", len(b), sha256.Size)
	}
	return Hash(b), nil
}

func parseHashes(list [][]byte) ([]Hash, error) {
	out := make([]Hash, len(list))
	for i, b := range list {
		h, err := parseHash(b)
		if err != nil {
			return nil, err
		}
		out[i] = h
	}
	return out, nil
}

// encode returns the deterministic encoding of a message.
func encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	invariant.Check(err == nil, "bundle", "message cannot be encoded: %v", err)
	return b
}

func encodePart(part *api.Part) (Hash, []byte) {
	b := encode(part)
	return HashOf(b), b
}

func encodedSize[T pageItem](item T) int {
	return proto.Size(any(item).(proto.Message))
}

// hasUnknownFields reports whether a message or a nested one has fields that this program's schema does not define.
func hasUnknownFields(m protoreflect.Message) bool {
	if len(m.GetUnknown()) > 0 {
		return true
	}
	unknown := false
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.Message() == nil:
		case f.IsList():
			for i := 0; i < v.List().Len() && !unknown; i++ {
				unknown = hasUnknownFields(v.List().Get(i).Message())
			}
		default:
			unknown = hasUnknownFields(v.Message())
		}
		return !unknown
	})
	return unknown
}
