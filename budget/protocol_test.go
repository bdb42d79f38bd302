package budget_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

const (
	protocolGrant       = 60
	protocolHolders     = 2
	protocolWitnesses   = 3
	protocolMaxInFlight = 6
)

// protocol simulates holders, witnesses and a reclaimer that share a ledger, with messages that are delayed, duplicated,
// reordered and lost. An instance that takes no step for some time is paused; one that takes no further step has crashed.
type protocol struct {
	t                *rapid.T
	ledger           *api.CustomerLedger
	version          budget.Version
	granted          budget.Tokens
	holders          []*protocolHolder
	witnesses        []*budget.Witness
	witnessNames     []string
	witnessStarts    int
	updatesInFlight  []*update
	messagesInFlight []func()
	reclaims         []*budget.Reclaim
	readLedgers      map[*budget.Reclaim]*api.CustomerLedger
	reclaimBounds    map[string]budget.Tokens
	leases           []*budget.Lease
}

type protocolHolder struct {
	name         string
	lease        *budget.Lease
	ledger       *api.CustomerLedger
	version      budget.Version
	pending      *update
	leaseCount   int
	nextRequest  int
	openRequests []string
}

// update is a conditional update of the ledger that has not reached the object store yet.
type update struct {
	base        budget.Version
	ledger      *api.CustomerLedger
	closedLease string
	bound       budget.Tokens
	respond     func(v budget.Version, ok bool)
}

func newProtocol(t *rapid.T) *protocol {
	p := &protocol{t: t, granted: protocolGrant, reclaimBounds: make(map[string]budget.Tokens),
		readLedgers: make(map[*budget.Reclaim]*api.CustomerLedger)}
	for i := range protocolHolders {
		h := &protocolHolder{name: fmt.Sprint("h", i)}
		p.openLease(h)
		p.holders = append(p.holders, h)
	}
	for range protocolWitnesses {
		p.witnesses = append(p.witnesses, nil)
		p.witnessNames = append(p.witnessNames, "")
		p.startWitness(len(p.witnessNames) - 1)
	}
	return p
}

func (p *protocol) openLease(h *protocolHolder) {
	h.leaseCount++
	h.lease = budget.NewLease(fmt.Sprint(h.name, "/", h.leaseCount))
	h.openRequests = nil
	p.leases = append(p.leases, h.lease)
}

func (p *protocol) startWitness(i int) {
	p.witnessStarts++
	p.witnessNames[i] = fmt.Sprint("w", p.witnessStarts)
	p.witnesses[i] = budget.NewWitness(p.witnessNames[i])
}

func (p *protocol) drawHolder() *protocolHolder {
	return p.holders[rapid.IntRange(0, len(p.holders)-1).Draw(p.t, "holder")]
}

// chance returns true once in n draws on average.
func (p *protocol) chance(n int, name string) bool {
	return rapid.IntRange(0, n-1).Draw(p.t, name) == n-1
}

func (p *protocol) reserve() {
	h := p.drawHolder()
	id := fmt.Sprint("r", h.nextRequest)
	h.nextRequest++
	if h.lease.Reserve(id, attempt, budget.Tokens(rapid.IntRange(1, 8).Draw(p.t, "bound")), "m", 0) {
		h.openRequests = append(h.openRequests, id)
	}
}

func (p *protocol) settle() {
	h := p.drawHolder()
	if len(h.openRequests) == 0 {
		return
	}
	id := h.openRequests[0]
	h.openRequests = h.openRequests[1:]
	if !p.chance(4, "not run") {
		h.lease.Settle(id, attempt, budget.Tokens(rapid.IntRange(0, 12).Draw(p.t, "usage")))
	} else {
		h.lease.Release(id, attempt)
	}
}

// writeNow sends an update whose write and response are not delayed. It does nothing if the drawn holder cannot send one.
func (p *protocol) writeNow() {
	before := len(p.updatesInFlight)
	p.sendUpdate()
	if len(p.updatesInFlight) == before {
		return
	}
	u := p.updatesInFlight[before]
	p.updatesInFlight = p.updatesInFlight[:before]
	ok := u.base == p.version
	if ok {
		p.commit(u)
	}
	u.respond(p.version, ok)
}

func (p *protocol) commit(u *update) {
	p.version++
	p.ledger = u.ledger
	if u.closedLease != "" {
		p.reclaimBounds[u.closedLease] = u.bound
	}
}

// readLedger lets a holder without a pending update read the ledger.
func (p *protocol) readLedger() {
	if h := p.drawHolder(); h.pending == nil {
		h.observe(p.version, p.ledger)
	}
}

