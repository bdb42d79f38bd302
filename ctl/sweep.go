package ctl

import (
	"fmt"

	"pumiceshelf/bundle"
	"pumiceshelf/objectstore"
)

const (
	// keptBundles is how many bundles' parts a sweep keeps, the one in force included.
	keptBundles = 1000
	// sweepEvery is the number of bundles after which a roll also sweeps.
	sweepEvery = 500
)

const sweepHelp = `Remove parts and manifests that none of the last bundles names from the platform. What one sweep finds is removed by the next after another bundle was rolled. Every 500th roll sweeps by itself.

Example:
  pumicectl bundle sweep --keep 1000 --platform http://192.0.2.1:8000`

type sweepCommand struct {
	app  *app
	Keep int `long:"keep" default:"1000" description:"bundles to keep, the one in force included"`
}

// sweptView is the result of a sweep in JSON output.
type sweptView struct {
	Removed int `json:"removed"`
	Noted   int `json:"noted"`
}

// Execute implements the command.
func (c *sweepCommand) Execute([]string) error {
	if c.Keep < 1 {
		return fmt.Errorf("%w: --keep is %d, must be 1 or more", errUsage, c.Keep)
	}
	store, err := c.app.store()
	if err != nil {
		return err
	}
	swept, err := bundle.Sweep(c.app.ctx, store, c.Keep)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(sweptView{Removed: swept.Removed, Noted: swept.Marked})
	}
	c.app.progress("%d objects removed, %d noted for the next sweep", swept.Removed, swept.Marked)
	return nil
}

// sweepSometimes sweeps after every sweepEvery bundles. The roll has succeeded whatever comes of it.
func (a *app) sweepSometimes(number uint64, store objectstore.Store) {
	if number%sweepEvery != 0 {
		return
	}
	if _, err := bundle.Sweep(a.ctx, store, keptBundles); err != nil {
		a.progress("old bundles not swept, tried again later: %v", err)
	}
}
