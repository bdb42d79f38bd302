package claim

import (
	"fmt"
	"maps"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pumiceshelf/api"
)

type request struct {
	key              KeyHash
	id, owner        string
	attempt          uint64
	awaitingResponse bool
	holdsKey         bool
	dispatched       bool
	// notRun is true if the owner will never dispatch the request.
	notRun bool
}

type writer struct {
	state   *ShardState
	version int
}

type response struct {
	proposal *api.ClaimProposal
	claim    *api.Claim
}

// machine simulates owners that claim, run, finish, crash and become unresponsive. Their proposals are delayed, duplicated,
// reordered and decided by writers with stale state, whose writes conflict and lose their responses. Any party may presume
// any owner dead.
type machine struct {
	version           int
	head              *api.ClaimHead
	segments          map[string]*api.ClaimSegment
	writers           []*writer
	requests          map[string]*request
	proposalsInFlight []*api.ClaimProposal
	responsesInFlight []response
	crashed           map[string]bool
	// ranRequest maps a key to the request that ran with it.
	ranRequest map[KeyHash]string
	// reportedUnknown maps a key to the request that a caller was finally told may have run.
	reportedUnknown map[KeyHash]string
	lastNumber      int
}

func newMachine() *machine {
	m := &machine{
		head:            &api.ClaimHead{},
		segments:        make(map[string]*api.ClaimSegment),
		requests:        make(map[string]*request),
		crashed:         make(map[string]bool),
		ranRequest:      make(map[KeyHash]string),
		reportedUnknown: make(map[KeyHash]string),
	}
	for range 2 {
		m.writers = append(m.writers, &writer{state: NewShardState()})
	}
	return m
}

func (m *machine) newID(kind string) string {
	m.lastNumber++
	return fmt.Sprintf("%s-%d", kind, m.lastNumber)
}

func pick[T any](t *rapid.T, list []T, label string) T {
	if len(list) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(list).Draw(t, label)
}

func (m *machine) pickRequest(t *rapid.T, matches func(*request) bool) *request {
	var ids []string
	for n := 1; n <= m.lastNumber; n++ {
		id := fmt.Sprintf("request-%d", n)
		if r := m.requests[id]; r != nil && !m.crashed[r.owner] && matches(r) {
			ids = append(ids, id)
		}
	}
	return m.requests[pick(t, ids, "request")]
}

func (m *machine) propose(kind api.ClaimProposalKind, r *request, state api.ClaimState) {
	m.proposalsInFlight = append(m.proposalsInFlight, &api.ClaimProposal{Kind: kind, Claim: &api.Claim{
		KeyHash: r.key[:], BodyHash: r.key[:], RequestId: r.id, Attempt: r.attempt, Owner: r.owner, State: state,
	}})
}

func (m *machine) begin(t *rapid.T) {
	r := &request{
		key:              HashKey("c", rapid.SampledFrom([]string{"k", "l", "m"}).Draw(t, "key")),
		id:               m.newID("request"),
		owner:            rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "owner"),
		awaitingResponse: true,
	}
	r.attempt = uint64(m.lastNumber)
	if m.crashed[r.owner] {
		t.Skip("crashed")
	}
	m.requests[r.id] = r
	m.propose(api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_CLAIM, r, api.ClaimState_CLAIM_STATE_CLAIMED)
}

// decide lets a writer decide some of the proposals in flight, which may be delivered again later.
func (m *machine) decide(t *rapid.T) {
	if len(m.proposalsInFlight) == 0 {
		t.Skip("none")
	}
	w := pick(t, m.writers, "writer")
	from := rapid.IntRange(0, len(m.proposalsInFlight)-1).Draw(t, "from")
	batch := m.proposalsInFlight[from:min(len(m.proposalsInFlight), from+rapid.IntRange(1, 3).Draw(t, "count"))]
	results, changes := w.state.Decide(batch, m.olderClaims(w, batch))
	if len(changes) == 0 && w.version != m.version {
		m.readHead(w)
		return
	}
	if len(changes) > 0 && !m.writeHead(t, w, w.state.Head(changes)) {
		return
	}
	w.state.ApplyChanges(changes)
	for i, p := range batch {
		m.responsesInFlight = append(m.responsesInFlight, response{proposal: p, claim: results[i]})
	}
	if rapid.Bool().Draw(t, "remove from flight") {
		m.proposalsInFlight = append(append([]*api.ClaimProposal(nil), m.proposalsInFlight[:from]...),
			m.proposalsInFlight[from+len(batch):]...)
	}
}

