package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// cycle is the period in which each kind of fault occurs at least once. Longer runs repeat it with other choices.
	cycle = 20 * time.Second
	// faultInterval is the mean time between two of the faults that occur at any time, as measured from the beginning of one to that
	// of the next. They last for longer and overlap.
	faultInterval = 1500 * time.Millisecond
	// quietEnd is the time before the end in which no fault begins.
	quietEnd = 3 * time.Second
	// burstFactor is the load in a burst relative to the usual one. It is above the capacity of all engines.
	burstFactor = 4.0
	// outageAfter is when the outage of the store begins in a cycle, outageLength how long it lasts, outageLead how long before it calls in
	// pairs begin. DRAIN, EVAC and FAILBACK are not checked in an outage and the 4 s after it: the evacuation and the first endpoints that
	// leave come long enough before it. It ends before the kill of all instances, which would leave few tokens in leases.
	outageAfter, outageLength, outageLead = 10 * time.Second, 3400 * time.Millisecond, 4 * time.Second
	// pairsPerInstance is the number of pairs of calls per second for each instance. An outage has some 150 of them at 6 instances.
	pairsPerInstance = 7.5
	// entryLifetime is how long the entry of an endpoint that ended remains, as on the platform.
	entryLifetime = 1500 * time.Millisecond
)

// schedule derives steps from a seed.
type schedule struct {
	*soak
	ctx    context.Context
	random *rand.Rand
}

// startSchedule starts the goroutines of all steps.
func (s *soak) startSchedule(ctx context.Context) {
	d := &schedule{soak: s, ctx: ctx, random: rand.New(rand.NewPCG(s.config.Seed, 2))}
	for begin := time.Duration(0); begin < s.config.Duration; begin += cycle {
		d.planCycle(begin)
	}
	d.at(s.config.Duration-quietEnd/2, func() {
		for _, in := range s.instances {
			in.resume()
			for _, l := range in.links {
				l.setState(linkOpen)
			}
		}
		s.note("all instances continue and all links are open")
	})
}

// between returns a random time in a range.
func (d *schedule) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.random.Float64()*float64(to-from))
}

// at runs a step at a time after the start of the load, unless the load ends before.
func (d *schedule) at(after time.Duration, step func()) {
	d.work.Go(func() {
		if sleep(d.ctx, after) {
			step()
		}
	})
}

// sleep waits and returns false if the context ends before.
func sleep(ctx context.Context, t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-ctx.Done():
		return false
	}
}

// planCycle plans the steps of one cycle.
func (d *schedule) planCycle(begin time.Duration) {
	const s = time.Second
	domain := domains[d.random.IntN(len(domains))]
	d.planEvacuation(begin+d.between(s, 1500*time.Millisecond), domain)
	for _, at := range []time.Duration{begin + d.between(s, 2*s), begin + outageAfter + outageLength + d.between(0, 500*time.Millisecond)} {
		for _, i := range d.random.Perm(len(d.seats))[:3] {
			d.planDrain(at, d.seats[i])
		}
	}
	// The streams of many callers end at once while the others are in contact with the store, so that most can be resumed.
	busiest, pause := d.instances[d.busiest], d.between(300*time.Millisecond, 1500*time.Millisecond)
	d.at(begin+d.between(7500*time.Millisecond, 8300*time.Millisecond), func() { d.restart(busiest, syscall.SIGKILL, pause) })
	d.planKill(begin+d.between(13500*time.Millisecond, 14500*time.Millisecond), begin == 0)
	if at := begin + outageAfter; at+outageLength < d.config.Duration-quietEnd/2 {
		d.planOutage(at)
	}
	for _, at := range []time.Duration{begin + d.between(4*s, 7*s), begin + d.between(15*s, 17*s)} {
		usual, length := d.callers.rate, d.between(s, 1500*time.Millisecond)
		d.at(at, func() {
			d.note("burst for %v", length)
			d.callers.setRate(&d.callers.rate, burstFactor*usual)
			sleep(d.ctx, length)
			d.callers.setRate(&d.callers.rate, usual)
		})
	}
	if begin > 0 {
		d.at(begin, func() {
			d.note("customers are granted further tokens")
			if err := d.writeConfiguration(); err != nil {
				d.fail(err)
			}
		})
	}
	for at := begin + s; ; {
		at += time.Duration(d.random.ExpFloat64() * float64(faultInterval))
		if at > min(begin+cycle, d.config.Duration-quietEnd) {
			return
		}
		d.planFault(at)
	}
}