// acknowledgeNow lets a holder request an acknowledgement from one witness, with an immediate response.
func (p *protocol) acknowledgeNow() {
	l := p.drawHolder().lease
	total := l.AcknowledgementTarget(budget.Tokens(rapid.IntRange(1, 15).Draw(p.t, "ahead")))
	if total == 0 {
		return
	}
	before := len(p.messagesInFlight)
	p.acknowledge(l, l.ActiveWitnesses()[0], total)
	if len(p.messagesInFlight) > before {
		p.messagesInFlight[before]()
		p.messagesInFlight = p.messagesInFlight[:before]
	}
}

// sendUpdate builds an update from the holder's snapshot of the ledger and puts it in flight.
func (p *protocol) sendUpdate() {
	h := p.drawHolder()
	if h.pending != nil || len(p.updatesInFlight) > protocolMaxInFlight {
		return
	}
	if h.lease.Closed() {
		p.openLease(h)
	}
	l := h.lease
	e := budget.Begin("c", h.ledger)
	e.Grant("b", p.granted)
	c := budget.Change{Keep: l.Acquired()}
	p.drawChange(e, l, h, &c)
	if l.UpdatePending() {
		e.Touch()
	}
	next, changed := e.Finish()
	if !changed {
		return
	}
	l.BeginUpdate(h.version, c)
	u := &update{base: h.version, ledger: next}
	u.respond = func(v budget.Version, ok bool) {
		if h.pending == u {
			h.pending = nil
			if !ok {
				l.UpdateNotWritten()
			}
		}
		if ok {
			h.observe(v, next)
		}
	}
	h.pending = u
	p.updatesInFlight = append(p.updatesInFlight, u)
}

func (p *protocol) drawChange(e *budget.Edit, l *budget.Lease, h *protocolHolder, c *budget.Change) {
	amount := budget.Tokens(rapid.IntRange(1, 25).Draw(p.t, "amount"))
	e.Settle("b", l.ID(), l.Settled(), 0)
	if p.chance(2, "take") || !l.Listed() {
		e.Acquire("b", budget.LeaseIdentity{LeaseID: l.ID(), Domain: "d", Holder: h.name}, amount, 1, 0)
	}
	if p.chance(3, "raise") {
		e.RaiseCeiling("b", l.ID(), l.Used()+amount/2)
	}
	if p.chance(6, "return") {
		c.Keep = min(c.Keep, l.Used()+amount/4)
		e.Return("b", l.ID(), c.Keep)
	}
	if p.chance(4, "change") || !l.Listed() {
		c.ChangeWitnesses, c.Witnesses = true, p.drawWitnesses()
		e.ChangeWitnesses("b", l.ID(), c.Witnesses, l.Watermark())
	}
	if p.chance(10, "close") && l.Listed() && l.OpenRequests() == 0 {
		c.Close = true
		e.Close("b", l.ID(), l.Settled())
	}
}

func (p *protocol) drawWitnesses() []string {
	i := rapid.IntRange(0, len(p.witnessNames)-1).Draw(p.t, "first")
	if p.chance(2, "two") {
		return []string{p.witnessNames[i], p.witnessNames[(i+1)%len(p.witnessNames)]}
	}
	return []string{p.witnessNames[i]}
}

func (h *protocolHolder) observe(v budget.Version, l *api.CustomerLedger) {
	if v > h.version {
		h.version, h.ledger = v, l
	}
	h.lease.Observe(v, budget.FindLease(budget.Budget(l, "b"), h.lease.ID()))
}

// applyUpdate lets the object store process one of the updates in flight. The response is delayed or lost.
func (p *protocol) applyUpdate() {
	if len(p.updatesInFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(p.updatesInFlight)-1).Draw(p.t, "write")
	u := p.updatesInFlight[i]
	p.updatesInFlight = append(p.updatesInFlight[:i:i], p.updatesInFlight[i+1:]...)
	ok := u.base == p.version
	if ok {
		p.commit(u)
	}
	v := p.version
	if !p.chance(5, "lose") {
		p.messagesInFlight = append(p.messagesInFlight, func() { u.respond(v, ok) })
	}
}

// abandonUpdate lets a holder stop waiting for a response and read the ledger. The update may still be written later.
func (p *protocol) abandonUpdate() {
	h := p.drawHolder()
	if h.pending != nil {
		if !p.chance(3, "give up") {
			return
		}
		h.pending = nil
		h.lease.UpdateOutcomeUnknown()
	}
	v, l := p.version, p.ledger
	p.messagesInFlight = append(p.messagesInFlight, func() { h.observe(v, l) })
}

// requestAcknowledgements lets a holder request acknowledgements from its witnesses. Each request is delivered at any time.
func (p *protocol) requestAcknowledgements() {
	l := p.drawHolder().lease
	total := l.AcknowledgementTarget(budget.Tokens(rapid.IntRange(1, 15).Draw(p.t, "ahead")))
	if total == 0 {
		return
	}
	for _, w := range l.ActiveWitnesses() {
		p.messagesInFlight = append(p.messagesInFlight, func() { p.acknowledge(l, w, total) })
	}
}

