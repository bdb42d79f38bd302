package ctl

import (
	"errors"
	"fmt"
	"os"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/internal/commentjson"
	"pumiceshelf/objectstore"
)

// signedFileMode is the file mode of signed manifests.
const signedFileMode = 0o644

func (a *app) bundleCommands() []command {
	return []command{
		{"check", "Check every field of a bundle", checkHelp, &checkCommand{app: a}},
		{"diff", "Show what a bundle would change", diffHelp, &diffCommand{app: a}},
		{"sign", "Approve a bundle", signHelp, &signCommand{app: a}},
		{"roll", "Roll an approved bundle", rollHelp, &rollCommand{app: a}},
		{"sweep", "Remove old bundles' parts from the platform", sweepHelp, &sweepCommand{app: a}},
		{"status", "Show which bundle is in force where", bundleStatusHelp, &bundleStatusCommand{app: a}},
	}
}

// bundleFileArg is the positional argument for the path of a bundle file.
type bundleFileArg struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

// loadedBundle is a bundle read from a file, with the manifest and parts that it is split into.
type loadedBundle struct {
	bundle   *api.Bundle
	manifest *api.Manifest
	parts    [][]byte
}

// loadBundle reads a bundle and checks its fields, without comparing it with the current bundle.
func loadBundle(file string) (loadedBundle, error) {
	b := &api.Bundle{}
	if err := commentjson.ReadFile(file, b); err != nil {
		return loadedBundle{}, err
	}
	if err := bundle.Check(b).Err(); err != nil {
		return loadedBundle{}, fmt.Errorf("%s:\n%w", file, err)
	}
	m, parts := bundle.Split(b)
	return loadedBundle{bundle: b, manifest: m, parts: parts}, nil
}

// diffAgainst checks that l may replace the current bundle and returns the changes. It reads only those parts of the
// current bundle that differ.
func (a *app) diffAgainst(l loadedBundle, store objectstore.Store, current bundle.Pointer) ([]bundle.Change, error) {
	from, to, err := bundle.LoadChangedPages(a.ctx, store, current.Manifest, l.manifest, l.parts)
	if err != nil {
		return nil, fmt.Errorf("ctl: read bundle %d: %w", current.Number(), err)
	}
	if current.Version != 0 {
		if err := bundle.CheckSuccessor(from, to).Err(); err != nil {
			return nil, fmt.Errorf("compared with bundle %d, which is in force:\n%w", current.Number(), err)
		}
	}
	return bundle.Diff(from, to), nil
}

// diffAgainstPlatform is diffAgainst with the bundle that the platform's pointer names.
func (a *app) diffAgainstPlatform(l loadedBundle) ([]bundle.Change, bundle.Pointer, error) {
	store, err := a.newStore()
	if err != nil {
		return nil, bundle.Pointer{}, err
	}
	current, err := bundle.ReadPointer(a.ctx, store)
	if err != nil {
		return nil, current, err
	}
	changes, err := a.diffAgainst(l, store, current)
	return changes, current, err
}

const checkHelp = `Check every field of a bundle: ids, keys, URLs, sums, references, thresholds. With a platform named, check also that it may replace the bundle in force: a higher number, no grant removed or changed. Every problem is shown, with the field's path, what it has and what it must be.

Examples:
  pumicectl bundle check bundle.hujson
  pumicectl bundle check bundle.hujson --platform http://192.0.2.1:8000`

type checkCommand struct {
	app  *app
	Args bundleFileArg `positional-args:"yes"`
}

