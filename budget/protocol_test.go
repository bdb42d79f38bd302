package budget_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"pumiceshelf/api"
	"pumiceshelf/budget"
)

const (
	protocolGrant     = 60
	protocolHolders   = 2
	protocolWitnesses = 3
	protocolInFlight  = 6
)

// protocol runs holders, witnesses and a reclaimer over a ledger with messages that are delayed, repeated, reordered and
// lost. An instance that does nothing for a while is paused; one that never does anything again has crashed.
type protocol struct {
	t        *rapid.T
	ledger   *api.CustomerLedger
	version  budget.Version
	granted  budget.Tokens
	holders  []*protocolHolder
	witness  []*budget.Witness
	names    []string
	starts   int
	writes   []*write
	messages []func()
	reclaims []*budget.Reclaim
	read     map[*budget.Reclaim]*api.CustomerLedger
	bounds   map[string]budget.Tokens
	leases   []*budget.Lease
}

type protocolHolder struct {
	name    string
	lease   *budget.Lease
	ledger  *api.CustomerLedger
	version budget.Version
	current *write
	opened  int
	next    int
	open    []string
}

// write is an update that the platform has not seen yet.
type write struct {
	base   budget.Version
	next   *api.CustomerLedger
	closes string
	bound  budget.Tokens
	answer func(v budget.Version, ok bool)
}

func newProtocol(t *rapid.T) *protocol {
	p := &protocol{t: t, granted: protocolGrant, bounds: make(map[string]budget.Tokens), read: make(map[*budget.Reclaim]*api.CustomerLedger)}
	for i := range protocolHolders {
		h := &protocolHolder{name: fmt.Sprint("h", i)}
		p.renew(h)
		p.holders = append(p.holders, h)
	}
	for range protocolWitnesses {
		p.witness = append(p.witness, nil)
		p.names = append(p.names, "")
		p.startWitness(len(p.names) - 1)
	}
	return p
}

func (p *protocol) renew(h *protocolHolder) {
	h.opened++
	h.lease = budget.NewLease(fmt.Sprint(h.name, "/", h.opened))
	h.open = nil
	p.leases = append(p.leases, h.lease)
}

func (p *protocol) startWitness(i int) {
	p.starts++
	p.names[i] = fmt.Sprint("w", p.starts)
	p.witness[i] = budget.NewWitness(p.names[i])
}

func (p *protocol) holder() *protocolHolder {
	return p.holders[rapid.IntRange(0, len(p.holders)-1).Draw(p.t, "holder")]
}

// chance is true once in n draws on average.
func (p *protocol) chance(n int, name string) bool {
	return rapid.IntRange(0, n-1).Draw(p.t, name) == n-1
}

func (p *protocol) reserve() {
	h := p.holder()
	id := fmt.Sprint("r", h.next)
	h.next++
	if h.lease.Reserve(id, by, budget.Tokens(rapid.IntRange(1, 8).Draw(p.t, "bound")), "m", 0) {
		h.open = append(h.open, id)
	}
}

func (p *protocol) settle() {
	h := p.holder()
	if len(h.open) == 0 {
		return
	}
	id := h.open[0]
	h.open = h.open[1:]
	if !p.chance(4, "not run") {
		h.lease.Settle(id, by, budget.Tokens(rapid.IntRange(0, 12).Draw(p.t, "usage")))
	} else {
		h.lease.Release(id, by)
	}
}

// write sends an update that is written and answered at once, if no other is in the way.
func (p *protocol) write() {
	before := len(p.writes)
	p.send()
	if len(p.writes) == before {
		return
	}
	w := p.writes[before]
	p.writes = p.writes[:before]
	ok := w.base == p.version
	if ok {
		p.commit(w)
	}
	w.answer(p.version, ok)
}

func (p *protocol) commit(w *write) {
	p.version++
	p.ledger = w.next
	if w.closes != "" {
		p.bounds[w.closes] = w.bound
	}
}

// reread has a holder that waits for no answer read the ledger.
func (p *protocol) reread() {
	if h := p.holder(); h.current == nil {
		h.see(p.version, p.ledger)
	}
}