// planFault plans one of the faults that occur at any time.
func (d *schedule) planFault(at time.Duration) {
	in := d.instances[d.random.IntN(len(d.instances))]
	length, pause := d.between(500*time.Millisecond, 3500*time.Millisecond), d.between(200*time.Millisecond, 1500*time.Millisecond)
	state := []linkState{linkHangs, linkCut}[d.random.IntN(2)]
	target := append([]string{storeTarget, storeTarget}, domains...)[d.random.IntN(2+len(domains))]
	// A fault of a link to the store that would end in the outage of the store ends with it.
	if begin := at - at%cycle + outageAfter; target == storeTarget && at < begin+outageLength && at+length > begin {
		length = max(length, begin+outageLength-at)
	}
	seat, version, late := d.seats[d.random.IntN(len(d.seats))], d.random.IntN(2), d.between(0, 2500*time.Millisecond)
	switch kind := d.random.IntN(13) - 1; {
	case kind < 2:
		d.at(at, func() { d.restart(in, syscall.SIGKILL, pause) })
	case kind < 4:
		d.at(at, func() { d.restart(in, syscall.SIGTERM, pause) })
	case kind < 6:
		d.at(at, func() {
			if in.suspend() {
				d.note("SIGSTOP %s", in.name)
				sleep(d.ctx, length)
				d.note("SIGCONT %s: %v", in.name, in.resume())
			}
		})
	case kind < 8:
		d.at(at, func() { d.disturb(state, length, in.links[target]) })
	case kind < 9:
		// The instance reaches no endpoints at all.
		d.at(at, func() { d.disturb(state, length, in.links[domains[0]], in.links[domains[1]], in.links[domains[2]]) })
	case kind < 10:
		d.at(at, func() {
			d.note("reset connections from %s to %s", in.name, target)
			in.links[target].reset()
		})
	default:
		d.at(at, func() { d.crash(seat, version == 0, pause, late) })
	}
}

// restart ends the process of an instance and starts it again after a pause.
func (d *schedule) restart(in *instance, signal syscall.Signal, pause time.Duration) {
	d.note("%v %s", signal, in.name)
	if !in.end(signal) {
		return
	}
	d.note("%s has ended", in.name)
	if !sleep(d.ctx, pause) {
		return
	}
	if err := in.start(false); err != nil {
		d.fail(err)
		return
	}
	d.note("%s has started", in.name)
}

// disturb cuts links, or lets them hang, for a time.
func (d *schedule) disturb(state linkState, length time.Duration, links ...*link) {
	for _, l := range links {
		d.note("link from %s to %s: %v for %v", l.instance, l.target, map[linkState]string{linkHangs: "hangs", linkCut: "cut"}[state], length)
		l.setState(state)
	}
	sleep(d.ctx, length)
	for _, l := range links {
		l.setState(linkOpen)
		d.note("link from %s to %s: open", l.instance, l.target)
	}
}

// planOutage cuts all instances off from the store for a time. Calls in pairs begin before.
func (d *schedule) planOutage(at time.Duration) {
	d.at(at-outageLead, func() { d.callers.setRate(&d.callers.pairs, pairsPerInstance*float64(len(d.instances))) })
	state, links := []linkState{linkHangs, linkCut}[d.random.IntN(2)], []*link{}
	for _, in := range d.instances {
		links = append(links, in.links[storeTarget])
	}
	d.at(at, func() {
		began := time.Now()
		d.disturb(state, outageLength, links...)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.outages = append(d.outages, interval{began, time.Now()})
	})
}

// planKill kills all instances at once, in a third of the cycles after the first one all but one of them. Around that time, some engines
// start again with the other version.
func (d *schedule) planKill(at time.Duration, first bool) {
	pause, spared := d.between(300*time.Millisecond, 1500*time.Millisecond), d.random.IntN(3*len(d.instances))
	for _, i := range d.random.Perm(len(d.seats))[:3] {
		seat, gone, late := d.seats[i], d.between(200*time.Millisecond, time.Second), d.between(0, 2500*time.Millisecond)
		d.at(at+d.between(-time.Second, time.Second), func() { d.crash(seat, true, gone, late) })
	}
	for i, in := range d.instances {
		if first || i != spared {
			d.at(at, func() { d.restart(in, syscall.SIGKILL, pause) })
		}
	}
}

