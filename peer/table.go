package peer

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

const (
	// maxMembers bounds the known instances.
	maxMembers = 4096
	// failedMemberTTL is how long a failed instance is kept and probed, so that it recovers after a network partition.
	failedMemberTTL = 15 * time.Minute
)

// member is the table's entry of another instance.
type member struct {
	instance *api.Instance
	// lastHeartbeat is when a heartbeat was last exchanged with it, zero if never.
	lastHeartbeat time.Time
	// unresponsiveSince is set while this instance or another one misses its heartbeats.
	unresponsiveSince time.Time
	// ownHeartbeatMissed reports whether one of this instance's own heartbeats failed since unresponsiveSince.
	ownHeartbeatMissed bool
	// failed is set once it was unresponsive for the failure timeout, or when it was superseded.
	failed bool
	// failedSince is when failed was set.
	failedSince time.Time
	// superseded reports whether another incarnation responded at its address, so that it is not probed again.
	superseded bool
	// listed reports whether the platform's last instance list contained it.
	listed bool
	// introduced reports whether it has the complete description of this instance.
	introduced        bool
	bundleNumber      uint64
	platformReachable bool
}

// table holds all known instances except this one. It does no I/O and reads no clock; the caller serializes access.
type table struct {
	self           *api.Instance
	failureTimeout time.Duration
	members        map[instance.Incarnation]*member
	// updates holds the updates to gossip.
	updates updateQueue
	// instanceListRead reports whether the platform's instance list was read.
	instanceListRead bool
	// changed reports whether the set of known, live or draining instances changed since the view was last published.
	changed bool
}

func newTable(self *api.Instance, failureTimeout time.Duration) *table {
	return &table{
		self:           self,
		failureTimeout: failureTimeout,
		members:        make(map[instance.Incarnation]*member),
	}
}

// add adds an instance or updates a known one, and returns its member. It returns nil for this instance itself, for an empty
// incarnation, and for an unknown instance that has no address or does not fit in the table.
func (t *table) add(inst *api.Instance) *member {
	id := instance.Incarnation(inst.GetIncarnation())
	if id == "" || string(id) == t.self.GetIncarnation() {
		return nil
	}
	m := t.members[id]
	if m != nil {
		t.applyDraining(m, inst)
		return m
	}
	if inst.GetPeerAddress() == "" || len(t.members) >= maxMembers {
		return nil
	}
	m = &member{instance: proto.Clone(inst).(*api.Instance)}
	t.members[id] = m
	t.changed = true
	t.updates.push(&api.MemberUpdate{Instance: m.instance}, len(t.members))
	t.suspectEarlierIncarnations(m)
	return m
}

// applyDraining marks a known instance as draining if the received state says so. An incarnation never stops draining.
func (t *table) applyDraining(m *member, inst *api.Instance) {
	if !inst.GetLeaving() || m.instance.GetLeaving() {
		return
	}
	m.instance = proto.Clone(m.instance).(*api.Instance)
	m.instance.Leaving = true
	t.changed = true
	t.updates.push(&api.MemberUpdate{Instance: m.instance}, len(t.members))
}

// suspectEarlierIncarnations marks earlier incarnations of a restarted instance as unresponsive, so that they are probed.
func (t *table) suspectEarlierIncarnations(added *member) {
	for _, m := range t.members {
		sameInstance := m.instance.GetName() == added.instance.GetName() ||
			m.instance.GetPeerAddress() == added.instance.GetPeerAddress()
		if m != added && sameInstance && m.unresponsiveSince.IsZero() {
			m.unresponsiveSince = m.lastHeartbeat
		}
	}
}

// recordHeartbeat records a heartbeat exchanged with an instance and reports whether a failed instance recovered.
func (t *table) recordHeartbeat(now time.Time, inst *api.Instance, r Report) (recovered bool) {
	m := t.add(inst)
	if m == nil {
		return false
	}
	recovered = m.failed
	t.changed = t.changed || recovered
	m.lastHeartbeat = now
	m.unresponsiveSince = time.Time{}
	m.ownHeartbeatMissed = false
	m.failed = false
	m.superseded = false
	m.bundleNumber = r.BundleNumber
	m.platformReachable = r.PlatformReachable
	return recovered
}

