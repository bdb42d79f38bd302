package quarantine

import (
	"maps"
	"slices"
	"time"

	"pumiceshelf/registry"
)

// maxLosses bounds the losses that are not checked yet: own ones until they are passed on, and those of other instances.
const maxLosses = 64

// loss holds the requests that one instance lost at an endpoint process of which it does not know yet whether it has ended. It counts
// against no part.
type loss struct {
	endpoint registry.Endpoint
	at       time.Time
	// parts maps the parts of the requests to whether they were the first of a prompt.
	parts map[string]bool
}

func (l *loss) add(part string, first bool) {
	if len(l.parts) < 2*maxPartsPerCrash {
		l.parts[part] = l.parts[part] || first
	}
}

// addLoss adds the loss of a request with the parts to a list, unless it is full.
func addLoss(list []*loss, e registry.Endpoint, parts, firstParts []string, at time.Time) []*loss {
	i := slices.IndexFunc(list, func(l *loss) bool { return l.endpoint.SameProcess(e) })
	if i < 0 {
		if len(list) >= maxLosses {
			return list
		}
		i, list = len(list), append(list, &loss{endpoint: e, at: at, parts: make(map[string]bool)})
	}
	for _, part := range parts {
		list[i].add(part, slices.Contains(firstParts, part))
	}
	return list
}

// withoutProcess returns the list without the losses at an endpoint process.
func withoutProcess(list []*loss, e registry.Endpoint) []*loss {
	return slices.DeleteFunc(list, func(l *loss) bool { return l.endpoint.SameProcess(e) })
}

// Lost records that this instance lost a request with the parts at an endpoint, before it checks whether the endpoint has ended.
// Other instances are told at once, in case this one ends before the check. The order of the parts is that of Crashed.
func (t *Tracker) Lost(e registry.Endpoint, parts []string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownLosses = addLoss(t.ownLosses, e, parts, firstPartOf(parts), at)
	signal(t.wakeLosses)
}

// firstPartOf returns the part that is the first of the prompt, if there is one.
func firstPartOf(parts []string) []string {
	if len(parts) == 0 || IsRequestPart(parts[0]) {
		return nil
	}
	return parts[:1]
}

// WakeLosses returns a channel that receives after this instance lost a request.
func (t *Tracker) WakeLosses() <-chan struct{} { return t.wakeLosses }

// Losses returns the own losses since the last call that are not checked yet.
func (t *Tracker) Losses(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out State
	for _, l := range t.ownLosses {
		stated := Crash{Endpoint: l.endpoint, Age: now.Sub(l.at), Unchecked: true, Parts: slices.Sorted(maps.Keys(l.parts))}
		for _, part := range stated.Parts {
			if l.parts[part] {
				stated.FirstParts = append(stated.FirstParts, part)
			}
		}
		out.Crashes = append(out.Crashes, stated)
	}
	t.ownLosses = nil
	return out
}

// mergeLoss records a loss that another instance has not checked yet.
func (t *Tracker) mergeLoss(stated Crash, now time.Time) {
	parts := stated.Parts[:min(len(stated.Parts), 2*maxPartsPerCrash)]
	t.otherLosses = addLoss(t.otherLosses, stated.Endpoint, parts, stated.FirstParts, now.Add(-max(stated.Age, 0)))
	if t.config.OnLoss != nil {
		t.config.OnLoss(stated.Endpoint)
	}
}

// LostByOthers reports whether other instances lost requests at an endpoint process that are not known to be in its crash. It forgets
// those that are.
func (t *Tracker) LostByOthers(e registry.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.otherLosses = slices.DeleteFunc(t.otherLosses, func(l *loss) bool {
		i := slices.IndexFunc(t.crashes, func(c *crash) bool { return c.endpoint.SameProcess(e) })
		if i < 0 || !l.endpoint.SameProcess(e) {
			return false
		}
		maps.DeleteFunc(l.parts, func(part string, _ bool) bool { return t.crashes[i].parts[part] != nil })
		return len(l.parts) == 0
	})
	return slices.ContainsFunc(t.otherLosses, func(l *loss) bool { return l.endpoint.SameProcess(e) })
}

// CrashedForOthers records that an endpoint has ended at which other instances lost requests. Their parts count as if this instance
// had lost the requests.
func (t *Tracker) CrashedForOthers(e registry.Endpoint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.otherLosses {
		if !l.endpoint.SameProcess(e) {
			continue
		}
		c := t.crashOf(e, l.at)
		for part, first := range l.parts {
			t.addSuspect(c, part, suspect{first: first, own: true, knownAt: now})
		}
		t.observed(c, now)
	}
	t.otherLosses = withoutProcess(t.otherLosses, e)
}

// NotEnded records that an endpoint has not ended: requests that other instances lost there are forgotten.
func (t *Tracker) NotEnded(e registry.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.otherLosses = withoutProcess(t.otherLosses, e)
}
