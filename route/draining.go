package route

import (
	"sort"
	"time"
)

// peerDrainingTTL is how long an endpoint counts as draining after a peer last reported it.
const peerDrainingTTL = 10 * time.Second

// drainingSources combines the sources that report draining endpoints. An endpoint is draining while any source reports
// it.
type drainingSources struct {
	// platform holds the endpoints on the platform's last list.
	platform map[string]bool
	// reported holds the endpoints whose own load reports say that they are draining.
	reported map[string]bool
	// peerExpiry maps the endpoints that peers reported to the time when the report expires.
	peerExpiry map[string]time.Time
}

func newDrainingSources() *drainingSources {
	return &drainingSources{platform: map[string]bool{}, reported: map[string]bool{}, peerExpiry: map[string]time.Time{}}
}

func (d *drainingSources) setPlatform(ids []string) {
	d.platform = make(map[string]bool, len(ids))
	for _, id := range ids {
		d.platform[id] = true
	}
}

func (d *drainingSources) setReported(id string, draining bool) {
	if draining {
		d.reported[id] = true
		return
	}
	delete(d.reported, id)
}

func (d *drainingSources) setByPeer(now time.Time, ids []string) {
	for _, id := range ids {
		d.peerExpiry[id] = now.Add(peerDrainingTTL)
	}
}

// contains reports whether an endpoint is draining.
func (d *drainingSources) contains(now time.Time, id string) bool {
	return d.platform[id] || d.reported[id] || now.Before(d.peerExpiry[id])
}

// local returns the IDs, in order, that the platform or the endpoints themselves report. Peers' reports are excluded:
// instances that repeat them to each other would keep renewing them.
func (d *drainingSources) local() []string {
	out := make([]string, 0, len(d.platform)+len(d.reported))
	for id := range d.platform {
		out = append(out, id)
	}
	for id := range d.reported {
		if !d.platform[id] {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// prune removes expired reports of peers, and reports of endpoints that are no longer known.
func (d *drainingSources) prune(now time.Time, known func(id string) bool) {
	for id, until := range d.peerExpiry {
		if !now.Before(until) {
			delete(d.peerExpiry, id)
		}
	}
	for id := range d.reported {
		if !known(id) {
			delete(d.reported, id)
		}
	}
}
