package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// instance is one process of the project, started with the command of the deploy file.
type instance struct {
	name, zone         string
	front, ready, peer string
	settings, log      string
	command            *exec.Cmd
	done               chan struct{}
	rec                *record
}

// fleet is a small deployment: a store, instances, and servers.
type fleet struct {
	rec       *record
	store     *store
	instances []*instance
	servers   []*server
	program   string
	dir       string
	// moreEngines are the engines besides one in each zone.
	moreEngines int
	// ownPaths is set if the first instance has paths of its own to the servers.
	ownPaths bool
	// viewOfFirst is the store as the first instance sees it, or nil if it sees it as the others do.
	viewOfFirst *view
}

// loopback is the address of the stand-ins and instances. Channels begin at 127.0.0.1, so that none takes a port here before it is used again.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&0x3f, pid>>8&0xff, 1+pid&0x7f)
}

// freeAddresses returns free loopback addresses.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp4", loopback())
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

func newFleet(rec *record, program string) (*fleet, error) {
	s, err := newStore(rec)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "probe-")
	if err != nil {
		return nil, err
	}
	return &fleet{rec: rec, store: s, program: program, dir: dir}, nil
}

// addInstances writes the settings of instances, one in each of the zones.
func (f *fleet) addInstances(zones ...string) error {
	addresses, err := freeAddresses(3 * len(zones))
	if err != nil {
		return err
	}
	var seeds []string
	for i := range zones {
		seeds = append(seeds, addresses[3*i+2])
	}
	for i, zone := range zones {
		in := &instance{
			name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, front: addresses[3*i], ready: addresses[3*i+1], peer: addresses[3*i+2], rec: f.rec,
		}
		in.settings, in.log = filepath.Join(f.dir, in.name+".json"), filepath.Join(f.dir, in.name+".log")
		storeAddress := f.store.address
		if i == 0 && f.viewOfFirst != nil {
			storeAddress = f.viewOfFirst.address
		}
		text, err := json.Marshal(map[string]any{
			"name": in.name, "domain": zone, "callerAddress": in.front, "readyAddress": in.ready, "peerAddress": in.peer,
			"seedPeers": seeds[:min(len(seeds), 3)], "storeAddress": storeAddress, "grace": "8s", "retryRatio": 0.2, "retrySlack": 58, "retryWindow": "10s",
			"deploymentFeatures": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
			"memoryMb":           284, "maxDescriptors": 4100, "linkMbps": 1000,
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(in.settings, text, 0o600); err != nil {
			return err
		}
		f.instances = append(f.instances, in)
	}
	return nil
}

// start starts the process of an instance.
func (f *fleet) start(in *instance) error {
	out, err := os.OpenFile(in.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(f.program, "route")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PUMICESHELF_CONFIG=" + in.settings}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	in.command, in.done = c, make(chan struct{})
	f.rec.line("start %s pid %d", in.name, c.Process.Pid)
	done := in.done
	go func() {
		err := c.Wait()
		f.rec.line("end %s pid %d: %v", in.name, c.Process.Pid, err)
		close(done)
	}()
	return nil
}

// isReady asks an instance whether it is ready.
func (in *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + in.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until an instance is ready.
func (in *instance) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if in.isReady() {
			in.rec.line("ready %s", in.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", in.name, limit)
}

// alive reports whether the process runs.
func (in *instance) alive() bool {
	if in.command == nil {
		return false
	}
	select {
	case <-in.done:
		return false
	default:
		return true
	}
}

func (in *instance) signal(s syscall.Signal) {
	in.rec.line("signal %s to %s", s, in.name)
	_ = in.command.Process.Signal(s)
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	for _, in := range f.instances {
		if in.alive() {
			_ = in.command.Process.Signal(syscall.SIGCONT)
			_ = in.command.Process.Kill()
			<-in.done
		}
	}
	for _, s := range f.servers {
		s.close()
	}
	f.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, f.dir)
	}
}