// checkView is the JSON output for a check.
type checkView struct {
	Number    uint64 `json:"number"`
	Customers int    `json:"customers"`
	Endpoints int    `json:"endpoints"`
	Replaces  uint64 `json:"replaces,omitempty"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	l, err := loadBundle(c.Args.File)
	if err != nil {
		return err
	}
	view := checkView{Number: l.bundle.Number, Customers: len(l.bundle.Customers), Endpoints: len(l.bundle.Endpoints)}
	if c.app.Platform != "" {
		_, current, err := c.app.diffAgainstPlatform(l)
		if err != nil {
			return err
		}
		view.Replaces = current.Number()
	}
	if c.app.JSON {
		return c.app.printJSON(view)
	}
	_, err = fmt.Fprintf(c.app.stdout, "bundle %d: %d customers, %d endpoints, no problems\n", view.Number, view.Customers, view.Endpoints)
	return err
}

const diffHelp = `Show what a bundle would change in the one in force. Lines begin with + for added, - for removed, ~ for changed.

Examples:
  pumicectl bundle diff bundle.hujson --platform http://192.0.2.1:8000
  pumicectl bundle diff bundle.hujson --json`

type diffCommand struct {
	app  *app
	Args bundleFileArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	l, err := loadBundle(c.Args.File)
	if err != nil {
		return err
	}
	changes, _, err := c.app.diffAgainstPlatform(l)
	if err != nil {
		return err
	}
	return c.app.printChanges(changes)
}

func (a *app) printChanges(changes []bundle.Change) error {
	if a.JSON {
		if changes == nil {
			changes = []bundle.Change{}
		}
		return a.printJSON(changes)
	}
	for _, change := range changes {
		if _, err := fmt.Fprintln(a.stdout, change); err != nil {
			return err
		}
	}
	return nil
}

const signHelp = `Approve a bundle with an operator's key. The first operator's signature makes the signed file, for the bundle in force at that time; the others add theirs to it. Each signs only if the bundle's file is the one that the signed file is of, and has no problems. What changes is shown.

Examples:
  pumicectl bundle sign bundle.hujson --operator ana --key ana.key --signed bundle.signed
  pumicectl bundle sign bundle.hujson --operator badr --key badr.key --signed bundle.signed`

type signCommand struct {
	app      *app
	Operator string        `long:"operator" required:"yes" description:"id of the operator"`
	Key      string        `long:"key" required:"yes" value-name:"FILE" description:"the operator's private key"`
	Signed   string        `long:"signed" required:"yes" value-name:"FILE" description:"file with the signatures, made or added to"`
	Args     bundleFileArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *signCommand) Execute([]string) error {
	l, err := loadBundle(c.Args.File)
	if err != nil {
		return err
	}
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	changes, current, err := c.app.diffAgainstPlatform(l)
	if err != nil {
		return err
	}
	if err := c.app.checkRetired(l.bundle); err != nil {
		return err
	}
	signed, err := c.app.manifestToSign(l, c.Signed, current)
	if err != nil {
		return err
	}
	bundle.AddSignature(signed, c.Operator, key)
	if err := writeSignedManifest(c.Signed, signed); err != nil {
		return err
	}
	return c.app.printChanges(changes)
}

// manifestToSign returns the content of the signed file, or the bundle's manifest without signatures if the file does
// not exist.
func (a *app) manifestToSign(l loadedBundle, file string, current bundle.Pointer) (*api.SignedManifest, error) {
	signed, err := readSignedManifest(file)
	if err == nil {
		return signed, checkSignedBundle(l, signed, file)
	}
	if !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	store, err := a.newStore()
	if err != nil {
		return nil, err
	}
	approvers, err := bundle.ReadApprovers(a.ctx, store, current)
	if err != nil {
		return nil, err
	}
	bundle.SetPrevious(l.manifest, current, approvers)
	return bundle.Unsigned(l.manifest), nil
}

// errBundleMismatch is returned if a signed file belongs to a different bundle than the given bundle file.
var errBundleMismatch = errors.New("ctl: signed file does not match the bundle")

// checkSignedBundle requires that the signed manifest belongs to the loaded bundle.
func checkSignedBundle(l loadedBundle, signed *api.SignedManifest, file string) error {
	m, err := bundle.DecodeManifest(signed)
	if err != nil {
		return err
	}
	expected := proto.Clone(l.manifest).(*api.Manifest)
	expected.Previous, expected.PreviousHash, expected.ApproversHash = m.Previous, m.PreviousHash, m.ApproversHash
	if !proto.Equal(expected, m) {
		return fmt.Errorf("%w: %s holds the manifest of bundle %d with different content", errBundleMismatch, file, m.Number)
	}
	return nil
}

func readSignedManifest(file string) (*api.SignedManifest, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("ctl: read signed manifest: %w", err)
	}
	signed := &api.SignedManifest{}
	if err := protojson.Unmarshal(text, signed); err != nil {
		return nil, fmt.Errorf("ctl: %s is not a signed manifest: %w", file, err)
	}
	return signed, nil
}

func writeSignedManifest(file string, signed *api.SignedManifest) error {
	text, err := protojson.Marshal(signed)
	if err != nil {
		return fmt.Errorf("ctl: encode signed manifest: %w", err)
	}
	if err := os.WriteFile(file, append(text, '\n'), signedFileMode); err != nil {
		return fmt.Errorf("ctl: write signed manifest: %w", err)
	}
	return nil
}
