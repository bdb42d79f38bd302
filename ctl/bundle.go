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

// signedMode is the mode of files with signed manifests.
const signedMode = 0o644

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

// bundleFile is the argument that names a bundle's file.
type bundleFile struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

// loaded is a bundle read from a file, split into parts.
type loaded struct {
	bundle   *api.Bundle
	manifest *api.Manifest
	parts    [][]byte
}

// load reads a bundle and checks it by itself.
func load(file string) (loaded, error) {
	b := &api.Bundle{}
	if err := commentjson.ReadFile(file, b); err != nil {
		return loaded{}, err
	}
	if err := bundle.Check(b).Err(); err != nil {
		return loaded{}, fmt.Errorf("%s:\n%w", file, err)
	}
	m, parts := bundle.Split(b)
	return loaded{bundle: b, manifest: m, parts: parts}, nil
}

// compare reads the bundle in force as far as it differs, checks that the loaded one may replace it, and returns what
// changes.
func (a *app) compare(l loaded, store objectstore.Store, current bundle.Pointer) ([]bundle.Change, error) {
	from, to, err := bundle.LoadChangedPages(a.ctx, store, current.Manifest, l.manifest, l.parts)
	if err != nil {
		return nil, fmt.Errorf("ctl: read bundle %d: %w", current.Number(), err)
	}
	if current.Version != 0 {
		if err := bundle.CheckSuccessor(from, to).Err(); err != nil {
			return nil, fmt.Errorf("against bundle %d in force:\n%w", current.Number(), err)
		}
	}
	return bundle.Diff(from, to), nil
}

// compareWithPlatform is compare with the bundle that the platform's pointer names.
func (a *app) compareWithPlatform(l loaded) ([]bundle.Change, bundle.Pointer, error) {
	store, err := a.store()
	if err != nil {
		return nil, bundle.Pointer{}, err
	}
	current, err := bundle.ReadPointer(a.ctx, store)
	if err != nil {
		return nil, current, err
	}
	changes, err := a.compare(l, store, current)
	return changes, current, err
}

const checkHelp = `Check every field of a bundle: ids, keys, URLs, sums, references, thresholds. With a platform named, check also that it may replace the bundle in force: a higher number, no grant removed or changed. Every problem is shown, with the field's path, what it has and what it must be.

Examples:
  pumicectl bundle check bundle.hujson
  pumicectl bundle check bundle.hujson --platform http://192.0.2.1:8000`

type checkCommand struct {
	app  *app
	Args bundleFile `positional-args:"yes"`
}

// checkView is the result of a check in JSON output.
type checkView struct {
	Number    uint64 `json:"number"`
	Customers int    `json:"customers"`
	Endpoints int    `json:"endpoints"`
	Replaces  uint64 `json:"replaces,omitempty"`
}

// Execute implements the command.
func (c *checkCommand) Execute([]string) error {
	l, err := load(c.Args.File)
	if err != nil {
		return err
	}
	view := checkView{Number: l.bundle.Number, Customers: len(l.bundle.Customers), Endpoints: len(l.bundle.Endpoints)}
	if c.app.Platform != "" {
		_, current, err := c.app.compareWithPlatform(l)
		if err != nil {
			return err
		}
		view.Replaces = current.Number()
	}
	if c.app.JSON {
		return c.app.printJSON(view)
	}
	_, err = fmt.Fprintf(c.app.out, "bundle %d: %d customers, %d endpoints, no problems\n", view.Number, view.Customers, view.Endpoints)
	return err
}

const diffHelp = `Show what a bundle would change in the one in force. Lines begin with + for added, - for removed, ~ for changed.

Examples:
  pumicectl bundle diff bundle.hujson --platform http://192.0.2.1:8000
  pumicectl bundle diff bundle.hujson --json`

type diffCommand struct {
	app  *app
	Args bundleFile `positional-args:"yes"`
}

// Execute implements the command.
func (c *diffCommand) Execute([]string) error {
	l, err := load(c.Args.File)
	if err != nil {
		return err
	}
	changes, _, err := c.app.compareWithPlatform(l)
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
		if _, err := fmt.Fprintln(a.out, change); err != nil {
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
	Operator string     `long:"operator" required:"yes" description:"id of the operator"`
	Key      string     `long:"key" required:"yes" value-name:"FILE" description:"the operator's private key"`
	Signed   string     `long:"signed" required:"yes" value-name:"FILE" description:"file with the signatures, made or added to"`
	Args     bundleFile `positional-args:"yes"`
}

// Execute implements the command.
func (c *signCommand) Execute([]string) error {
	l, err := load(c.Args.File)
	if err != nil {
		return err
	}
	key, err := readKey(c.Key)
	if err != nil {
		return err
	}
	changes, current, err := c.app.compareWithPlatform(l)
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
	if err := writeSigned(c.Signed, signed); err != nil {
		return err
	}
	return c.app.printChanges(changes)
}

// manifestToSign returns the signed file's content, or the bundle's manifest without signatures if there is none yet.
func (a *app) manifestToSign(l loaded, file string, current bundle.Pointer) (*api.SignedManifest, error) {
	signed, err := readSigned(file)
	if err == nil {
		return signed, sameBundle(l, signed, file)
	}
	if !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	store, err := a.store()
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

// errOtherBundle means that a signed file is of another bundle than the file named beside it.
var errOtherBundle = errors.New("ctl: signed file is of another bundle")

// sameBundle requires that the signed manifest is that of the bundle.
func sameBundle(l loaded, signed *api.SignedManifest, file string) error {
	m, err := bundle.DecodeManifest(signed)
	if err != nil {
		return err
	}
	own := proto.Clone(l.manifest).(*api.Manifest)
	own.Previous, own.PreviousHash, own.ApproversHash = m.Previous, m.PreviousHash, m.ApproversHash
	if !proto.Equal(own, m) {
		return fmt.Errorf("%w: %s names bundle %d with other content", errOtherBundle, file, m.Number)
	}
	return nil
}

func readSigned(file string) (*api.SignedManifest, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("ctl: %w", err)
	}
	signed := &api.SignedManifest{}
	if err := protojson.Unmarshal(text, signed); err != nil {
		return nil, fmt.Errorf("ctl: %s is no signed manifest: %w", file, err)
	}
	return signed, nil
}

func writeSigned(file string, signed *api.SignedManifest) error {
	text, err := protojson.Marshal(signed)
	if err != nil {
		return fmt.Errorf("ctl: %w", err)
	}
	if err := os.WriteFile(file, append(text, '\n'), signedMode); err != nil {
		return fmt.Errorf("ctl: %w", err)
	}
	return nil
}