// askNow has a holder ask one witness and take its answer at once.
func (p *protocol) askNow() {
	l := p.holder().lease
	total := l.Acknowledgeable(budget.Tokens(rapid.IntRange(1, 15).Draw(p.t, "ahead")))
	if total == 0 {
		return
	}
	before := len(p.messages)
	p.acknowledge(l, l.Asked()[0], total)
	if len(p.messages) > before {
		p.messages[before]()
		p.messages = p.messages[:before]
	}
}

// send plans an update from what the holder knows and puts it in flight.
func (p *protocol) send() {
	h := p.holder()
	if h.current != nil || len(p.writes) > protocolInFlight {
		return
	}
	if h.lease.Closed() {
		p.renew(h)
	}
	l := h.lease
	e := budget.Begin("c", h.ledger)
	e.Grant("b", p.granted)
	c := budget.Change{Keep: l.Taken()}
	p.planOne(e, l, h, &c)
	if l.Pending() {
		e.Touch()
	}
	next, changed := e.Finish()
	if !changed {
		return
	}
	l.Sending(h.version, c)
	w := &write{base: h.version, next: next}
	w.answer = func(v budget.Version, ok bool) {
		if h.current == w {
			h.current = nil
			if !ok {
				l.NotWritten()
			}
		}
		if ok {
			h.see(v, next)
		}
	}
	h.current = w
	p.writes = append(p.writes, w)
}

func (p *protocol) planOne(e *budget.Edit, l *budget.Lease, h *protocolHolder, c *budget.Change) {
	amount := budget.Tokens(rapid.IntRange(1, 25).Draw(p.t, "amount"))
	e.Settle("b", l.ID(), l.Settled(), 0)
	if p.chance(2, "take") || !l.Listed() {
		e.Take("b", budget.Owner{LeaseID: l.ID(), Domain: "d", Incarnation: h.name}, amount, 1, 0)
	}
	if p.chance(3, "raise") {
		e.RaiseCeiling("b", l.ID(), l.Used()+amount/2)
	}
	if p.chance(6, "return") {
		c.Keep = min(c.Keep, l.Used()+amount/4)
		e.Return("b", l.ID(), c.Keep)
	}
	if p.chance(4, "change") || !l.Listed() {
		c.ChangeWitnesses, c.Witnesses = true, p.someWitnesses()
		e.ChangeWitnesses("b", l.ID(), c.Witnesses, l.Watermark())
	}
	if p.chance(10, "close") && l.Listed() && l.OpenRequests() == 0 {
		c.Close = true
		e.Close("b", l.ID(), l.Settled())
	}
}

func (p *protocol) someWitnesses() []string {
	i := rapid.IntRange(0, len(p.names)-1).Draw(p.t, "first")
	if p.chance(2, "two") {
		return []string{p.names[i], p.names[(i+1)%len(p.names)]}
	}
	return []string{p.names[i]}
}

func (h *protocolHolder) see(v budget.Version, l *api.CustomerLedger) {
	if v > h.version {
		h.version, h.ledger = v, l
	}
	h.lease.Observe(v, budget.FindLease(budget.Budget(l, "b"), h.lease.ID()))
}

// apply has the platform take any update in flight. Its answer comes later, or never.
func (p *protocol) apply() {
	if len(p.writes) == 0 {
		return
	}
	i := rapid.IntRange(0, len(p.writes)-1).Draw(p.t, "write")
	w := p.writes[i]
	p.writes = append(p.writes[:i:i], p.writes[i+1:]...)
	ok := w.base == p.version
	if ok {
		p.commit(w)
	}
	v := p.version
	if !p.chance(5, "lose") {
		p.messages = append(p.messages, func() { w.answer(v, ok) })
	}
}

// giveUp has a holder stop waiting for an answer and read the ledger back. The update may be written yet.
func (p *protocol) giveUp() {
	h := p.holder()
	if h.current != nil {
		if !p.chance(3, "give up") {
			return
		}
		h.current = nil
		h.lease.AnswerLost()
	}
	v, l := p.version, p.ledger
	p.messages = append(p.messages, func() { h.see(v, l) })
}

