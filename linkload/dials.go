package linkload

import (
	"sync"
	"time"
)

const (
	// MaxDialTime bounds the time to connect to an endpoint or instance while the link is busy. A first packet that is lost is sent again
	// after a second, and its response may take half a second on a full link.
	MaxDialTime = 1500 * time.Millisecond
	// suspicionMemory is the time after which a timeout no longer counts together with the next one of the same address. Most
	// requests of a caller are over by then.
	suspicionMemory = 2 * MaxDialTime
)

// DialTime returns the time to connect for a request with the given remaining time, while the link is busy. It is half of that time,
// because the request and its response wait on the same link after the connection. It is at least usual, the timeout on a link
// that is not busy.
func DialTime(usual, remaining time.Duration) time.Duration {
	return max(usual, min(remaining/2, MaxDialTime))
}

// Dials decides whether a connection that timed out while the link was busy is the fault of the other side. The link delays and drops
// packets of all connections, so a timeout alone does not tell. It is the fault of an address if no connection to it was
// established for MaxDialTime, while one to another address was that began later, or another address responded to a request that was sent
// later: packets get through the link, but not to this address. An address that responds is not at fault, even if it accepts no new connections.
// The zero value is ready to use. It is safe for concurrent use.
type Dials struct {
	mu       sync.Mutex
	suspects map[string]suspect
	// contacts holds the last one with each address, for suspicionMemory at least.
	contacts map[string]contact
	// prunedAt is when old contacts were last deleted.
	prunedAt time.Time
}

// suspect is an address to which no connection was established since a first one timed out.
type suspect struct {
	// since is when the first connection that timed out began, last when the last one timed out.
	since, last time.Time
}

// contact is a connection that was established, or a request with a response.
type contact struct{ began, ended time.Time }

// Connected records that a connection was established that began at the given time.
func (d *Dials) Connected(address string, began, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.suspects, address)
	d.recordContact(address, began, now)
}

// Responded records that an address responded to a request sent at the given time. Where callers are served over established connections,
// no new one may begin for many seconds, and an address out of reach would never be found to be at fault. A response that took longer
// than a connection may shows nothing of other addresses. While no connection has timed out, nothing is recorded.
func (d *Dials) Responded(address string, sent, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.suspects) == 0 {
		return
	}
	delete(d.suspects, address)
	if now.Sub(sent) <= MaxDialTime {
		d.recordContact(address, sent, now)
	}
}

// recordContact records that packets to an address and back got through since the given time. The caller holds the mutex.
func (d *Dials) recordContact(address string, began, now time.Time) {
	if d.contacts == nil {
		d.contacts = make(map[string]contact)
	}
	if now.Sub(d.prunedAt) >= suspicionMemory {
		d.prunedAt = now
		for other, c := range d.contacts {
			if now.Sub(c.ended) > suspicionMemory {
				delete(d.contacts, other)
			}
		}
	}
	if last := d.contacts[address].began; last.After(began) {
		began = last
	}
	d.contacts[address] = contact{began, now}
}

// TimedOut records that a connection that began at the given time timed out. It reports whether that is the fault of the address.
func (d *Dials) TimedOut(address string, began, now time.Time) (fault bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.contacts[address].ended.After(began) {
		return false
	}
	for other, s := range d.suspects {
		if now.Sub(s.last) > suspicionMemory+MaxDialTime {
			delete(d.suspects, other)
		}
	}
	s, known := d.suspects[address]
	if !known || began.Sub(s.last) > suspicionMemory || began.Before(s.since) {
		s.since = began
	}
	s.last = now
	if d.suspects == nil {
		d.suspects = make(map[string]suspect)
	}
	d.suspects[address] = s
	return now.Sub(s.since) >= MaxDialTime && d.reachedOther(address, s.since)
}

// reachedOther reports whether there was a contact with another address that began after the given time.
func (d *Dials) reachedOther(address string, after time.Time) bool {
	for other, c := range d.contacts {
		if other != address && c.began.After(after) {
			return true
		}
	}
	return false
}
