package peer

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

const (
	// memberLimit bounds the instances known at once.
	memberLimit = 4096
	// forgetAfter is how long an instance that is gone is still tried, so that a healed link brings it back.
	forgetAfter = 15 * time.Minute
)

// member is what the table keeps of another instance.
type member struct {
	instance *api.Instance
	// lastHeard is when a heartbeat was last exchanged with it, zero if never.
	lastHeard time.Time
	// silentSince is set while heartbeats are missing, by this instance's or another's account.
	silentSince time.Time
	// missed says that one of this instance's own heartbeats failed since silentSince.
	missed bool
	// gone is set once it was silent for the failure timeout.
	gone bool
	// goneSince is when gone was set.
	goneSince time.Time
	// final says that another incarnation answered at its address, so that it never comes back.
	final bool
	// listed says that the platform's last list held it.
	listed bool
	// introduced says that it has answered this instance's full introduction.
	introduced        bool
	bundleNumber      uint64
	platformReachable bool
}

// table holds all known instances but the own one. It does no I/O and reads no clock; the caller serialises access.
type table struct {
	self           *api.Instance
	failureTimeout time.Duration
	members        map[instance.Incarnation]*member
	// news holds updates that wait to be spread.
	news newsQueue
	// hasList says that the platform's list was read.
	hasList bool
	// changed says that who is known, live or leaving changed since the last snapshot.
	changed bool
}

func newTable(self *api.Instance, failureTimeout time.Duration) *table {
	return &table{
		self:           self,
		failureTimeout: failureTimeout,
		members:        make(map[instance.Incarnation]*member),
	}
}

// add makes an instance known and returns its member, or nil if it is the own one or no more are taken.
func (t *table) add(inst *api.Instance) *member {
	id := instance.Incarnation(inst.GetIncarnation())
	if id == "" || string(id) == t.self.GetIncarnation() {
		return nil
	}
	m := t.members[id]
	if m != nil {
		t.refresh(m, inst)
		return m
	}
	if inst.GetPeerAddress() == "" || len(t.members) >= memberLimit {
		return nil
	}
	m = &member{instance: proto.Clone(inst).(*api.Instance)}
	t.members[id] = m
	t.changed = true
	t.news.push(&api.MemberUpdate{Instance: m.instance}, len(t.members))
	t.doubtNamesakes(m)
	return m
}

// refresh takes over that a known instance is leaving. An incarnation that is leaving never stops leaving.
func (t *table) refresh(m *member, inst *api.Instance) {
	if !inst.GetLeaving() || m.instance.GetLeaving() {
		return
	}
	m.instance = proto.Clone(m.instance).(*api.Instance)
	m.instance.Leaving = true
	t.changed = true
	t.news.push(&api.MemberUpdate{Instance: m.instance}, len(t.members))
}

// doubtNamesakes asks for a heartbeat to earlier incarnations of an instance that started again.
func (t *table) doubtNamesakes(fresh *member) {
	for _, m := range t.members {
		same := m.instance.GetName() == fresh.instance.GetName() ||
			m.instance.GetPeerAddress() == fresh.instance.GetPeerAddress()
		if m != fresh && same && m.silentSince.IsZero() {
			m.silentSince = m.lastHeard
		}
	}
}

// heard records a heartbeat exchanged with an instance. It returns true if a gone one came back.
func (t *table) heard(now time.Time, inst *api.Instance, r Report) (returned bool) {
	m := t.add(inst)
	if m == nil {
		return false
	}
	returned = m.gone
	t.changed = t.changed || returned
	m.lastHeard = now
	m.silentSince = time.Time{}
	m.missed = false
	m.gone = false
	m.final = false
	m.bundleNumber = r.BundleNumber
	m.platformReachable = r.PlatformReachable
	return returned
}

// missedHeartbeat records that a heartbeat to an instance failed. It returns true if the instance was not suspected before.
func (t *table) missedHeartbeat(now time.Time, id instance.Incarnation) (fresh bool) {
	m := t.members[id]
	if m == nil || m.gone {
		return false
	}
	m.missed = true
	if !m.silentSince.IsZero() {
		return false
	}
	m.silentSince = now
	if !m.lastHeard.IsZero() {
		m.silentSince = m.lastHeard
	}
	t.news.push(suspicion(m, now), len(t.members))
	return true
}

