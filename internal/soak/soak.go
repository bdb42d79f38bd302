// Package soak runs routing instances as separate processes on loopback, in front of stand-ins for the object store, engines and a plain
// service in its own process. It injects faults from outside, by proxies and signals, and checks the guarantees of
// docs/design/hard-load-proof.md from the side of the callers and the endpoints. Load, faults and their times follow from a seed.
package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"pumiceshelf/internal/standin"
)

const (
	// callsPerInstance is the number of new calls per second for each instance. All endpoints together can handle more than twice as many.
	callsPerInstance = 20.0
	// enginesPerInstance is the number of engines for each instance, plainEndpoints that of endpoints of the plain service.
	enginesPerInstance = 1.5
	plainEndpoints     = 4
	// busyWeight is the share of calls that one instance gets, relative to each of the others.
	busyWeight = 5.0
	// maxInstances keeps a run within its limit of 40 processes. The failure domains have an instance each with minInstances.
	minInstances, maxInstances = 3, 36
	// storeTarget is the target of the links to the store.
	storeTarget = "store"
)

// Config configures a run.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// Instances is the number of instances, from minInstances to maxInstances.
	Instances int
	// Program is the path of the program pumiceshelf. If it is empty, the program is built from the source tree.
	Program string
	// Folder receives settings and log files. If it is empty, a temporary folder is used, which is removed unless a guarantee was violated.
	Folder string
}

// evacuation is one evacuation of a failure domain. begun is when the store acknowledged it. ended is zero while it lasts.
type evacuation struct {
	domain       string
	begun, ended time.Time
}

// seat is a place of the deployment at which processes of a service run one after the other.
type seat struct {
	name, service, domain, address string
	speed                          float64
	// busy is set while the process is about to be replaced. starts counts the processes.
	busy    bool
	starts  int
	current *endpoint
}

// soak is one run.
type soak struct {
	config    Config
	started   time.Time
	store     *standin.PlatformStore
	storeAddr string
	instances []*instance
	seats     []*seat
	callers   *callers
	busiest   int
	// fail ends the run with a fault of the soak test itself.
	fail context.CancelCauseFunc
	work sync.WaitGroup

	mu        sync.Mutex
	endpoints []*endpoint
	// stalls holds the times in which this process did not run.
	stalls      []interval
	evacuations []*evacuation
	// outages holds the times in which no instance reached the store.
	outages  []interval
	timeline []note
	// version is that of the configuration. grants holds what each customer was granted in total from a time on.
	version int
	grants  []grant
	// unidentified counts connections that were closed before their processes were found. Nothing is passed on of them.
	unidentified int
}

// note is one step of the run.
type note struct {
	at   time.Time
	text string
}

// grant is the total that a customer was granted from a time on.
type grant struct {
	at       time.Time
	customer string
	total    int64
}

// Run runs the soak test. An error is a fault of the soak test itself, or of a process that did not start; the result then names it and
// has what was found before. The result is never nil.
func Run(ctx context.Context, c Config) (result *Result, err error) {
	defer func() {
		if err != nil {
			result.Fault = err.Error()
		}
	}()
	if c.Instances < minInstances || c.Instances > maxInstances {
		return newResult(c), fmt.Errorf("soak: %d instances, must be %d to %d", c.Instances, minInstances, maxInstances)
	}
	temporary := c.Folder == ""
	if temporary {
		if c.Folder, err = os.MkdirTemp("", "soak"); err != nil {
			return newResult(c), fmt.Errorf("soak: %w", err)
		}
	}
	if c.Program == "" {
		if c.Program, err = buildProgram(c.Folder); err != nil {
			return newResult(c), err
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &soak{
		config: c, started: time.Now(), store: standin.NewPlatformStore(), fail: cancel, busiest: int(c.Seed) % c.Instances,
	}
	s.callers = newCallers(c.Seed, callsPerInstance*float64(c.Instances), s.pickInstance)
	err = s.run(ctx)
	result = s.evaluate()
	if temporary && len(result.Violations) == 0 {
		err = errors.Join(err, os.RemoveAll(c.Folder))
	}
	return result, err
}

func (s *soak) run(ctx context.Context) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("soak: store: %w", err)
	}
	server := &http.Server{Handler: s.store}
	s.storeAddr = l.Addr().String()
	// Serve returns when the store is closed.
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	defer s.endAll()
	if err := s.startAll(); err != nil {
		return err
	}
	s.note("all instances are ready")
	loadCtx, endLoad := context.WithTimeout(ctx, s.config.Duration)
	defer endLoad()
	stallCtx, endStalls := context.WithCancel(ctx)
	var stalls sync.WaitGroup
	stalls.Go(func() { s.recordStalls(stallCtx) })
	s.startSchedule(loadCtx)
	s.callers.run(loadCtx)
	s.work.Wait()
	endStalls()
	stalls.Wait()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	for _, in := range s.instances {
		s.work.Go(func() { in.end(syscall.SIGTERM) })
	}
	s.work.Wait()
	return nil
}

