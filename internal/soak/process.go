package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// startTimeout bounds the time from the start of a process until it responds to the check of its readiness.
	startTimeout = 20 * time.Second
	// startPollInterval is the time between two such checks.
	startPollInterval = 20 * time.Millisecond
	// stopTimeout is how long after SIGTERM a process is killed. It is longer than the setting grace, 8 s.
	stopTimeout = 15 * time.Second
	// outputTail is the number of bytes at the end of its output that are reported for a process that failed.
	outputTail = 4 << 10
)

// domains are the failure domains. Instances and endpoints are spread over them evenly.
var domains = []string{"hall-a", "hall-b", "hall-c"}

// addresses returns loopback addresses that nothing listens on. The IP address depends on the process, so that another process
// can't take a port before it is used.
func addresses(count int) ([]string, error) {
	pid := os.Getpid()
	var out []string
	for range count {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&0x7e, pid>>8&0xff, pid&0xff))
		if err != nil {
			return nil, fmt.Errorf("soak: no free port: %w", err)
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// buildProgram builds pumiceshelf in a folder and returns its path. The working folder must be in the source tree.
func buildProgram(folder string) (string, error) {
	path := filepath.Join(folder, "pumiceshelf")
	if out, err := exec.Command("go", "build", "-o", path, "pumiceshelf/cmd/pumiceshelf").CombinedOutput(); err != nil {
		return "", fmt.Errorf("soak: build pumiceshelf: %w: %s", err, out)
	}
	return path, nil
}

// instance is one routing instance, which runs as a separate process and may be started several times.
type instance struct {
	name, domain                             string
	callerAddress, readyAddress, peerAddress string
	program, settingsFile, logFile           string
	storeProxy                               *proxy
	// links holds the links of the instance by target: "store" and the failure domains of endpoints.
	links map[string]*link

	mu sync.Mutex
	// command is the process that runs, or nil. exited is closed when it has ended.
	command *exec.Cmd
	exited  chan struct{}
	// responds is set once the process has responded, ending once it was told to end.
	responds, ending bool
	// stops holds the times in which the process was stopped by SIGSTOP, runs those in which a process existed.
	stops, runs []interval
	// failures describes processes that ended without being told to, or with a wrong status.
	failures []string
}

// writeSettings writes the settings file of the instance.
func (in *instance) writeSettings(extra map[string]any) error {
	values := map[string]any{
		"name": in.name, "domain": in.domain, "callerAddress": in.callerAddress, "readyAddress": in.readyAddress, "peerAddress": in.peerAddress,
		"storeAddress": in.storeProxy.address(), "grace": "8s", "memoryMb": 100,
		"evacuationTimeoutMs": evacuationTimeout.Milliseconds(), "coldOverage": coldOverage, "coldSlack": coldSlack,
	}
	maps.Copy(values, extra)
	text, err := json.Marshal(values)
	if err == nil {
		err = os.WriteFile(in.settingsFile, text, 0o600)
	}
	if err != nil {
		return fmt.Errorf("soak: settings of %s: %w", in.name, err)
	}
	return nil
}

// start starts a process and waits until it responds; if ready is set, until it is ready for requests.
func (in *instance) start(ready bool) error {
	output, err := os.OpenFile(in.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("soak: log file of %s: %w", in.name, err)
	}
	defer output.Close()
	c := exec.Command(in.program, "route", "--settings", in.settingsFile)
	// Two threads for each process keep many of them from using all processors. The process must not outlive the soak test.
	c.Env = append(os.Environ(), "GOMAXPROCS=2")
	c.Stdout, c.Stderr = output, output
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starter() <- func() { started <- c.Start() }
	if err := <-started; err != nil {
		return fmt.Errorf("soak: start %s: %w", in.name, err)
	}
	exited := make(chan struct{})
	in.mu.Lock()
	in.command, in.exited, in.responds, in.ending = c, exited, false, false
	in.runs = append(in.runs, interval{from: time.Now()})
	in.mu.Unlock()
	go in.await(c, exited)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	failure := fmt.Sprintf("did not start within %v", startTimeout)
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(startPollInterval) {
		resp, err := client.Get("http://" + in.readyAddress + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			in.mu.Lock()
			in.responds = in.responds || in.command == c
			in.mu.Unlock()
			if resp.StatusCode == http.StatusOK || !ready {
				return nil
			}
		}
		select {
		case <-exited:
			failure, end = "ended while it started", time.Time{}
		default:
		}
	}
	if in.wasTold(c) {
		return nil
	}
	return fmt.Errorf("soak: %s %s: %s", in.name, failure, in.outputEnd())
}

// starter runs functions on a thread that lasts: Pdeathsig applies to the end of the thread that starts a process.
var starter = sync.OnceValue(func() chan func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range c {
			f()
		}
	}()
	return c
})