func (m *machine) olderClaims(w *writer, batch []*api.ClaimProposal) map[KeyHash]*api.Claim {
	found := make(map[KeyHash]*api.Claim)
	for _, p := range batch {
		k := hashOf(p.GetClaim())
		if c := FindInSegment(m.segments[w.state.SegmentOf(k)], k); c != nil {
			found[k] = c
		}
	}
	return found
}

// writeHead writes the head if the writer has the newest version. It returns false if the write conflicts or if its response
// is lost.
func (m *machine) writeHead(t *rapid.T, w *writer, head *api.ClaimHead) bool {
	if w.version != m.version {
		m.readHead(w)
		return false
	}
	m.head = proto.Clone(head).(*api.ClaimHead)
	m.version++
	if rapid.IntRange(0, 3).Draw(t, "response lost") == 0 {
		m.readHead(w)
		return false
	}
	w.version = m.version
	return true
}

func (m *machine) readHead(w *writer) {
	loaded := make(map[string]*api.ClaimSegment)
	for _, name := range w.state.MissingSegments(m.head) {
		loaded[name] = m.segments[name]
	}
	w.state.Load(proto.Clone(m.head).(*api.ClaimHead), loaded)
	w.version = m.version
}

func (m *machine) roll(t *rapid.T) {
	w := pick(t, m.writers, "writer")
	refs := w.state.Segments()
	var tail *api.ClaimSegment
	if len(refs) > 0 && rapid.Bool().Draw(t, "merge") {
		tail = m.segments[refs[len(refs)-1].GetObject()]
		refs = refs[:len(refs)-1]
	}
	name := m.newID("segment")
	m.segments[name] = w.state.Merge(tail)
	head := &api.ClaimHead{Segments: append(append([]*api.ClaimSegmentRef(nil), refs...), &api.ClaimSegmentRef{Object: name})}
	if m.writeHead(t, w, head) {
		w.state.Load(head, map[string]*api.ClaimSegment{name: m.segments[name]})
	}
}

// deliverResponse lets the instance that made a proposal process its response.
func (m *machine) deliverResponse(t *rapid.T) {
	if len(m.responsesInFlight) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.responsesInFlight)-1).Draw(t, "response")
	resp := m.responsesInFlight[i]
	m.responsesInFlight = append(append([]response(nil), m.responsesInFlight[:i]...), m.responsesInFlight[i+1:]...)
	if resp.proposal.GetKind() != api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_CLAIM || resp.claim == nil {
		return
	}
	r := m.requests[resp.proposal.GetClaim().GetRequestId()]
	if m.crashed[r.owner] || !r.awaitingResponse {
		return
	}
	r.awaitingResponse = false
	switch {
	case resp.claim.GetState() == api.ClaimState_CLAIM_STATE_CLAIMED && resp.claim.GetRequestId() == r.id:
		r.holdsKey = true
	case resp.claim.GetState() == api.ClaimState_CLAIM_STATE_UNKNOWN:
		m.reportedUnknown[r.key] = resp.claim.GetRequestId()
	case resp.claim.GetState() == api.ClaimState_CLAIM_STATE_ANSWERED && m.ranRequest[r.key] != resp.claim.GetRequestId():
		t.Fatalf("response of %s, but %s ran", resp.claim.GetRequestId(), m.ranRequest[r.key])
	}
}

