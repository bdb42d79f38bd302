package bundle

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"strings"

	"pumiceshelf/api"
	"pumiceshelf/fieldcheck"
)

// Check returns the problems of a bundle on its own, without regard to the bundle it replaces.
func Check(b *api.Bundle) fieldcheck.Problems {
	_, problems := compileBundle(b)
	return problems
}

// CheckSuccessor returns the problems of a bundle that is to replace the previous one.
func CheckSuccessor(previous, next *api.Bundle) fieldcheck.Problems {
	old, problems := compileBundle(previous)
	if len(problems) > 0 {
		return problems
	}
	content, problems := bundleContent(next)
	if len(problems) > 0 {
		return problems
	}
	_, problems = compile(content, old)
	return problems
}

func compileBundle(b *api.Bundle) (*compiled, fieldcheck.Problems) {
	content, problems := bundleContent(b)
	if len(problems) > 0 {
		return nil, problems
	}
	return compile(content, nil)
}

func bundleContent(b *api.Bundle) (*content, fieldcheck.Problems) {
	m, parts := Split(b)
	c, err := load(context.Background(), m, nil, localFetcher{parts: indexByHash(parts)})
	if err != nil {
		return nil, fieldcheck.Problems{{Path: "bundle", Value: err.Error(), Requirement: "readable"}}
	}
	return c, nil
}

func (b *builder) checkManifest() {
	m := b.next.manifest
	b.check.Require(m.Number > b.previous.snapshot.Number, "number", m.Number,
		fmt.Sprintf("over %d, the number of the previous bundle", b.previous.snapshot.Number))
	checkOperators(&b.check, m.Operators, m.Threshold)
}

// CheckOperators returns the problems of a set of operators and their approval threshold.
func CheckOperators(operators []*api.OperatorKey, threshold uint32) fieldcheck.Problems {
	var check fieldcheck.Checker
	checkOperators(&check, operators, threshold)
	return check.Problems()
}

func checkOperators(check *fieldcheck.Checker, operators []*api.OperatorKey, threshold uint32) {
	check.Require(len(operators) > 0, "operators", len(operators), "a list of at least one operator")
	ids := make(map[string]bool)
	keys := make(map[string]bool)
	for i, o := range operators {
		path := itemPath("operators", o.Id, i)
		checkID(check, path+".id", o.Id)
		check.Require(!ids[o.Id], path+".id", o.Id, "an id that no other operator has")
		check.Require(len(o.PublicKey) == ed25519.PublicKeySize, path+".publicKey", bytesText(o.PublicKey),
			fmt.Sprintf("%d bytes, in base64", ed25519.PublicKeySize))
		check.Require(!keys[string(o.PublicKey)], path+".publicKey", o.PublicKey, "a key that no other operator has")
		ids[o.Id], keys[string(o.PublicKey)] = true, true
	}
	check.Require(threshold >= 1 && int(threshold) <= len(operators), "threshold", threshold,
		fmt.Sprintf("from 1 to the number of operators, %d", len(operators)))
}

func bytesText(b []byte) string { return fmt.Sprintf("%d bytes", len(b)) }

func itemPath(list, id string, index int) string {
	if id == "" {
		return fmt.Sprintf("%s[%d]", list, index)
	}
	return fmt.Sprintf("%s[%s]", list, id)
}

func customerPath(id string) string { return itemPath("customers", id, 0) }

// maxIDBytes bounds the length of an ID in bytes.
const maxIDBytes = 128

// checkID requires an ID of letters, digits and the few punctuation characters that are safe in URLs, file names and
// object store keys.
func checkID(check *fieldcheck.Checker, path, id string) { checkIDWithExtra(check, path, id, "") }

// checkModelID is checkID that also allows slashes, which occur in the model names of engines.
func checkModelID(check *fieldcheck.Checker, path, id string) { checkIDWithExtra(check, path, id, "/") }

func checkIDWithExtra(check *fieldcheck.Checker, path, id, extra string) {
	if !validID(id, extra) {
		check.Fail(path, id, fmt.Sprintf("1 to %d letters, digits or any of . _ - : @ + %s", maxIDBytes, extra))
	}
}

// validID reports whether an ID has a valid length and only the runes that isIDRune allows or that extra contains.
func validID(id, extra string) bool {
	if id == "" || len(id) > maxIDBytes || id == "." || id == ".." {
		return false
	}
	for _, r := range id {
		if !isIDRune(r) && !strings.ContainsRune(extra, r) {
			return false
		}
	}
	return true
}

func isIDRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	switch r {
	case '.', '_', '-', ':', '@', '+':
		return true
	}
	return false
}