// startAll starts the endpoints and then all instances.
func (s *soak) startAll() error {
	seats := int(enginesPerInstance*float64(s.config.Instances)) + plainEndpoints
	free, err := addresses(seats + 3*s.config.Instances)
	if err != nil {
		return err
	}
	if err := s.writeConfiguration(); err != nil {
		return err
	}
	for i := range seats {
		if err := s.startSeat(i, seats-plainEndpoints, free[i]); err != nil {
			return err
		}
	}
	free = free[seats:]
	random := rand.New(rand.NewPCG(s.config.Seed, 3))
	extra := map[string]any{"reduceParkedTokens": random.IntN(2) == 0, "seedPeers": []string{free[2], free[5]}}
	if random.IntN(2) == 0 {
		extra["deploymentFeatures"] = []string{"pressure"}
	}
	for i := range s.config.Instances {
		in, err := s.newInstance(i, free[3*i:3*i+3])
		if err != nil {
			return err
		}
		if err := in.writeSettings(extra); err != nil {
			return err
		}
	}
	var starts errgroup.Group
	for _, in := range s.instances {
		starts.Go(func() error { return in.start(true) })
	}
	return starts.Wait()
}

// startSeat starts and registers the first process of a seat. A third of the engines in each failure domain are slow, and half have each
// version.
func (s *soak) startSeat(i, engines int, address string) error {
	seat := &seat{name: fmt.Sprintf("engine-%d", i), service: engineService, domain: domains[i%len(domains)], address: address, speed: 1}
	if i/len(domains)%3 == 0 {
		seat.speed = slowEngine
	}
	if i >= engines {
		seat.name, seat.service, seat.speed = fmt.Sprintf("desk-%d", i-engines), plainService, 1
	}
	s.seats = append(s.seats, seat)
	e, err := s.startEndpoint(seat, seat.name, fmt.Sprintf("v%d", 1+(i+i/len(domains))%2), 0)
	if err != nil {
		return err
	}
	return s.register(e)
}

func (s *soak) newInstance(i int, free []string) (*instance, error) {
	name := fmt.Sprintf("front-%d", i)
	in := &instance{
		name: name, domain: domains[i%len(domains)], callerAddress: free[0], readyAddress: free[1], peerAddress: free[2], program: s.config.Program,
		settingsFile: filepath.Join(s.config.Folder, name+".hujson"), logFile: filepath.Join(s.config.Folder, name+".log"), links: make(map[string]*link),
	}
	for _, target := range append([]string{storeTarget}, domains...) {
		in.links[target] = newLink(name, target)
	}
	var err error
	in.storeProxy, err = startProxy("127.0.0.1:0", s.storeAddr, func(*net.TCPConn) *link { return in.links[storeTarget] })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, in)
	return in, err
}

// endAll ends everything that still runs.
func (s *soak) endAll() {
	for _, in := range s.instances {
		for _, l := range in.links {
			l.setState(linkOpen)
		}
		in.end(syscall.SIGKILL)
		if in.storeProxy != nil {
			in.storeProxy.close()
		}
	}
	s.callers.client.CloseIdleConnections()
	for _, seat := range s.seats {
		if seat.current != nil {
			seat.current.end()
		}
	}
}