func (m *machine) dispatch(t *rapid.T) {
	r := m.pickRequest(t, func(r *request) bool { return r.holdsKey && !r.dispatched && !r.notRun })
	if other := m.ranRequest[r.key]; other != "" {
		t.Fatalf("%s runs after %s with the same key", r.id, other)
	}
	if reported := m.reportedUnknown[r.key]; reported != "" && reported != r.id {
		t.Fatalf("%s runs after the final response that %s may have run", r.id, reported)
	}
	if r.notRun {
		t.Fatalf("%s runs after it was finished as not run", r.id)
	}
	r.dispatched = true
	m.ranRequest[r.key] = r.id
}

func (m *machine) finish(t *rapid.T) {
	r := m.pickRequest(t, func(r *request) bool { return r.dispatched })
	state := rapid.SampledFrom([]api.ClaimState{
		api.ClaimState_CLAIM_STATE_ANSWERED, api.ClaimState_CLAIM_STATE_UNKNOWN,
	}).Draw(t, "state")
	m.propose(api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_FINISH, r, state)
}

// finishNotRun finishes a request that was not dispatched, whether it holds its key or still awaits the response. Other
// instances may release its key on behalf of the owner.
func (m *machine) finishNotRun(t *rapid.T) {
	r := m.pickRequest(t, func(r *request) bool { return !r.dispatched })
	r.awaitingResponse, r.notRun = false, true
	m.propose(api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_FINISH, r, api.ClaimState_CLAIM_STATE_NOT_RUN)
}

// seal proposes to seal a claim, as an instance does that presumes its owner dead, correctly or not.
func (m *machine) seal(t *rapid.T) {
	if len(m.head.GetClaims()) == 0 {
		t.Skip("none")
	}
	c := m.head.GetClaims()[0]
	m.proposalsInFlight = append(m.proposalsInFlight,
		&api.ClaimProposal{Kind: api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_SEAL, Claim: c})
}

func (m *machine) crash(t *rapid.T) {
	if len(m.crashed) == 2 || rapid.IntRange(0, 9).Draw(t, "crash") != 0 {
		t.Skip("enough")
	}
	m.crashed[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "owner")] = true
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		// An action that is listed several times is drawn more often.
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "decide": m.decide, "decideMore": m.decide, "decideAgain": m.decide, "roll": m.roll,
			"respond": m.deliverResponse, "respondMore": m.deliverResponse, "dispatch": m.dispatch, "finish": m.finish,
			"finishNotRun": m.finishNotRun, "seal": m.seal, "crash": m.crash,
		})
	})
}

// TestShardStateMatchesMap compares a ShardState that is rolled and reloaded with a map as the reference model.
func TestShardStateMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		reference := make(map[KeyHash]*api.Claim)
		w := m.writers[0]
		m.writers = m.writers[:1]
		step := func(t *rapid.T) {
			r := &request{key: HashKey("c", rapid.StringMatching("[a-h]").Draw(t, "key")), id: m.newID("request"), owner: "a"}
			r.attempt = uint64(m.lastNumber)
			m.requests[r.id] = r
			kinds := []api.ClaimProposalKind{
				api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_CLAIM, api.ClaimProposalKind_CLAIM_PROPOSAL_KIND_RECORD,
			}
			m.propose(rapid.SampledFrom(kinds).Draw(t, "kind"), r, api.ClaimState_CLAIM_STATE_ANSWERED)
			p := m.proposalsInFlight[len(m.proposalsInFlight)-1]
			results, changes := w.state.Decide([]*api.ClaimProposal{p}, m.olderClaims(w, []*api.ClaimProposal{p}))
			w.state.ApplyChanges(changes)
			reference[r.key] = Apply(reference[r.key], p)
			if !proto.Equal(results[0], reference[r.key]) {
				t.Fatalf("shard state has %v, reference model %v", results[0], reference[r.key])
			}
		}
		reload := func(*rapid.T) {
			head := w.state.Head(nil)
			w.state = NewShardState()
			loaded := maps.Clone(m.segments)
			w.state.Load(head, loaded)
		}
		t.Repeat(map[string]func(*rapid.T){"step": step, "stepMore": step, "roll": m.roll, "reload": reload})
	})
}
