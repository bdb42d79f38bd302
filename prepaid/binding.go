package prepaid

import (
	"slices"
	"strings"

	"pumiceshelf/instance"
)

// The ledger names the witnesses of a holder in a key of PrepaidLedger.unspent, with zero tokens: earlier releases refuse a ledger with
// a field that they do not know, but keep such a key and count nothing for it.

// witnessSeparator separates the holder and its witnesses in such a key.
const witnessSeparator = " "

// witnessKey returns the key that names the witnesses of a holder.
func witnessKey(holder instance.Incarnation, witnesses []instance.Incarnation) string {
	parts := []string{string(holder)}
	for _, w := range witnesses {
		parts = append(parts, string(w))
	}
	return strings.Join(parts, witnessSeparator)
}

// canBeNamed reports whether an incarnation can be part of such a key.
func canBeNamed(i instance.Incarnation) bool {
	return i != "" && !strings.Contains(string(i), witnessSeparator)
}

// witnesses returns the witnesses of a holder, which may be none.
func (l ledger) witnesses(holder instance.Incarnation) (out []instance.Incarnation) {
	for key := range l.message.Unspent {
		if named, rest, ok := strings.Cut(key, witnessSeparator); ok && named == string(holder) {
			for _, w := range strings.Split(rest, witnessSeparator) {
				out = append(out, instance.Incarnation(w))
			}
		}
	}
	return out
}

// setWitnesses replaces the witnesses of a holder.
func (l ledger) setWitnesses(holder instance.Incarnation, witnesses []instance.Incarnation) {
	l.removeWitnesses(func(named string) bool { return named == string(holder) })
	if len(witnesses) == 0 {
		return
	}
	if l.message.Unspent == nil {
		l.message.Unspent = make(map[string]int64)
	}
	l.message.Unspent[witnessKey(holder, witnesses)] = 0
}

// removeWitnesses removes the witnesses of the holders that match.
func (l ledger) removeWitnesses(matches func(holder string) bool) {
	for key := range l.message.Unspent {
		if holder, _, ok := strings.Cut(key, witnessSeparator); ok && matches(holder) {
			delete(l.message.Unspent, key)
		}
	}
}

// sameWitnesses reports whether two sets of witnesses are the same.
func sameWitnesses(a, b []instance.Incarnation) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(w instance.Incarnation) bool { return !slices.Contains(b, w) })
}
