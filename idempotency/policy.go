package idempotency

// Policy says which keys this instance issues and admits without the platform. The form of a key is part of it, so
// instances of different policies agree on who decides a key.
type Policy int

// Policies, from the one that refuses most in a cut from the platform.
const (
	// PolicyIssued issues keys that this incarnation decides by itself. It is the default.
	PolicyIssued Policy = iota
	// PolicyRefuse issues none; every claim needs the platform.
	PolicyRefuse
	// PolicyStated besides admits stated keys without the platform at what the caller says is its first attempt.
	// At most once then rests on the caller's word.
	PolicyStated
)
