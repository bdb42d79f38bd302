package ctl

import (
	"fmt"
	"strings"
	"time"

	"pumiceshelf/admin"
	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/objectstore"
)

// progressInterval is the time between looks at the fleet while a bundle comes in force.
const progressInterval = 500 * time.Millisecond

const rollHelp = `Roll an approved bundle: write its parts to the platform, move the pointer, then show progress until it is in force on every instance of the platform's list, or name those who are behind. Rolling again after any error is safe.

Examples:
  pumicectl bundle roll bundle.hujson --signed bundle.signed --platform http://192.0.2.1:8000
  pumicectl bundle roll bundle.hujson --signed bundle.signed --wait 30s --json`

type rollCommand struct {
	app    *app
	Signed string        `long:"signed" required:"yes" value-name:"FILE" description:"file with the signatures"`
	Wait   time.Duration `long:"wait" default:"30s" description:"longest time to wait until it is in force everywhere; 0s to return at once"`
	Args   bundleFile    `positional-args:"yes"`
}

// Execute implements the command.
func (c *rollCommand) Execute([]string) error {
	l, err := load(c.Args.File)
	if err != nil {
		return err
	}
	signed, err := readSigned(c.Signed)
	if err != nil {
		return err
	}
	if err := sameBundle(l, signed, c.Signed); err != nil {
		return err
	}
	store, err := c.app.store()
	if err != nil {
		return err
	}
	if err := c.app.checkRoll(l, signed, store); err != nil {
		return err
	}
	if err := c.app.checkRetired(l.bundle); err != nil {
		return err
	}
	if err := bundle.Roll(c.app.ctx, store, signed, l.parts); err != nil {
		return err
	}
	c.app.progress("bundle %d rolled", l.bundle.Number)
	c.app.sweepSometimes(l.bundle.Number, store)
	if c.Wait <= 0 {
		return nil
	}
	return c.app.awaitInForce(l.bundle.Number, c.Wait)
}

// checkRoll checks a bundle against the one in force. Where that is not the one that it replaces, Roll tells more.
func (a *app) checkRoll(l loaded, signed *api.SignedManifest, store objectstore.Store) error {
	current, err := bundle.ReadPointer(a.ctx, store)
	if err != nil {
		return err
	}
	m, err := bundle.DecodeManifest(signed)
	if err != nil {
		return err
	}
	if current.Version == 0 || current.Number() != m.Previous {
		return nil
	}
	if _, err := bundle.Verify(signed, current.Manifest.Operators, current.Manifest.Threshold); err != nil {
		return err
	}
	_, err = a.compare(l, store, current)
	return err
}

// progress prints a line for people; JSON output has results only.
func (a *app) progress(format string, args ...any) {
	if !a.JSON {
		fmt.Fprintf(a.out, format+"\n", args...)
	}
}

// behindView is an instance that does not have the bundle in force.
type behindView struct {
	Instance string `json:"instance"`
	Bundle   uint64 `json:"bundle"`
	Why      string `json:"why,omitempty"`
}

// rollView is the progress of a roll in JSON output.
type rollView struct {
	Number    uint64       `json:"number"`
	InForce   int          `json:"inForce"`
	Instances int          `json:"instances"`
	Behind    []behindView `json:"behind"`
}

// awaitInForce looks at the fleet until the bundle is in force everywhere or the time is over.
func (a *app) awaitInForce(number uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	var view rollView
	shown := -1
	for {
		list, err := a.statuses(admin.PathStatus)
		if err != nil {
			return err
		}
		view = rollViewOf(number, list)
		if view.InForce != shown {
			shown = view.InForce
			a.progress("in force on %d of %d instances", view.InForce, view.Instances)
		}
		if len(view.Behind) == 0 || !time.Now().Before(deadline) {
			break
		}
		select {
		case <-time.After(progressInterval):
		case <-a.ctx.Done():
			return a.ctx.Err()
		}
	}
	return a.reportRoll(view)
}

func rollViewOf(number uint64, list []answered) rollView {
	view := rollView{Number: number, Behind: []behindView{}}
	for _, s := range list {
		if s.leaving {
			continue
		}
		view.Instances++
		switch {
		case s.err != nil:
			view.Behind = append(view.Behind, behindView{Instance: s.name, Why: s.err.Error()})
		case s.status.BundleNumber < number:
			view.Behind = append(view.Behind, behindView{Instance: s.name, Bundle: s.status.BundleNumber, Why: s.status.BundleError})
		default:
			view.InForce++
		}
	}
	return view
}

func (a *app) reportRoll(view rollView) error {
	if a.JSON {
		if err := a.printJSON(view); err != nil {
			return err
		}
	}
	if len(view.Behind) == 0 {
		return nil
	}
	lines := make([]string, len(view.Behind))
	for i, b := range view.Behind {
		lines[i] = fmt.Sprintf("  %s has bundle %d: %s", b.Instance, b.Bundle, orDash(b.Why))
	}
	return fmt.Errorf("bundle %d is %w; behind are:\n%s", view.Number, errBehind, strings.Join(lines, "\n"))
}

const bundleStatusHelp = `Show the bundle that the pointer names, who signed it, and which bundle is in force on each instance.

Example:
  pumicectl bundle status --platform http://192.0.2.1:8000`

type bundleStatusCommand struct{ app *app }

// bundleStatusView is the state of the bundle in JSON output.
type bundleStatusView struct {
	rollView
	Hash     string   `json:"hash"`
	SignedBy []string `json:"signedBy"`
}

// Execute implements the command.
func (c *bundleStatusCommand) Execute([]string) error {
	store, err := c.app.store()
	if err != nil {
		return err
	}
	current, err := bundle.ReadPointer(c.app.ctx, store)
	if err != nil {
		return err
	}
	list, err := c.app.statuses(admin.PathStatus)
	if err != nil {
		return err
	}
	view := bundleStatusView{rollView: rollViewOf(current.Number(), list), Hash: current.Hash().String()}
	for _, s := range current.Signed.GetSignatures() {
		view.SignedBy = append(view.SignedBy, s.OperatorId)
	}
	if c.app.JSON {
		return c.app.printJSON(view)
	}
	c.app.progress("bundle %d, signed by %s, in force on %d of %d instances",
		view.Number, orDash(strings.Join(view.SignedBy, ", ")), view.InForce, view.Instances)
	for _, b := range view.Behind {
		c.app.progress("%s has bundle %d: %s", b.Instance, b.Bundle, orDash(b.Why))
	}
	return nil
}
