package prepaid

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"pumiceshelf/instance"
)

// TestWitnessedLeasesAreNeverOverspent is TestNeverOverspent without loans and top-ups, so that most histories have leases that are closed
// at marks while their holders are only paused.
func TestWitnessedLeasesAreNeverOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(false, false, false, rapid.IntRange(0, 3).Draw(t, "witnesses"))
		actions := m.actions()
		for _, name := range []string{"loan", "allocate", "abandon", "return", "return arrives", "allocate after abandon", "loan from the ledger", "change token holder", "top-up", "stop"} {
			delete(actions, name)
		}
		for _, name := range []string{"copy", "restore", "late write"} {
			if !rapid.Bool().Draw(t, name) {
				delete(actions, name)
			}
		}
		for _, name := range []string{"reserve", "resize", "resize", "raise marks", "seal"} {
			actions[name+" again"] = actions[name]
		}
		for _, name := range []string{"spend", "replace and close"} {
			actions[name], actions[name+" again"] = m.composed(name), m.composed(name)
		}
		t.Repeat(actions)
	})
}

// composed returns an action of several steps that rarely follow each other by chance: a holder uses what its witnesses acknowledge, or a
// successor closes the leases of a holder that is paused.
func (m *stateMachine) composed(name string) func(*rapid.T) {
	return func(t *rapid.T) {
		ctx, actions := context.Background(), m.actions()
		if name == "spend" {
			manager := m.managers[rapid.IntRange(0, len(m.managers)-1).Draw(t, "keeper")]
			clear(m.witnesses.fates)
			manager.raiseMarks(ctx)
			for _, tokens := range []int64{2_000, 700, 10} {
				if manager.account("alwusta").reserve(tokens) {
					manager.account("alwusta").settle(tokens, tokens)
					m.spent += tokens
				}
			}
			return
		}
		i := rapid.IntRange(0, managerCount-1).Draw(t, "keeper")
		if m.cut[m.managers[i]] {
			t.Skip("not connected")
		}
		if rapid.Bool().Draw(t, "pause") {
			actions["replace a paused one"](t)
		}
		clear(m.witnesses.fates)
		for range 2 {
			m.managers[i].resizeLeases(ctx)
			m.managers[i].sealPredecessors(ctx)
		}
		m.managers[i].resizeLeases(ctx)
	}
}

var errNoResponse = errors.New("no response")

// modelWitnesses carries the calls between holders, witnesses and successors, which may be lost, late or doubled.
type modelWitnesses struct {
	mu       sync.Mutex
	managers map[instance.Incarnation]*Manager
	// only are the instances without leases.
	only []*Manager
	// fates are what happens to the calls to a witness now. A call without one gets a response.
	fates map[instance.Incarnation]string
	// raises and seals are calls that arrive later, or once more, and responses are acknowledgements that do.
	raises, responses []modelRaise
	seals             []sealKey
}

// modelRaise is a call that raises marks, or the acknowledgement of one.
type modelRaise struct {
	holder, witness instance.Incarnation
	marks           map[string]int64
}

// add connects an instance with the others.
func (w *modelWitnesses) add(m *Manager) {
	self := m.config.Incarnation
	w.managers[self] = m
	m.config.Witnesses = func() []instance.Incarnation {
		w.mu.Lock()
		defer w.mu.Unlock()
		return slices.DeleteFunc(slices.Sorted(maps.Keys(w.managers)), func(i instance.Incarnation) bool { return i.Name() == self.Name() })
	}
	m.config.RaiseMarks = func(_ context.Context, witness instance.Incarnation, marks map[string]int64) (bool, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		call, target := modelRaise{self, witness, maps.Clone(marks)}, w.managers[witness]
		if target == nil {
			return false, errNoResponse
		}
		switch w.fates[witness] {
		case "lost":
			return false, errNoResponse
		case "late":
			w.raises = append(w.raises, call)
			return false, errNoResponse
		}
		if !target.WitnessMarks(self, witness, marks) {
			return false, nil
		}
		switch w.fates[witness] {
		case "response lost":
			return false, errNoResponse
		case "response late":
			w.responses = append(w.responses, call)
			return false, errNoResponse
		case "doubled":
			w.raises = append(w.raises, call)
		}
		return true, nil
	}
	m.config.SealMarks = func(_ context.Context, holder, witness instance.Incarnation) (map[string]int64, bool, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		target := w.managers[witness]
		if target == nil {
			return nil, false, errNoResponse
		}
		switch w.fates[witness] {
		case "lost":
			return nil, false, errNoResponse
		case "late":
			w.seals = append(w.seals, sealKey{holder, witness})
			return nil, false, errNoResponse
		}
		marks, known := target.SealMarks(holder, witness)
		if w.fates[witness] == "response lost" || w.fates[witness] == "response late" {
			return nil, false, errNoResponse
		}
		return marks, known, nil
	}
}