// suspect records another instance's word that heartbeats of one are missing, so that this instance looks for itself.
// It returns true if that is news to be passed on: what this instance heard later than the other is not, but may yet be the
// last before a crash.
func (t *table) suspect(now time.Time, id instance.Incarnation, silent time.Duration) bool {
	m := t.members[id]
	if m == nil || m.gone || !m.silentSince.IsZero() {
		return false
	}
	m.missed = false
	m.silentSince = now.Add(-silent)
	if m.lastHeard.After(m.silentSince) {
		m.silentSince = m.lastHeard
		return false
	}
	t.news.push(suspicion(m, now), len(t.members))
	return true
}

func suspicion(m *member, now time.Time) *api.MemberUpdate {
	return &api.MemberUpdate{
		Suspected: m.instance.GetIncarnation(),
		SilentMs:  uint32(now.Sub(m.silentSince).Milliseconds()),
	}
}

// superseded records that another incarnation answered at the address of one, which is therefore gone for good.
// It stays in the table for a while, so that a lagging list does not bring it back.
func (t *table) superseded(now time.Time, id instance.Incarnation) {
	m := t.members[id]
	if m == nil || m.final {
		return
	}
	m.final = true
	t.changed = true
	if !m.gone {
		m.gone = true
		m.goneSince = now
	}
}

// expire marks instances gone that were silent for the failure timeout, by the own account too, and returns them.
// It forgets those that have been gone for long.
func (t *table) expire(now time.Time) []instance.Incarnation {
	var out []instance.Incarnation
	for id, m := range t.members {
		switch {
		case m.gone && !m.listed && now.Sub(m.goneSince) >= forgetAfter:
			delete(t.members, id)
			t.changed = true
		case !m.gone && m.missed && now.Sub(m.silentSince) >= t.failureTimeout:
			m.gone = true
			m.goneSince = now
			t.changed = true
			out = append(out, id)
		}
	}
	return out
}

// list takes over the platform's list. It lags, so it adds instances and never removes one that answers. Most others
// have read what the first list holds.
func (t *table) list(l *api.InstanceList) {
	if !t.hasList {
		defer t.news.curb()
	}
	t.hasList = true
	for _, m := range t.members {
		m.listed = false
	}
	for _, inst := range l.GetInstances() {
		if m := t.add(inst); m != nil {
			m.listed = true
		}
	}
}

// update takes over one piece of news from another instance.
func (t *table) update(now time.Time, u *api.MemberUpdate) (fresh bool) {
	if u.GetInstance() == nil {
		silent := time.Duration(u.GetSilentMs()) * time.Millisecond
		return t.suspect(now, instance.Incarnation(u.GetSuspected()), silent)
	}
	before := t.news.pushed
	t.add(u.GetInstance())
	return t.news.pushed > before
}

// snapshot returns an immutable picture for readers.
func (t *table) snapshot() *snapshot {
	s := &snapshot{self: t.self, live: make(map[instance.Domain][]*api.Instance)}
	s.members = append(s.members, Member{Instance: t.self, Live: true})
	for _, m := range t.members {
		s.members = append(s.members, m.public())
	}
	sort.Slice(s.members, func(i, j int) bool {
		return s.members[i].Instance.GetIncarnation() < s.members[j].Instance.GetIncarnation()
	})
	for _, m := range s.members {
		if m.Live && !m.Instance.GetLeaving() {
			d := instance.Domain(m.Instance.GetDomain())
			s.live[d] = append(s.live[d], m.Instance)
		}
	}
	return s
}

func (m *member) public() Member {
	out := Member{
		Instance:          m.instance,
		Live:              !m.gone,
		BundleNumber:      m.bundleNumber,
		PlatformReachable: m.platformReachable,
	}
	if !m.lastHeard.IsZero() {
		out.LastHeartbeatUnixMs = m.lastHeard.UnixMilli()
	}
	return out
}
