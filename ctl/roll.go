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

// progressPollInterval is the interval between status requests while a bundle becomes active.
const progressPollInterval = 500 * time.Millisecond

const rollHelp = `Roll an approved bundle: write its parts to the platform, move the pointer, then show progress until it is in force on every instance of the platform's list, or name those who are behind. Rolling again after any error is safe.

Examples:
  pumicectl bundle roll bundle.hujson --signed bundle.signed --platform http://192.0.2.1:8000
  pumicectl bundle roll bundle.hujson --signed bundle.signed --wait 30s --json`

type rollCommand struct {
	app    *app
	Signed string        `long:"signed" required:"yes" value-name:"FILE" description:"file with the signatures"`
	Wait   time.Duration `long:"wait" default:"30s" description:"longest time to wait until it is in force everywhere; 0s to return at once"`
	Args   bundleFileArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *rollCommand) Execute([]string) error {
	l, err := loadBundle(c.Args.File)
	if err != nil {
		return err
	}
	signed, err := readSignedManifest(c.Signed)
	if err != nil {
		return err
	}
	if err := checkSignedBundle(l, signed, c.Signed); err != nil {
		return err
	}
	store, err := c.app.newStore()
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
	c.app.printProgress("bundle %d rolled", l.bundle.Number)
	c.app.sweepAtInterval(l.bundle.Number, store)
	if c.Wait <= 0 {
		return nil
	}
	return c.app.awaitActive(l.bundle.Number, c.Wait)
}

// checkRoll checks that a bundle may replace the current one. If the manifest was signed to replace a different bundle,
// checkRoll returns nil because bundle.Roll then returns a more detailed error.
func (a *app) checkRoll(l loadedBundle, signed *api.SignedManifest, store objectstore.Store) error {
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
	_, err = a.diffAgainst(l, store, current)
	return err
}

// printProgress prints a line unless JSON output is selected, which contains only results.
func (a *app) printProgress(format string, args ...any) {
	if !a.JSON {
		fmt.Fprintf(a.stdout, format+"\n", args...)
	}
}

// laggingInstance is an instance on which the bundle is not active.
type laggingInstance struct {
	Instance string `json:"instance"`
	Bundle   uint64 `json:"bundle"`
	Why      string `json:"why,omitempty"`
}

// rollView is the JSON output for the progress of a roll.
type rollView struct {
	Number uint64 `json:"number"`
	// Active counts the instances on which the bundle is active.
	Active    int               `json:"inForce"`
	Instances int               `json:"instances"`
	Lagging   []laggingInstance `json:"behind"`
}

// awaitActive polls the fleet until the bundle is active on every instance or wait has elapsed.
func (a *app) awaitActive(number uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	var view rollView
	printed := -1
	for {
		list, err := a.fetchStatuses(admin.PathStatus)
		if err != nil {
			return err
		}
		view = newRollView(number, list)
		if view.Active != printed {
			printed = view.Active
			a.printProgress("in force on %d of %d instances", view.Active, view.Instances)
		}
		if len(view.Lagging) == 0 || !time.Now().Before(deadline) {
			break
		}
		select {
		case <-time.After(progressPollInterval):
		case <-a.ctx.Done():
			return a.ctx.Err()
		}
	}
	return a.reportRoll(view)
}

func newRollView(number uint64, list []instanceResult) rollView {
	view := rollView{Number: number, Lagging: []laggingInstance{}}
	for _, s := range list {
		if s.draining {
			continue
		}
		view.Instances++
		switch {
		case s.err != nil:
			view.Lagging = append(view.Lagging, laggingInstance{Instance: s.name, Why: s.err.Error()})
		case s.status.BundleNumber < number:
			view.Lagging = append(view.Lagging, laggingInstance{Instance: s.name, Bundle: s.status.BundleNumber, Why: s.status.BundleError})
		default:
			view.Active++
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
	if len(view.Lagging) == 0 {
		return nil
	}
	lines := make([]string, len(view.Lagging))
	for i, b := range view.Lagging {
		lines[i] = fmt.Sprintf("  %s has bundle %d: %s", b.Instance, b.Bundle, orDash(b.Why))
	}
	return fmt.Errorf("bundle %d is %w; these instances are behind:\n%s", view.Number, errNotActive, strings.Join(lines, "\n"))
}

const bundleStatusHelp = `Show the bundle that the pointer names, who signed it, and which bundle is in force on each instance.

Example:
  pumicectl bundle status --platform http://192.0.2.1:8000`

type bundleStatusCommand struct{ app *app }

// bundleStatusView is the JSON output for the state of the current bundle.
type bundleStatusView struct {
	rollView
	Hash     string   `json:"hash"`
	SignedBy []string `json:"signedBy"`
}

// Execute implements flags.Commander.
func (c *bundleStatusCommand) Execute([]string) error {
	store, err := c.app.newStore()
	if err != nil {
		return err
	}
	current, err := bundle.ReadPointer(c.app.ctx, store)
	if err != nil {
		return err
	}
	list, err := c.app.fetchStatuses(admin.PathStatus)
	if err != nil {
		return err
	}
	view := bundleStatusView{rollView: newRollView(current.Number(), list), Hash: current.Hash().String()}
	for _, s := range current.Signed.GetSignatures() {
		view.SignedBy = append(view.SignedBy, s.OperatorId)
	}
	if c.app.JSON {
		return c.app.printJSON(view)
	}
	c.app.printProgress("bundle %d, signed by %s, in force on %d of %d instances",
		view.Number, orDash(strings.Join(view.SignedBy, ", ")), view.Active, view.Instances)
	for _, b := range view.Lagging {
		c.app.printProgress("%s has bundle %d: %s", b.Instance, b.Bundle, orDash(b.Why))
	}
	return nil
}