// remove ends the process of an instance.
func (w *modelWitnesses) remove(m *Manager) {
	if w != nil {
		delete(w.managers, m.config.Incarnation)
	}
}

// drawFates draws what happens to the next calls.
func (w *modelWitnesses) drawFates(t *rapid.T) {
	clear(w.fates)
	for _, i := range slices.Sorted(maps.Keys(w.managers)) {
		w.fates[i] = rapid.SampledFrom([]string{"", "", "", "", "lost", "late", "response lost", "response late", "doubled"}).Draw(t, "fate")
	}
}

// maxPaused bounds the instances that are paused while a successor runs.
const maxPaused = 2

// addWitnessActions adds the actions between holders, witnesses and successors.
func (m *stateMachine) addWitnessActions(actions map[string]func(*rapid.T), managerIndex *rapid.Generator[int]) {
	w := m.witnesses
	actions["raise marks"] = func(t *rapid.T) {
		manager := m.managers[managerIndex.Draw(t, "keeper")]
		w.drawFates(t)
		if rapid.Bool().Draw(t, "asks skipped ones") {
			manager.witnessing.skippedUntil = nil
		}
		manager.raiseMarks(context.Background())
	}
	actions["seal"] = func(t *rapid.T) {
		manager := m.managers[managerIndex.Draw(t, "keeper")]
		w.drawFates(t)
		manager.sealPredecessors(context.Background())
	}
	actions["restart a witness"] = func(t *rapid.T) {
		if len(w.only) == 0 {
			t.Skip("none without leases")
		}
		i := rapid.IntRange(0, len(w.only)-1).Draw(t, "witness")
		w.remove(w.only[i])
		w.only[i] = m.start(managerCount + i)
	}
	actions["late mark"] = func(t *rapid.T) {
		if len(w.raises) == 0 {
			t.Skip("no late marks")
		}
		call := w.raises[rapid.IntRange(0, len(w.raises)-1).Draw(t, "call")]
		if witness := w.managers[call.witness]; witness != nil {
			witness.WitnessMarks(call.holder, call.witness, call.marks)
		}
	}
	actions["late acknowledgement"] = func(t *rapid.T) {
		if len(w.responses) == 0 {
			t.Skip("no late acknowledgements")
		}
		call := w.responses[rapid.IntRange(0, len(w.responses)-1).Draw(t, "call")]
		if holder := w.managers[call.holder]; holder != nil {
			holder.recordRaised(call.witness, call.marks, holder.snapshotAccounts())
		}
	}
	actions["late seal"] = func(t *rapid.T) {
		if len(w.seals) == 0 {
			t.Skip("no late seals")
		}
		call := w.seals[rapid.IntRange(0, len(w.seals)-1).Draw(t, "call")]
		if witness := w.managers[call.witness]; witness != nil {
			witness.SealMarks(call.holder, call.witness)
		}
	}
	actions["replace a paused one"] = func(t *rapid.T) {
		i := rapid.IntRange(0, managerCount-1).Draw(t, "keeper")
		if len(m.managers) >= managerCount+maxPaused {
			t.Skip("enough are paused")
		}
		paused := m.managers[i]
		m.managers = append(m.managers, paused)
		m.openRequests, m.waiting = append(m.openRequests, m.openRequests[i]), append(m.waiting, m.waiting[i])
		m.openRequests[i], m.waiting[i] = nil, nil
		m.managers[i] = m.start(i)
	}
}