// ask has a holder ask its witnesses. Each answer comes at any time.
func (p *protocol) ask() {
	l := p.holder().lease
	total := l.Acknowledgeable(budget.Tokens(rapid.IntRange(1, 15).Draw(p.t, "ahead")))
	if total == 0 {
		return
	}
	for _, w := range l.Asked() {
		p.messages = append(p.messages, func() { p.acknowledge(l, w, total) })
	}
}

func (p *protocol) acknowledge(l *budget.Lease, w string, total budget.Tokens) {
	for i, name := range p.names {
		if name != w {
			continue
		}
		if got, ok := p.witness[i].Acknowledge(w, l.ID(), total); ok {
			p.messages = append(p.messages, func() { l.Acknowledged(w, got) })
		} else {
			p.messages = append(p.messages, func() { l.SealedBy(w) })
		}
	}
}

// deliver hands over any message in flight, and may leave a copy in flight.
func (p *protocol) deliver() {
	if len(p.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(p.messages)-1).Draw(p.t, "message")
	m := p.messages[i]
	if len(p.messages) > protocolInFlight || !p.chance(5, "copy") {
		p.messages = append(p.messages[:i:i], p.messages[i+1:]...)
	}
	m()
}

func (p *protocol) restartWitness() {
	if !p.chance(4, "restart") {
		return
	}
	p.startWitness(rapid.IntRange(0, len(p.names)-1).Draw(p.t, "witness"))
}

func (p *protocol) startReclaim() {
	b := budget.Budget(p.ledger, "b")
	for _, l := range b.GetLeases() {
		if !l.Closed && p.chance(3, "reclaim") {
			r := budget.StartReclaim(p.version, l)
			p.reclaims = append(p.reclaims, r)
			p.read[r] = p.ledger
		}
	}
}

func (p *protocol) seal() {
	if len(p.reclaims) == 0 {
		return
	}
	r := p.reclaims[rapid.IntRange(0, len(p.reclaims)-1).Draw(p.t, "reclaim")]
	for _, w := range r.Unsealed() {
		for i, name := range p.names {
			if total, ok := p.witness[i].Seal(w, r.Lease()); ok && name == w {
				r.Sealed(w, total)
			}
		}
	}
}

// closeReclaimed puts the closing update of a sealed lease in flight.
func (p *protocol) closeReclaimed() {
	if len(p.reclaims) == 0 {
		return
	}
	r := p.reclaims[0]
	p.reclaims = p.reclaims[1:]
	v, bound, ok := r.Close()
	if !ok {
		return
	}
	e := budget.Begin("c", p.read[r])
	e.Reclaim("b", r.Lease(), "r", bound)
	next, changed := e.Finish()
	if !changed {
		return
	}
	p.writes = append(p.writes, &write{base: v, next: next, closes: r.Lease(), bound: bound, answer: func(budget.Version, bool) {}})
}

func (p *protocol) topUp() {
	if p.granted < 2*protocolGrant {
		p.granted += 5
	}
}

// check holds whatever happened: no lease uses more than the ledger or its bound allows, and all together no more than
// was granted.
func (p *protocol) check(t *rapid.T) {
	var used budget.Tokens
	for _, l := range p.leases {
		used += l.Used()
		if bound, closed := p.bounds[l.ID()]; closed && l.Used() > bound {
			t.Fatalf("lease %s uses %d over the bound %d it was closed with", l.ID(), l.Used(), bound)
		}
	}
	if used > p.granted {
		t.Fatalf("%d used of %d granted", used, p.granted)
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
		t.Repeat(map[string]func(*rapid.T){
			"reserve": step(p.reserve), "reserve again": step(p.reserve), "reserve more": step(p.reserve), "write": step(p.write),
			"write again": step(p.write), "reread": step(p.reread), "reread again": step(p.reread), "ask now": step(p.askNow), "settle": step(p.settle), "send": step(p.send),
			"send again": step(p.send), "apply": step(p.apply), "apply again": step(p.apply), "give up": step(p.giveUp),
			"ask": step(p.ask), "deliver": step(p.deliver), "deliver again": step(p.deliver), "deliver more": step(p.deliver),
			"restart witness": step(p.restartWitness), "start reclaim": step(p.startReclaim), "seal": step(p.seal),
			"close reclaimed": step(p.closeReclaimed), "top up": step(p.topUp), "": p.check,
		})
	})
}
