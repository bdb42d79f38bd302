package claim

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

// KeyForm is the form of an idempotency key. It determines who may admit a request with the key. It is part of the key, so
// that all instances agree on it.
type KeyForm int

// Forms of idempotency keys.
const (
	// Opaque keys are decided only by claims in the object store.
	Opaque KeyForm = iota
	// Issued keys contain the incarnation that issued them, which alone decides them.
	Issued
	// Stated keys come from callers that mark the first attempt with a key, and guarantee never to mark a later one.
	Stated
)

const (
	// StatedPrefix is the prefix of a stated key.
	StatedPrefix = "stated:"
	issuedPrefix = "issued:"
	// tagSize is the length of the authentication tag in an issued key, in bytes.
	tagSize = 12
	// uuidVersionWithTime is the UUID version that contains a timestamp.
	uuidVersionWithTime = 7
)

// Key is a parsed idempotency key of a customer.
type Key struct {
	Hash KeyHash
	Form KeyForm
	// Issued is set if Form is Issued.
	Issued *api.IssuedKey
	// Time is when the caller created the key, taken from a version 7 UUID. It is zero for other keys.
	Time time.Time
}

// ParseKey parses a customer's idempotency key. Every string is a valid key; one without another form is opaque.
func ParseKey(customer, key string) Key {
	k := Key{Hash: HashKey(customer, key)}
	if issued := parseIssued(customer, key); issued != nil {
		k.Form = Issued
		k.Issued = issued
		return k
	}
	rest, stated := strings.CutPrefix(key, StatedPrefix)
	if stated {
		k.Form = Stated
	}
	if id, err := uuid.Parse(rest); err == nil && id.Version() == uuidVersionWithTime {
		sec, nsec := id.Time().UnixTime()
		k.Time = time.Unix(sec, nsec)
	}
	return k
}

// parseIssued returns nil if the key does not have the issued form.
func parseIssued(customer, key string) *api.IssuedKey {
	rest, ok := strings.CutPrefix(key, issuedPrefix)
	if !ok {
		return nil
	}
	fields := strings.Split(rest, ":")
	if len(fields) != 3 || fields[0] == "" {
		return nil
	}
	number, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return nil
	}
	tag, err := base64.RawURLEncoding.DecodeString(fields[2])
	if err != nil || len(tag) != tagSize {
		return nil
	}
	return &api.IssuedKey{Issuer: fields[0], Customer: customer, Number: number, Tag: tag}
}

// Issuer issues and verifies the keys of one incarnation. The secret must be random and must never leave the process.
type Issuer struct {
	incarnation instance.Incarnation
	secret      [sha256.Size]byte
	lastNumber  uint64
}

// NewIssuer returns an issuer of keys that contain the incarnation.
func NewIssuer(incarnation instance.Incarnation, secret [sha256.Size]byte) *Issuer {
	return &Issuer{incarnation: incarnation, secret: secret}
}

// Issue returns a new unique key for the customer.
func (i *Issuer) Issue(customer string) string {
	i.lastNumber++
	tag := base64.RawURLEncoding.EncodeToString(i.tag(customer, i.lastNumber))
	return issuedPrefix + string(i.incarnation) + ":" + strconv.FormatUint(i.lastNumber, 10) + ":" + tag
}

// Verify reports whether this issuer issued the key to the customer in it.
func (i *Issuer) Verify(k *api.IssuedKey) bool {
	return k.GetIssuer() == string(i.incarnation) && k.GetNumber() <= i.lastNumber &&
		hmac.Equal(k.GetTag(), i.tag(k.GetCustomer(), k.GetNumber()))
}

func (i *Issuer) tag(customer string, number uint64) []byte {
	mac := hmac.New(sha256.New, i.secret[:])
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], number)
	mac.Write(n[:])
	mac.Write([]byte(customer))
	return mac.Sum(nil)[:tagSize]
}
