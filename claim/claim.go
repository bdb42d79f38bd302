// Package claim implements the logic of at-most-once execution: idempotency keys, claims and recorded outcomes.
//
// The package does no I/O, starts no goroutines and reads no clock. Package idempotency calls it.
package claim

import "crypto/sha256"

// KeyHash is the hash of a customer and its idempotency key.
type KeyHash [sha256.Size]byte

// BodyHash is the hash of a request's method, path and body.
type BodyHash [sha256.Size]byte

// HashKey returns the hash of a customer's idempotency key. Equal keys of different customers have different hashes.
func HashKey(customer, key string) KeyHash {
	h := sha256.New()
	h.Write([]byte(customer))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return KeyHash(h.Sum(nil))
}

// HashBody returns the hash of a request's method, path and body.
func HashBody(method, path string, body []byte) BodyHash {
	h := sha256.New()
	h.Write([]byte(method))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	return BodyHash(h.Sum(nil))
}
