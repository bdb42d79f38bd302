package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	begun time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// instance is one process of the system.
type instance struct {
	name, domain                string
	caller, ready, peer, store  string
	seeds                       []string
	memoryMB, maxFDs, slackSize float64
	dir                         string
	record                      *record

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// stopped is set once the process was told to end.
	stopped bool
}

// freePort returns an address on which nothing listens now. Its port is below those that the kernel gives to outgoing connections, so that it
// is still free when a process starts again.
func freePort() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		given.mu.Lock()
		used := given.addresses[address]
		given.addresses[address] = true
		given.mu.Unlock()
		if !used {
			return address
		}
	}
}

// given are the addresses that freePort has returned.
var given = struct {
	mu        sync.Mutex
	addresses map[string]bool
}{addresses: make(map[string]bool)}

// settings returns what the template deploy/settings.hujson gives for a small deployment.
func (i *instance) settings() []byte {
	text, err := json.Marshal(map[string]any{
		"name": i.name, "domain": i.domain, "callerAddress": i.caller, "readyAddress": i.ready, "peerAddress": i.peer,
		"seedPeers": i.seeds, "storeAddress": i.store, "grace": "8s", "retryRatio": 0.2, "retrySlack": i.slackSize, "retryWindow": "10s",
		"deploymentFeatures": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"memoryMb":           i.memoryMB, "maxDescriptors": i.maxFDs, "linkMbps": 1000.0,
	})
	if err != nil {
		panic(err)
	}
	return text
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	path := filepath.Join(i.dir, i.name+".json")
	if err := os.WriteFile(path, i.settings(), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(i.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/pumiceshelf", "route")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PUMICESHELF_CONFIG=" + path}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.command, i.exited, i.stopped = c, exited, false
	i.mu.Unlock()
	go func() {
		err := c.Wait()
		out.Close()
		i.mu.Lock()
		if !i.stopped {
			i.record.line("instance %s ended by itself: %v", i.name, err)
		}
		i.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process. SIGKILL and SIGTERM end it.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		i.stopped = true
	}
	if i.command != nil {
		_ = i.command.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (i *instance) kill() {
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	if exited == nil {
		return
	}
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	<-exited
}

// isReady asks the instance as the platform does.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (i *instance) awaitReady(limit time.Duration) bool {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(50 * time.Millisecond) {
		if i.isReady() {
			return true
		}
	}
	return false
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record    *record
	store     *store
	instances []*instance
	servers   []*server
	dir       string
}

// newFleet makes instances that are not started yet. Their failure domains take turns.
func newFleet(r *record, instances int, zones []string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, store: newStore(r), dir: dir}
	address, err := f.store.listen()
	if err != nil {
		return nil, err
	}
	var seeds []string
	for n := range instances {
		i := &instance{
			name: fmt.Sprintf("front-%s-%d", zones[n%len(zones)], n/len(zones)+1), domain: zones[n%len(zones)], caller: freePort(), ready: freePort(),
			peer: freePort(), store: address, memoryMB: 284, maxFDs: 4200, slackSize: 52, dir: dir, record: r,
		}
		if len(seeds) < 3 {
			seeds = append(seeds, i.peer)
		}
		f.instances = append(f.instances, i)
	}
	for _, i := range f.instances {
		i.seeds = seeds
	}
	started.mu.Lock()
	defer started.mu.Unlock()
	started.fleets = append(started.fleets, f)
	return f, nil
}

// start starts all instances and waits until they are ready.
func (f *fleet) start() error {
	for _, i := range f.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range f.instances {
		if !i.awaitReady(15 * time.Second) {
			return fmt.Errorf("instance %s is not ready", i.name)
		}
	}
	return nil
}

// stop ends everything that was started.
func (f *fleet) stop() {
	for _, i := range f.instances {
		i.kill()
	}
	for _, s := range f.servers {
		s.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		f.record.line("logs of the instances are kept in %s", f.dir)
	}
}

// started are the fleets whose processes must end with this program.
var started struct {
	mu     sync.Mutex
	fleets []*fleet
}

// endAll ends all processes that were started.
func endAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, f := range started.fleets {
		f.stop()
	}
}