// startEndpoint starts a process at a seat. It is not registered yet.
func (s *soak) startEndpoint(seat *seat, id, version string, cold time.Duration) (*endpoint, error) {
	e := &endpoint{id: id, service: seat.service, domain: seat.domain, version: version, speed: seat.speed, slots: engineSlots, queue: engineQueue, cold: cold}
	if e.service == plainService {
		e.slots, e.queue, e.cold = plainSlots, plainQueue, 0
	}
	if err := e.start(seat.address, func(c *net.TCPConn) *link { return s.findLink(c, seat.domain) }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	seat.starts++
	seat.current, s.endpoints = e, append(s.endpoints, e)
	return e, nil
}

// register writes the entry of an endpoint that is ready.
func (s *soak) register(e *endpoint) error {
	_, err := s.store.Set("servers/"+e.id, e.entry("ready"))
	return err
}

// findLink returns the link of a connection from an instance to an endpoint of a domain, or nil if no instance has it any more.
func (s *soak) findLink(c *net.TCPConn, domain string) *link {
	s.mu.Lock()
	instances := s.instances
	s.mu.Unlock()
	pids := make([]int, len(instances))
	for i, in := range instances {
		pids[i] = in.pid()
	}
	pid, err := findProcess(c, pids)
	if err != nil {
		s.fail(err)
	}
	if pid != 0 {
		return instances[slices.Index(pids, pid)].links[domain]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unidentified++
	return nil
}

// pickInstance returns an instance that has a process, by weight. Callers do not know which are stopped, cut off or about to end.
func (s *soak) pickInstance(random float64) *instance {
	all := slices.DeleteFunc(slices.Clone(s.instances), func(in *instance) bool { return in.pid() == 0 })
	if len(all) == 0 {
		return nil
	}
	return *pickShare(all, func(in *instance) float64 {
		return map[bool]float64{true: busyWeight, false: 1}[in == s.instances[s.busiest]]
	}, random)
}

// writeConfiguration writes the next version of the configuration, which grants further tokens to each customer.
func (s *soak) writeConfiguration() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	var routeList, tenants []any
	streamShare := 0.0
	for _, r := range routes {
		service := plainService
		if r.stream {
			service, streamShare = engineService, streamShare+r.share
		}
		values := map[string]any{
			"name": r.name, "host": "a.example", "path_prefix": "/" + r.name + "/", "timeout_ms": (callTimeout - callMargin).Milliseconds(), "slo_ms": 800,
			"max_attempts": r.attempts, "service": service, "sticky": r.stream, "gap_aim_ms": 250,
		}
		maps.Copy(values, r.config)
		routeList = append(routeList, values)
	}
	perSecond := callsPerInstance * float64(s.config.Instances) * streamShare * (promptTokens + streamEvents*tokensPerEvent)
	for _, c := range customers {
		total := s.grantedAt(c.name, time.Now()) + int64(c.prepaidSeconds*perSecond)
		tenants = append(tenants, map[string]any{"name": c.name, "api_keys": []string{c.name + "-api"}, "priority": c.priority, "prepaid": total})
		// Written before the store has it: what a customer may spend counts from then on.
		s.grants = append(s.grants, grant{at: time.Now(), customer: c.name, total: total})
	}
	_, err := s.store.Set("config/main", map[string]any{
		"version": s.version, "routes": routeList, "tenants": tenants, "services": []any{
			map[string]any{"name": engineService, "cold_start_s": coldTime.Seconds(), "cold_per_s": coldPerSecond, "engine": map[string]any{
				"slots": engineSlots, "kv_capacity": 500000, "stride": tokensPerEvent,
			}},
			map[string]any{"name": plainService},
		},
	})
	return err
}

// note records a step of the run.
func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeline = append(s.timeline, note{time.Now(), fmt.Sprintf(format, args...)})
}