// recordMissedHeartbeat records that a heartbeat to an instance failed and reports whether it was not suspected before.
func (t *table) recordMissedHeartbeat(now time.Time, id instance.Incarnation) (newlySuspected bool) {
	m := t.members[id]
	if m == nil || m.failed {
		return false
	}
	m.ownHeartbeatMissed = true
	if !m.unresponsiveSince.IsZero() {
		return false
	}
	m.unresponsiveSince = now
	if !m.lastHeartbeat.IsZero() {
		m.unresponsiveSince = m.lastHeartbeat
	}
	t.updates.push(suspicion(m, now), len(t.members))
	return true
}

// applySuspicion records another instance's report that a member is unresponsive, so that this instance probes the member
// itself. It reports whether to gossip the suspicion, which is not the case if this instance has a later heartbeat. The
// member is probed even then, since that heartbeat may have been the last one before a crash.
func (t *table) applySuspicion(now time.Time, id instance.Incarnation, unresponsiveFor time.Duration) bool {
	m := t.members[id]
	if m == nil || m.failed || !m.unresponsiveSince.IsZero() {
		return false
	}
	m.ownHeartbeatMissed = false
	m.unresponsiveSince = now.Add(-unresponsiveFor)
	if m.lastHeartbeat.After(m.unresponsiveSince) {
		m.unresponsiveSince = m.lastHeartbeat
		return false
	}
	t.updates.push(suspicion(m, now), len(t.members))
	return true
}

func suspicion(m *member, now time.Time) *api.MemberUpdate {
	return &api.MemberUpdate{
		Suspected: m.instance.GetIncarnation(),
		SilentMs:  uint32(now.Sub(m.unresponsiveSince).Milliseconds()),
	}
}

// markSuperseded records that another incarnation responded at the address of this one, which has therefore ended.
// The member stays in the table for failedMemberTTL, so that an outdated instance list does not add it again.
func (t *table) markSuperseded(now time.Time, id instance.Incarnation) {
	m := t.members[id]
	if m == nil || m.superseded {
		return
	}
	m.superseded = true
	t.changed = true
	if !m.failed {
		m.failed = true
		m.failedSince = now
	}
}

// expire marks instances as failed that were unresponsive for the failure timeout and missed a heartbeat of this instance
// too, and returns them. It removes those that failed more than failedMemberTTL ago and are not in the instance list.
func (t *table) expire(now time.Time) []instance.Incarnation {
	var out []instance.Incarnation
	for id, m := range t.members {
		switch {
		case m.failed && !m.listed && now.Sub(m.failedSince) >= failedMemberTTL:
			delete(t.members, id)
			t.changed = true
		case !m.failed && m.ownHeartbeatMissed && now.Sub(m.unresponsiveSince) >= t.failureTimeout:
			m.failed = true
			m.failedSince = now
			t.changed = true
			out = append(out, id)
		}
	}
	return out
}

// applyInstanceList applies the platform's instance list. The list lags, so instances are added and never removed. Most other
// instances already have the contents of the first list, so its updates are sent less often.
func (t *table) applyInstanceList(l *api.InstanceList) {
	if !t.instanceListRead {
		defer t.updates.capTransmits()
	}
	t.instanceListRead = true
	for _, m := range t.members {
		m.listed = false
	}
	for _, inst := range l.GetInstances() {
		if m := t.add(inst); m != nil {
			m.listed = true
		}
	}
}

// applyUpdate applies one update from another instance and reports whether it is new and to be gossiped.
func (t *table) applyUpdate(now time.Time, u *api.MemberUpdate) (isNew bool) {
	if u.GetInstance() == nil {
		unresponsiveFor := time.Duration(u.GetSilentMs()) * time.Millisecond
		return t.applySuspicion(now, instance.Incarnation(u.GetSuspected()), unresponsiveFor)
	}
	before := t.updates.pushCount
	t.add(u.GetInstance())
	return t.updates.pushCount > before
}

// snapshot returns an immutable snapshot of the table for readers.
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
		Live:              !m.failed,
		BundleNumber:      m.bundleNumber,
		PlatformReachable: m.platformReachable,
	}
	if !m.lastHeartbeat.IsZero() {
		out.LastHeartbeatUnixMs = m.lastHeartbeat.UnixMilli()
	}
	return out
}
