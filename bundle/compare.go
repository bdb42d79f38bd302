package bundle

import (
	"context"
	"math/rand/v2"

	"pumiceshelf/peer"
)

// comparer pulls newer bundles from peers, based on the bundle numbers in their heartbeats.
type comparer struct {
	holder *Holder
	// rejected maps a peer's incarnation to the number of its bundle that was pulled without becoming active and is not
	// pulled again.
	rejected map[string]uint64
}

// compare periodically checks for live peers with a newer bundle and pulls it from one of them, preferably from one in
// the instance's own domain.
func (h *Holder) compare(ctx context.Context) {
	c := &comparer{holder: h, rejected: make(map[string]uint64)}
	for h.sleep(ctx, compareInterval) {
		if h.Current() != nil {
			c.pullNewer(ctx)
		}
	}
}

func (c *comparer) pullNewer(ctx context.Context) {
	members := c.holder.cfg.View.Members()
	c.prune(members)
	m, ok := c.pickNewer(members)
	if !ok {
		return
	}
	err := c.holder.pull(ctx, m, false)
	if err != nil {
		c.holder.cfg.Log.Debugf("bundle: pull from %s failed: %v", m.Instance.Name, err)
	}
	if _, final := classifyError(err); (final || err == nil) && c.holder.Number() < m.BundleNumber {
		c.rejected[m.Instance.Incarnation] = m.BundleNumber
	}
}

// prune removes entries of instances that are no longer members.
func (c *comparer) prune(members []peer.Member) {
	current := make(map[string]uint64)
	for _, m := range members {
		if number, ok := c.rejected[m.Instance.Incarnation]; ok {
			current[m.Instance.Incarnation] = number
		}
	}
	c.rejected = current
}

// pickNewer picks a random live peer with a newer bundle, preferably from the instance's own domain.
func (c *comparer) pickNewer(members []peer.Member) (peer.Member, bool) {
	var preferred, others []peer.Member
	for _, m := range members {
		switch {
		case !m.Live || m.BundleNumber <= max(c.holder.Number(), c.rejected[m.Instance.Incarnation]):
		case c.holder.sameDomain(m.Instance):
			preferred = append(preferred, m)
		default:
			others = append(others, m)
		}
	}
	if len(preferred) == 0 {
		preferred = others
	}
	if len(preferred) == 0 {
		return peer.Member{}, false
	}
	return preferred[rand.IntN(len(preferred))], true
}
