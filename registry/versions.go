package registry

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// versionWindow is how long a software version is remembered after its last endpoint is gone: longer than a stream may take.
const versionWindow = 30 * time.Second

// VersionHistory records which software versions the endpoints of each service had lately. It is safe for concurrent use.
type VersionHistory struct {
	mu sync.Mutex
	// since is the time of the first update.
	since time.Time
	// present holds the versions at the last update, lastSeen when others were last present.
	present  map[serviceVersion]bool
	lastSeen map[serviceVersion]time.Time
}

type serviceVersion struct{ service, version string }

// NewVersionHistory returns an empty history.
func NewVersionHistory() *VersionHistory {
	return &VersionHistory{present: make(map[serviceVersion]bool), lastSeen: make(map[serviceVersion]time.Time)}
}

// Update records the endpoints that are listed from now on.
func (h *VersionHistory) Update(now time.Time, s *Set) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() {
		h.since = now
	}
	for v := range h.present {
		h.lastSeen[v] = now
	}
	maps.DeleteFunc(h.lastSeen, func(_ serviceVersion, at time.Time) bool { return now.Sub(at) > versionWindow })
	clear(h.present)
	for _, e := range s.entries {
		h.present[serviceVersion{e.Service, e.SoftwareVersion}] = true
	}
}

// Versions returns the sorted software versions that the endpoints of a service had within the last 30 s. complete is false
// if the history is shorter than that.
func (h *VersionHistory) Versions(service string, now time.Time) (versions []string, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for v := range h.present {
		if v.service == service {
			versions = append(versions, v.version)
		}
	}
	for v, at := range h.lastSeen {
		if v.service == service && !h.present[v] && now.Sub(at) <= versionWindow {
			versions = append(versions, v.version)
		}
	}
	slices.Sort(versions)
	return versions, !h.since.IsZero() && now.Sub(h.since) >= versionWindow
}
