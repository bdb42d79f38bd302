package registry

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// VersionWindow is how long a software version is remembered after its last endpoint is gone: longer than a stream may take. An
// attempt of a caller takes at most 15 s, so the last of three retries begins up to 45 s after the stream, and the pauses before them.
const VersionWindow = time.Minute

// UnknownVersion stands for the version of an endpoint that may have started again and is not listed with its version yet.
const UnknownVersion = "?"

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
	maps.DeleteFunc(h.lastSeen, func(_ serviceVersion, at time.Time) bool { return now.Sub(at) > VersionWindow })
	clear(h.present)
	for _, e := range s.entries {
		h.present[serviceVersion{e.Service, e.SoftwareVersion}] = true
	}
}

// Versions returns the sorted software versions that the endpoints of a service had within the VersionWindow. complete is false
// if the history is shorter than that, or the contact with the store that kept it: versions that came and went in a gap are
// missing.
func (h *VersionHistory) Versions(service string, contact *Contact, now time.Time) (versions []string, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for v := range h.present {
		if v.service == service {
			versions = append(versions, v.version)
		}
	}
	for v, at := range h.lastSeen {
		if v.service == service && !h.present[v] && now.Sub(at) <= VersionWindow {
			versions = append(versions, v.version)
		}
	}
	slices.Sort(versions)
	age, lasted := contact.State(now)
	return versions, !h.since.IsZero() && now.Sub(h.since) >= VersionWindow && age <= MaxContactGap && lasted+age >= VersionWindow
}
