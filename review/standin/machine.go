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

// machine runs one routing instance as a process of its own.
type machine struct {
	name, zone            string
	front, ready, control string
	settings, log         string
	process               *exec.Cmd
	done                  chan struct{}
}

// freeAddress returns a loopback address that nothing listens on now. Its IP address belongs to this process alone, so that no
// connection takes the port before a machine listens on it.
func freeAddress() (string, error) {
	pid := os.Getpid()
	for {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&0x3f, pid>>8&0xff, max(pid&0xff, 2)))
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		l.Close()
		if !taken[address] {
			taken[address] = true
			return address, nil
		}
	}
}

// taken holds the addresses that freeAddress has returned.
var taken = make(map[string]bool)

func newMachine(folder, name, zone string) (*machine, error) {
	m := &machine{name: name, zone: zone, settings: filepath.Join(folder, name+".json"), log: filepath.Join(folder, name+".log")}
	for _, a := range []*string{&m.front, &m.ready, &m.control} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// writeSettings writes what the template of the deploy file gives for a machine of a small deployment.
func (m *machine) writeSettings(store string, seeds []string) error {
	text, err := json.MarshalIndent(map[string]any{
		"name": m.name, "domain": m.zone, "callerAddress": m.front, "readyAddress": m.ready, "peerAddress": m.control,
		"seedPeers": seeds, "storeAddress": store, "grace": "8s", "retryRatio": 0.2, "retrySlack": 52, "retryWindow": "10s",
		"deploymentFeatures": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"memoryMb":           284, "linkMbps": 1000.0,
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, text, 0o600)
}

func (m *machine) start(program string) error {
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(program, "route")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PUMICESHELF_CONFIG=" + m.settings}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.process, m.done = c, done
	go func() {
		_ = c.Wait()
		close(done)
	}()
	return nil
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if m.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %s", m.name, limit)
}

func (m *machine) exited() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process, and waits for its end after SIGKILL.
func (m *machine) signal(s syscall.Signal) {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Signal(s)
	if s == syscall.SIGKILL {
		<-m.done
	}
}

// rssMB returns the memory of the process in MB.
func (m *machine) rssMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return 0
	}
	var kb int
	for _, line := range splitLines(string(text)) {
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}
