package members

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"pumiceshelf/api"
	"pumiceshelf/objectstore"
	"pumiceshelf/quarantine"
)

const (
	// EvidenceKey is the key of the object that holds the evidence of all instances, for those that no other instance reaches
	// and for the time after the end of all.
	EvidenceKey = "pumiceshelf-quarantine/evidence"
	// storeInterval is the time between two calls to the store for evidence. Usually there are none after the first.
	storeInterval = time.Second
	// maxWritePause bounds the pause after writes that failed. It doubles with each, because all instances have the evidence.
	maxWritePause = 8 * time.Second
	// maxEvidenceWrites bounds the attempts of one update, of which others may write the object at the same time.
	maxEvidenceWrites = 3
	// evidenceStoreTimeout bounds a call to the store.
	evidenceStoreTimeout = time.Second
	// maxStoredAge bounds the age of the object by the clocks of the instances, which may differ.
	maxStoredAge = time.Hour
)

// evidenceStore keeps evidence in the object store. It belongs to one goroutine.
type evidenceStore struct {
	members *Members
	// version is the version of the object that was last read or written, read is set once there was a successful read.
	version objectstore.Version
	read    bool
	// writeAfter is when the next write may be tried after writes that failed, writePause the pause after the last one.
	writeAfter time.Time
	writePause time.Duration
}

// RunStoringEvidence reads the stored evidence at the start, while no other instance responds, and for a while after one did not
// respond to a push. It writes what the store lacks, until the context ends.
func (m *Members) RunStoringEvidence(ctx context.Context) error {
	s := &evidenceStore{members: m}
	for {
		if err := s.update(ctx); err != nil && ctx.Err() == nil {
			m.config.Log.WithError(err).Info("members: evidence not exchanged with the store")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-m.config.Clock.After(storeInterval):
		}
	}
}

// update makes the calls that are due.
func (s *evidenceStore) update(ctx context.Context) error {
	m := s.members
	ctx, cancel := context.WithTimeout(ctx, evidenceStoreTimeout)
	defer cancel()
	if !s.read || m.isolated() || m.contact.pushFailed(m.config.Clock.Now()) {
		if err := s.load(ctx); err != nil {
			return err
		}
	}
	if now := m.config.Clock.Now(); now.Before(s.writeAfter) || !m.config.Quarantine.StoreDue(now) {
		return nil
	}
	if err := s.write(ctx); err != nil {
		s.writePause = min(max(2*s.writePause, storeInterval), maxWritePause)
		s.writeAfter = m.config.Clock.Now().Add(s.writePause/2 + rand.N(s.writePause))
		return err
	}
	s.writePause = 0
	return nil
}

// isolated reports whether there are other instances and none was in contact for a while.
func (m *Members) isolated() bool {
	return len(m.roster.Load().others) > 0 && m.contact.lost(m.config.Clock.Now())
}

// load reads the object and merges it.
func (s *evidenceStore) load(ctx context.Context) error {
	object, err := s.members.config.Store.Get(ctx, EvidenceKey)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return fmt.Errorf("members: read stored evidence: %w", err)
	}
	s.read = true
	if err != nil {
		s.version = 0
		return nil
	}
	s.merge(object)
	return nil
}

// merge applies an object that was read. One that cannot be decoded is replaced by the next write.
func (s *evidenceStore) merge(object objectstore.Object) {
	m := s.members
	s.version = object.Version
	stored := &api.StoredEvidence{}
	if err := lenient.Unmarshal(object.Value, stored); err != nil {
		m.config.Log.WithError(err).Warn("members: cannot decode stored evidence")
		return
	}
	now := m.config.Clock.Now()
	elapsed := now.Sub(time.UnixMilli(stored.WrittenUnixMs))
	m.config.Quarantine.MergeStored(addAge(decodeEvidence(stored.Evidence), min(max(elapsed, 0), maxStoredAge)), now)
}

// addAge returns the state as it is some time later.
func addAge(s quarantine.State, elapsed time.Duration) quarantine.State {
	for i := range s.Crashes {
		s.Crashes[i].Age += elapsed
	}
	for i := range s.Quarantined {
		s.Quarantined[i].Remaining -= elapsed
		s.Quarantined[i].LastCrashAge += elapsed
		s.Quarantined[i].Untried -= elapsed
	}
	return s
}

// write updates the object. If another instance wrote it, it merges that first.
func (s *evidenceStore) write(ctx context.Context) error {
	m := s.members
	for range maxEvidenceWrites {
		now := m.config.Clock.Now()
		state := m.config.Quarantine.StoreState(now)
		value, err := protojson.Marshal(&api.StoredEvidence{Evidence: encodeEvidence(state), WrittenUnixMs: now.UnixMilli()})
		if err != nil {
			return fmt.Errorf("members: encode evidence: %w", err)
		}
		version, err := m.config.Store.Put(ctx, EvidenceKey, value, s.version)
		var conflict *objectstore.ConflictError
		switch {
		case errors.As(err, &conflict):
			s.mergeConflict(conflict.Current)
			if !m.config.Quarantine.StoreDue(m.config.Clock.Now()) {
				return nil
			}
		case err != nil:
			return fmt.Errorf("members: write evidence: %w", err)
		default:
			s.version = version
			m.config.Quarantine.Stored(state, m.config.Clock.Now())
			return nil
		}
	}
	return fmt.Errorf("members: write evidence: %w", objectstore.ErrConflict)
}

// mergeConflict merges the object that another instance wrote. It has no version if the store came back without it.
func (s *evidenceStore) mergeConflict(current objectstore.Object) {
	s.version = current.Version
	if current.Version != 0 {
		s.merge(current)
	}
}