func (p *protocol) acknowledge(l *budget.Lease, w string, total budget.Tokens) {
	for i, name := range p.witnessNames {
		if name != w {
			continue
		}
		if got, ok := p.witnesses[i].Acknowledge(w, l.ID(), total); ok {
			p.messagesInFlight = append(p.messagesInFlight, func() { l.RecordAcknowledgement(w, got) })
		} else {
			p.messagesInFlight = append(p.messagesInFlight, func() { l.RecordSeal(w) })
		}
	}
}

// deliverMessage delivers one of the messages in flight and may leave a duplicate in flight.
func (p *protocol) deliverMessage() {
	if len(p.messagesInFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(p.messagesInFlight)-1).Draw(p.t, "message")
	m := p.messagesInFlight[i]
	if len(p.messagesInFlight) > protocolMaxInFlight || !p.chance(5, "copy") {
		p.messagesInFlight = append(p.messagesInFlight[:i:i], p.messagesInFlight[i+1:]...)
	}
	m()
}

func (p *protocol) restartWitness() {
	if !p.chance(4, "restart") {
		return
	}
	p.startWitness(rapid.IntRange(0, len(p.witnessNames)-1).Draw(p.t, "witness"))
}

func (p *protocol) startReclaim() {
	b := budget.Budget(p.ledger, "b")
	for _, l := range b.GetLeases() {
		if !l.Closed && p.chance(3, "reclaim") {
			r := budget.StartReclaim(p.version, l)
			p.reclaims = append(p.reclaims, r)
			p.readLedgers[r] = p.ledger
		}
	}
}

func (p *protocol) sealReclaimed() {
	if len(p.reclaims) == 0 {
		return
	}
	r := p.reclaims[rapid.IntRange(0, len(p.reclaims)-1).Draw(p.t, "reclaim")]
	for _, w := range r.Unsealed() {
		for i, name := range p.witnessNames {
			if total, ok := p.witnesses[i].Seal(w, r.Lease()); ok && name == w {
				r.RecordSeal(w, total)
			}
		}
	}
}

// closeReclaimed puts the closing update of the oldest reclaim attempt in flight if all witnesses have sealed the lease.
func (p *protocol) closeReclaimed() {
	if len(p.reclaims) == 0 {
		return
	}
	r := p.reclaims[0]
	p.reclaims = p.reclaims[1:]
	v, bound, ok := r.ClosingUpdate()
	if !ok {
		return
	}
	e := budget.Begin("c", p.readLedgers[r])
	e.Reclaim("b", r.Lease(), "r", bound)
	next, changed := e.Finish()
	if !changed {
		return
	}
	p.updatesInFlight = append(p.updatesInFlight, &update{base: v, ledger: next, closedLease: r.Lease(), bound: bound,
		respond: func(budget.Version, bool) {}})
}

func (p *protocol) topUp() {
	if p.granted < 2*protocolGrant {
		p.granted += 5
	}
}

// check verifies after every step that no reclaimed lease uses more than the bound it was closed with, and that all leases
// together use no more than was granted. Lease itself checks that it uses no more than it acquired.
func (p *protocol) check(t *rapid.T) {
	var used budget.Tokens
	for _, l := range p.leases {
		used += l.Used()
		if bound, closed := p.reclaimBounds[l.ID()]; closed && l.Used() > bound {
			t.Fatalf("lease %s uses %d tokens, more than the bound %d it was closed with", l.ID(), l.Used(), bound)
		}
	}
	if used > p.granted {
		t.Fatalf("%d tokens used, %d granted", used, p.granted)
	}
}

func TestProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newProtocol(t)
		step := func(f func()) func(*rapid.T) {
			return func(t *rapid.T) {
				p.t = t
				f()
			}
		}
		// An action that is listed several times is drawn more often.
		t.Repeat(map[string]func(*rapid.T){
			"reserve": step(p.reserve), "reserve again": step(p.reserve), "reserve more": step(p.reserve),
			"write": step(p.writeNow), "write again": step(p.writeNow), "reread": step(p.readLedger),
			"reread again": step(p.readLedger), "ask now": step(p.acknowledgeNow), "settle": step(p.settle),
			"send": step(p.sendUpdate), "send again": step(p.sendUpdate), "apply": step(p.applyUpdate),
			"apply again": step(p.applyUpdate), "give up": step(p.abandonUpdate),
			"ask": step(p.requestAcknowledgements), "deliver": step(p.deliverMessage),
			"deliver again": step(p.deliverMessage), "deliver more": step(p.deliverMessage),
			"restart witness": step(p.restartWitness), "start reclaim": step(p.startReclaim),
			"seal": step(p.sealReclaimed), "close reclaimed": step(p.closeReclaimed), "top up": step(p.topUp),
			"": p.check,
		})
	})
}
