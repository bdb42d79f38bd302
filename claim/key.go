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

// Form of an idempotency key. It decides who may let a request with the key run, and is part of the key itself, so that
// all instances agree on it.
type Form int

// Forms of idempotency keys.
const (
	// Opaque keys are decided by the platform alone.
	Opaque Form = iota
	// Issued keys name the incarnation that issued them, which alone decides them.
	Issued
	// Stated keys promise that the caller says truly which attempt is its first.
	Stated
)

const (
	// StatedPrefix begins a stated key.
	StatedPrefix = "stated:"
	issuedPrefix = "issued:"
	// tagSize is the length in bytes of the proof in an issued key.
	tagSize = 12
	// versionWithTime is the UUID version that holds a time.
	versionWithTime = 7
)

// Key is an idempotency key of a customer, taken apart.
type Key struct {
	Hash KeyHash
	Form Form
	// Issued is set for Issued.
	Issued *api.IssuedKey
	// Time is when the caller made the key, zero if it does not say. Version 7 UUIDs say it.
	Time time.Time
}

// ParseKey takes a customer's idempotency key apart. Every string is a key; one that is not of another form is opaque.
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
	if id, err := uuid.Parse(rest); err == nil && id.Version() == versionWithTime {
		sec, nsec := id.Time().UnixTime()
		k.Time = time.Unix(sec, nsec)
	}
	return k
}

// parseIssued returns nil for a key that is not of the issued form.
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

// Issuer issues keys of one incarnation and recognises them. The secret must be random and never leave the process.
type Issuer struct {
	incarnation instance.Incarnation
	secret      [sha256.Size]byte
	next        uint64
}

// NewIssuer returns an issuer of keys that name the incarnation.
func NewIssuer(incarnation instance.Incarnation, secret [sha256.Size]byte) *Issuer {
	return &Issuer{incarnation: incarnation, secret: secret}
}

// Issue returns a key for the customer that was never issued before.
func (i *Issuer) Issue(customer string) string {
	i.next++
	tag := base64.RawURLEncoding.EncodeToString(i.tag(customer, i.next))
	return issuedPrefix + string(i.incarnation) + ":" + strconv.FormatUint(i.next, 10) + ":" + tag
}

// Genuine says whether this issuer issued the key to the customer that it names.
func (i *Issuer) Genuine(k *api.IssuedKey) bool {
	return k.GetIssuer() == string(i.incarnation) && k.GetNumber() <= i.next &&
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
