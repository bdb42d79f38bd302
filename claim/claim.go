// Package claim is the logic of at-most-once: idempotency keys, claims and recorded outcomes.
//
// The package does no I/O, starts no goroutines and reads no clock. Package idempotency drives it.
package claim

import "crypto/sha256"

// KeyHash names an idempotency key of a customer.
type KeyHash [sha256.Size]byte

// BodyHash names what a request asks for: method, path and body.
type BodyHash [sha256.Size]byte

// HashKey returns the name of a customer's idempotency key. Keys of two customers never share a name.
func HashKey(customer, key string) KeyHash {
	h := sha256.New()
	h.Write([]byte(customer))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return KeyHash(h.Sum(nil))
}

// HashBody returns the name of what a request asks for.
func HashBody(method, path string, body []byte) BodyHash {
	h := sha256.New()
	h.Write([]byte(method))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	return BodyHash(h.Sum(nil))
}
