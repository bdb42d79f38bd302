// Command standin plays one case against pumiceshelf: it starts instances as separate processes, with a stand-in of the
// platform's store, of servers and of clients in its own process, and checks one rule from what these have seen.
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// world holds what a case needs.
type world struct {
	program, folder string
	trouble         bool
	store           *store
	machines        []*machine
	engines         []*engine
	clients         *clients
	began           time.Time

	mu     sync.Mutex
	record *os.File
}

// end kills the processes of all machines.
func (w *world) end() {
	for _, m := range w.machines {
		m.signal(syscall.SIGKILL)
	}
}

// note writes a line into the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%7.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// limit bounds the time of a case.
const limit = 115 * time.Second

var cases = map[string]func(*world) (broken bool, err error){}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "", "path of pumiceshelf")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.String("keep", "", "folder that keeps the logs of the instances")
	flag.Parse()
	os.Exit(play(*name, *program, *record, *keep))
}

func play(name, program, record, keep string) int {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return 2
	}
	one, ok := cases[name]
	if !ok {
		return fail(fmt.Errorf("unknown case %q", name))
	}
	folder := keep
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "review"); err != nil {
			return fail(err)
		}
		defer os.RemoveAll(folder)
	} else if err := os.MkdirAll(folder, 0o700); err != nil {
		return fail(err)
	}
	file, err := os.Create(record)
	if err != nil {
		return fail(err)
	}
	defer file.Close()
	if program, err = filepath.Abs(program); err != nil {
		return fail(err)
	}
	if _, err := os.Stat(program); err != nil {
		return fail(err)
	}
	w := &world{program: program, folder: folder, trouble: os.Getenv("TROUBLE") != "0", clients: newClients(), began: time.Now(), record: file}
	if w.store, err = startStore(); err != nil {
		return fail(err)
	}
	defer w.end()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-interrupts:
		case <-time.After(limit):
			w.note("the case took longer than %s", limit)
		}
		w.end()
		os.Exit(2)
	}()
	broken, err := one(w)
	switch {
	case err != nil:
		w.note("the case couldn't run: %v", err)
		return fail(err)
	case broken:
		fmt.Println("the rule was broken, see", record)
		return 1
	}
	fmt.Println("the rule held, see", record)
	return 0
}

// addMachines adds machines, one in each zone in turn, that are not started yet.
func (w *world) addMachines(count int) error {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	var seeds []string
	for i := range count {
		zone := zones[i%len(zones)]
		m, err := newMachine(w.folder, fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone)
		if err != nil {
			return err
		}
		w.machines = append(w.machines, m)
		if len(seeds) < 3 {
			seeds = append(seeds, m.control)
		}
	}
	for _, m := range w.machines {
		if err := m.writeSettings(w.store.address, seeds); err != nil {
			return err
		}
	}
	return nil
}

// addEngines starts servers of a service and lists them in the store.
func (w *world) addEngines(service string, count int, make func() *engine) error {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for i := range count {
		e := make()
		e.service, e.zone, e.id = service, zones[i%len(zones)], fmt.Sprintf("i-%s-%d", service, i+1)
		if err := startEngine(e); err != nil {
			return err
		}
		w.engines = append(w.engines, e)
		w.store.set("servers/"+e.id, e.entry())
	}
	return nil
}

// startAll starts the first machines and waits until they are ready.
func (w *world) startAll(count int) error {
	for _, m := range w.machines[:count] {
		if err := m.start(w.program); err != nil {
			return err
		}
	}
	for _, m := range w.machines[:count] {
		if err := m.awaitReady(10 * time.Second); err != nil {
			return err
		}
		w.note("%s is ready", m.name)
	}
	return nil
}

// ran returns how often each request ran at any server.
func (w *world) ran() map[string]int {
	out := make(map[string]int)
	for _, e := range w.engines {
		for id, n := range e.ran() {
			out[id] += n
		}
	}
	return out
}

const (
	host      = "ficu95.example"
	streamKey = "xd9dnn2ctnfzs989anu6"
)

// config returns a configuration with a route for resumable streams, one for requests that may run once and one for those that
// may be repeated, and one tenant. A negative prepaid leaves it out.
func config(version int, prepaid int64) map[string]any {
	tenant := map[string]any{"name": "huka270", "api_keys": []string{streamKey}, "priority": 1}
	if prepaid >= 0 {
		tenant["prepaid"] = prepaid
	}
	route := func(name, prefix, mode, service string, timeout, slo, attempts, priority int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "mode": mode, "timeout_ms": timeout, "slo_ms": slo, "priority": priority,
			"service": service, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-plan", "/plan/", "streaming", "agro", 5000, 500, 2, 0, map[string]any{"sticky": true, "resumable": true, "gap_aim_ms": 250}),
			route("r-note", "/note/", "streaming", "agro", 15000, 800, 1, 1, map[string]any{"sticky": true, "gap_aim_ms": 250}),
			route("r-status", "/status/", "non_idempotent", "desk", 3000, 300, 2, 0, nil),
			route("r-sheet", "/sheet/", "idempotent", "desk", 3000, 300, 2, 1, nil),
		},
		"services": []any{
			map[string]any{"name": "agro", "health_path": "/healthz", "max_conns": 610, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 128, "kv_capacity": 497045, "kv_token_bytes": 35136, "link_mbps": 180000.0, "moves": true, "backups": true, "stride": 4,
				"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{tenant},
	}
}