// await waits for the end of a process, and records it as a failure unless the process was told to end and did so properly.
func (in *instance) await(c *exec.Cmd, exited chan struct{}) {
	err := c.Wait()
	in.mu.Lock()
	defer in.mu.Unlock()
	in.runs[len(in.runs)-1].to = time.Now()
	if n := len(in.stops); n > 0 && in.stops[n-1].to.IsZero() {
		in.stops[n-1].to = time.Now()
	}
	var status *exec.ExitError
	proper := err == nil
	if errors.As(err, &status) {
		// SIGTERM ends a process at once that does not handle signals yet.
		signal := status.Sys().(syscall.WaitStatus).Signal()
		proper = signal == syscall.SIGKILL || signal == syscall.SIGTERM && !in.responds
	}
	if !in.ending || !proper {
		in.failures = append(in.failures, fmt.Sprintf("EXIT: %s ended with %v, told to end: %v: %s", in.name, err, in.ending, in.outputEnd()))
	}
	in.command = nil
	close(exited)
}

// outputEnd returns the end of the output of the instance.
func (in *instance) outputEnd() string {
	text, err := os.ReadFile(in.logFile)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-outputTail):])
}

func (in *instance) pid() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.command == nil {
		return 0
	}
	return in.command.Process.Pid
}

// wasTold reports whether a process was told to end, or was replaced by another one, which happens only after that.
func (in *instance) wasTold(c *exec.Cmd) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.ending || in.command != nil && in.command != c
}

func (in *instance) stoppedLocked() bool {
	return len(in.stops) > 0 && in.stops[len(in.stops)-1].to.IsZero()
}

// suspend sends SIGSTOP, resume SIGCONT. They return false if there is no process that runs, or none that is stopped.
func (in *instance) suspend() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.command == nil || in.ending || in.stoppedLocked() {
		return false
	}
	in.stops = append(in.stops, interval{from: time.Now()})
	return in.command.Process.Signal(syscall.SIGSTOP) == nil
}

func (in *instance) resume() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.resumeLocked()
}

func (in *instance) resumeLocked() bool {
	if in.command == nil || !in.stoppedLocked() {
		return false
	}
	in.stops[len(in.stops)-1].to = time.Now()
	return in.command.Process.Signal(syscall.SIGCONT) == nil
}

// end tells the process to end, by SIGTERM or SIGKILL, and waits until it has. It returns false if there is none, or another call has told
// it to; SIGKILL is sent nevertheless.
func (in *instance) end(signal syscall.Signal) bool {
	in.mu.Lock()
	told := in.ending
	if in.command == nil || told && signal != syscall.SIGKILL {
		in.mu.Unlock()
		return false
	}
	in.ending = true
	process, exited := in.command.Process, in.exited
	// An error means that the process has ended.
	_ = process.Signal(signal)
	in.resumeLocked()
	in.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		in.mu.Lock()
		in.failures = append(in.failures, fmt.Sprintf("EXIT: %s had not ended %v after %v", in.name, stopTimeout, signal))
		in.mu.Unlock()
		_ = process.Kill()
		<-exited
	}
	return !told
}

// disturbedIn reports whether the process was stopped, or was cut off from the store or endpoints, at some moment of a period.
func (in *instance) disturbedIn(from, to time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return overlap(in.stops, from, to) || slices.ContainsFunc(slices.Collect(maps.Values(in.links)), func(l *link) bool { return l.faultIn(from, to) })
}

// logLines returns the first log lines of the instance that contain a text and pass a filter.
func (in *instance) logLines(text string, filter func(line []byte) bool) (out []string) {
	content, err := os.ReadFile(in.logFile)
	if err != nil {
		return []string{err.Error()}
	}
	for line := range bytes.Lines(content) {
		if len(out) < traceLines && bytes.Contains(line, []byte(text)) && filter(line) {
			out = append(out, string(bytes.TrimSpace(line)))
		}
	}
	return out
}
