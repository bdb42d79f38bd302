package bundle

import (
	"context"
	"math/rand/v2"

	"pumiceshelf/peer"
)

// comparer pulls newer bundles from peers by the numbers that their heartbeats tell.
type comparer struct {
	holder *Holder
	// refused holds the number of each peer's bundle that was pulled and kept out for good, by incarnation.
	refused map[string]uint64
}

// compare looks for live peers with a newer bundle and pulls it from one of them, of the own domain if there is one.
func (h *Holder) compare(ctx context.Context) {
	c := &comparer{holder: h, refused: make(map[string]uint64)}
	for h.wait(ctx, compareInterval) {
		if h.Current() != nil {
			c.once(ctx)
		}
	}
}

func (c *comparer) once(ctx context.Context) {
	members := c.holder.cfg.View.Members()
	c.forget(members)
	m, ok := c.newest(members)
	if !ok {
		return
	}
	err := c.holder.pull(ctx, m, false)
	if err != nil {
		c.holder.cfg.Log.Debugf("bundle: no bundle from %s: %v", m.Instance.Name, err)
	}
	if _, final := rejection(err); (final || err == nil) && c.holder.Number() < m.BundleNumber {
		c.refused[m.Instance.Incarnation] = m.BundleNumber
	}
}

// forget drops what is known of instances that are gone.
func (c *comparer) forget(members []peer.Member) {
	kept := make(map[string]uint64)
	for _, m := range members {
		if number, ok := c.refused[m.Instance.Incarnation]; ok {
			kept[m.Instance.Incarnation] = number
		}
	}
	c.refused = kept
}

// newest picks one of the live peers with a newer bundle.
func (c *comparer) newest(members []peer.Member) (peer.Member, bool) {
	var near, far []peer.Member
	for _, m := range members {
		switch {
		case !m.Live || m.BundleNumber <= max(c.holder.Number(), c.refused[m.Instance.Incarnation]):
		case c.holder.sameDomain(m.Instance):
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return peer.Member{}, false
	}
	return near[rand.IntN(len(near))], true
}
