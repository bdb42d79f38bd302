package ctl

import (
	"fmt"

	"pumiceshelf/bundle"
	"pumiceshelf/objectstore"
)

const (
	// retainedBundles is how many recent bundles, including the current one, an automatic sweep keeps.
	retainedBundles = 1000
	// bundlesPerSweep is the number of bundles from one automatic sweep to the next.
	bundlesPerSweep = 500
)

const sweepHelp = `Remove parts and manifests that none of the last bundles names from the platform. What one sweep finds is removed by the next after another bundle was rolled. Every 500th roll sweeps by itself.

Example:
  pumicectl bundle sweep --keep 1000 --platform http://192.0.2.1:8000`

type sweepCommand struct {
	app  *app
	Keep int `long:"keep" default:"1000" description:"bundles to keep, the one in force included"`
}

// sweepView is the JSON output for a sweep.
type sweepView struct {
	Removed int `json:"removed"`
	Noted   int `json:"noted"`
}

// Execute implements flags.Commander.
func (c *sweepCommand) Execute([]string) error {
	if c.Keep < 1 {
		return fmt.Errorf("%w: --keep is %d, must be 1 or more", errUsage, c.Keep)
	}
	store, err := c.app.newStore()
	if err != nil {
		return err
	}
	swept, err := bundle.Sweep(c.app.ctx, store, c.Keep)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(sweepView{Removed: swept.Removed, Noted: swept.Marked})
	}
	c.app.printProgress("%d objects removed, %d noted for the next sweep", swept.Removed, swept.Marked)
	return nil
}

// sweepAtInterval sweeps if number is a multiple of bundlesPerSweep. A failed sweep is only printed because the roll has
// already succeeded.
func (a *app) sweepAtInterval(number uint64, store objectstore.Store) {
	if number%bundlesPerSweep != 0 {
		return
	}
	if _, err := bundle.Sweep(a.ctx, store, retainedBundles); err != nil {
		a.printProgress("old bundles not swept, tried again later: %v", err)
	}
}