// planEvacuation evacuates a domain, lets its endpoints start again meanwhile, and ends the evacuation while they are cold.
func (d *schedule) planEvacuation(at time.Duration, domain string) {
	restart, end := d.between(3500*time.Millisecond, 4500*time.Millisecond), d.between(7*time.Second, 8*time.Second)
	d.at(at, func() {
		acknowledged, err := d.store.Set("evacuations/"+domain, struct{}{})
		if err != nil {
			d.fail(err)
		}
		d.note("evacuation of %s", domain)
		e := &evacuation{domain: domain, begun: acknowledged}
		d.mu.Lock()
		d.evacuations = append(d.evacuations, e)
		d.mu.Unlock()
		if sleep(d.ctx, restart) {
			for _, seat := range d.seats {
				if seat.domain == domain {
					d.occupy(seat, func(old *endpoint) {
						old.end()
						d.replace(seat, old.id, old.version, coldTime)
					})
				}
			}
			sleep(d.ctx, end-restart)
		}
		e.ended = time.Now()
		d.store.Remove("evacuations/" + domain)
		d.note("end of the evacuation of %s", domain)
	})
}

// occupy lets a step replace the process of a seat, unless another step does already.
func (d *schedule) occupy(seat *seat, step func(current *endpoint)) {
	d.mu.Lock()
	busy, current := seat.busy, seat.current
	seat.busy = true
	d.mu.Unlock()
	if busy {
		return
	}
	step(current)
	d.mu.Lock()
	defer d.mu.Unlock()
	seat.busy = false
}

// replace starts and registers the next process of a seat.
func (d *schedule) replace(seat *seat, id, version string, cold time.Duration) {
	e, err := d.startEndpoint(seat, id, version, cold)
	if err == nil {
		err = d.register(e)
	}
	if err != nil {
		d.fail(err)
		return
	}
	d.note("%s starts in %s, version %s, cold for %v", id, e.domain, version, e.cold)
}

// other holds the other version of each.
var other = map[string]string{"v1": "v2", "v2": "v1"}

// planDrain lets the endpoint of a seat leave. Afterwards another process starts there, with the other version and cold, under the
// same ID or a new one.
func (d *schedule) planDrain(at time.Duration, seat *seat) {
	length, pause := d.between(4500*time.Millisecond, 6*time.Second), d.between(300*time.Millisecond, 1500*time.Millisecond)
	announces, renamed := d.random.IntN(3) == 0, d.random.IntN(2) == 0
	d.at(at, func() {
		d.occupy(seat, func(e *endpoint) {
			acknowledged, err := d.store.Set("servers/"+e.id, e.entry("draining"))
			if err != nil {
				d.fail(err)
			}
			e.mu.Lock()
			e.leftAt, e.announcesLeaving = acknowledged, announces
			e.mu.Unlock()
			d.note("%s leaves, says so in responses: %v", e.id, announces)
			if !sleep(d.ctx, length) {
				return
			}
			d.store.Remove("servers/" + e.id)
			e.end()
			d.note("%s has left", e.id)
			id := e.id
			if renamed {
				id = fmt.Sprintf("%s-%d", seat.name, seat.starts)
			}
			if sleep(d.ctx, pause) {
				d.replace(seat, id, other[e.version], coldTime)
			}
		})
	})
}

// crash ends the endpoint of a seat. It starts again, possibly with the other version, and registers late. Its entry remains for a while.
func (d *schedule) crash(seat *seat, changes bool, pause, late time.Duration) {
	d.occupy(seat, func(old *endpoint) {
		old.end()
		d.note("%s crashes", old.id)
		version := old.version
		if changes {
			version = other[version]
		}
		// No pause ends early: an endpoint that does not come back would be missing for the last calls.
		time.Sleep(pause)
		e, err := d.startEndpoint(seat, old.id, version, 0)
		if err != nil {
			d.fail(err)
			return
		}
		d.note("%s has started again, version %s, and registers after %v", e.id, version, late)
		if gone := max(entryLifetime-pause, 0); late > gone {
			time.Sleep(gone)
			d.store.Remove("servers/" + old.id)
			late -= gone
		}
		time.Sleep(late)
		if err := d.register(e); err != nil {
			d.fail(err)
		}
		d.note("%s is registered", e.id)
	})
}
