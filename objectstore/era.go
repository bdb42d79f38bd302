package objectstore

// eraShift is the number of bits for the store's own number in a Version or Revision. The bits above them hold the era.
const eraShift = 44

// MaxEra is the highest era that a Version or Revision can hold.
const MaxEra = 1<<(64-eraShift) - 1

// WithEra returns a Version or Revision for a number of the store. An era begins when the store comes back from a copy that lacks
// its latest changes. The store then gives out numbers again; with the era, all that it says is newer than what it said before.
func WithEra[T Version | Revision](era, number uint64) T { return T(era<<eraShift | number) }

// Era returns the era of a Version or Revision.
func Era[T Version | Revision](v T) uint64 { return uint64(v) >> eraShift }

// Number returns the store's own number of a Version or Revision.
func Number[T Version | Revision](v T) uint64 { return uint64(v) & (1<<eraShift - 1) }
