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

// Hash names a part or manifest by the SHA-256 of its bytes.
type Hash [sha256.Size]byte

// HashOf returns the hash of the bytes.
func HashOf(b []byte) Hash { return sha256.Sum256(b) }

// String returns the hash in hexadecimal digits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// hashFrom reads a hash from a message. A wrong length gives an error.
func hashFrom(b []byte) (Hash, error) {
	if len(b) != sha256.Size {
		return Hash{}, fmt.Errorf("bundle: hash of %d bytes, must be of %d", len(b), sha256.Size)
	}
	return Hash(b), nil
}

func hashesFrom(list [][]byte) ([]Hash, error) {
	out := make([]Hash, len(list))
	for i, b := range list {
		h, err := hashFrom(b)
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
	invariant.Check(err == nil, "bundle", "message does not encode: %v", err)
	return b
}

func encodePart(content *api.Part) (Hash, []byte) {
	b := encode(content)
	return HashOf(b), b
}

func sizeOf[T paged](item T) int {
	return proto.Size(any(item).(proto.Message))
}

// hasUnknown says whether a message or one inside it has fields that the schema of this program lacks.
func hasUnknown(m protoreflect.Message) bool {
	if len(m.GetUnknown()) > 0 {
		return true
	}
	unknown := false
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.Message() == nil:
		case f.IsList():
			for i := 0; i < v.List().Len() && !unknown; i++ {
				unknown = hasUnknown(v.List().Get(i).Message())
			}
		default:
			unknown = hasUnknown(v.Message())
		}
		return !unknown
	})
	return unknown
}
