package route

import (
	"sort"
	"time"
)

// rumourLifetime is how long a peer's word that an endpoint leaves counts after it was last heard.
const rumourLifetime = 10 * time.Second

// leaving joins what the sources say about endpoints that leave. An endpoint leaves while any source says so.
type leaving struct {
	// platform is the last list of the platform.
	platform map[string]bool
	// reported is what endpoints say of themselves in load reports.
	reported map[string]bool
	// peers is when a peer's word ends.
	peers map[string]time.Time
}

func newLeaving() *leaving {
	return &leaving{platform: map[string]bool{}, reported: map[string]bool{}, peers: map[string]time.Time{}}
}

func (l *leaving) setPlatform(ids []string) {
	l.platform = make(map[string]bool, len(ids))
	for _, id := range ids {
		l.platform[id] = true
	}
}

func (l *leaving) setReported(id string, is bool) {
	if is {
		l.reported[id] = true
		return
	}
	delete(l.reported, id)
}

func (l *leaving) hear(now time.Time, ids []string) {
	for _, id := range ids {
		l.peers[id] = now.Add(rumourLifetime)
	}
}

// is says whether an endpoint leaves.
func (l *leaving) is(now time.Time, id string) bool {
	return l.platform[id] || l.reported[id] || now.Before(l.peers[id])
}

// own returns what this instance knows other than from peers, in order. Peers' words are not passed on, or they would
// keep each other alive.
func (l *leaving) own() []string {
	out := make([]string, 0, len(l.platform)+len(l.reported))
	for id := range l.platform {
		out = append(out, id)
	}
	for id := range l.reported {
		if !l.platform[id] {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// forget drops what has ended and endpoints that the bundle no longer has.
func (l *leaving) forget(now time.Time, known func(id string) bool) {
	for id, until := range l.peers {
		if !now.Before(until) {
			delete(l.peers, id)
		}
	}
	for id := range l.reported {
		if !known(id) {
			delete(l.reported, id)
		}
	}
}
