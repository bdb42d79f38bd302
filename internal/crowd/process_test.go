package crowd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"storj.io/drpc/drpcconn"

	"pumiceshelf/api"
	"pumiceshelf/internal/fleet"
	"pumiceshelf/internal/standin"
)

const (
	// memoryMB is the memory of the machine of a process, in megabytes of 2^20 bytes. The processes are told so where they have a setting for it.
	memoryMB = 100
	// bodyLimit is the size of the largest legal body in bytes.
	bodyLimit = 1 << 20
	// stallLimit is how long a stalled request may last by the limits of the settings and the caller.
	stallLimit = 10 * time.Minute
	// patience is how long an ordinary caller goes on with its request, attemptTimeout how long it waits for one response. startTimeout bounds the
	// start of a process.
	patience, attemptTimeout, startTimeout = 60 * time.Second, 15 * time.Second, 60 * time.Second
	// watchInterval is the time between two counts of open descriptors.
	watchInterval = 20 * time.Millisecond
	// retryPause is the pause after an attempt without a response.
	retryPause = 200 * time.Millisecond
)

// program is the path of pumiceshelf, built once for all tests.
var program string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "pumiceshelf")
	if out, err := exec.Command("go", "build", "-o", program, "pumiceshelf/cmd/pumiceshelf").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "crowd: build pumiceshelf: %v: %s\n", err, out)
		return 1
	}
	return m.Run()
}

// process is one instance that runs as a separate process.
type process struct {
	t       *testing.T
	command *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	maxFDs int
	// callers is the address for requests. listeners holds the addresses of all listeners by name.
	callers   string
	listeners map[string]string
	// header is the header of each request.
	header map[string]string
	path   string
	output lockedBuffer
	// peakFDs is the largest number of open descriptors seen.
	peakFDs atomic.Int64
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// tail returns the last bytes of the output.
func (b *lockedBuffer) tail() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.buf.Bytes()[max(0, b.buf.Len()-2000):])
}

// startProcess starts pumiceshelf with at most maxFDs descriptors, and ends it with the test.
func startProcess(t *testing.T, maxFDs int, verb, settings string) *process {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.hujson")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, maxFDs: maxFDs, exited: make(chan struct{})}
	p.command = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(maxFDs), program, verb, "--settings", file)
	p.command.Env = append(os.Environ(), "GOMAXPROCS=2")
	p.command.Stdout, p.command.Stderr = &p.output, &p.output
	// The process ends with the thread of the test, also if the test is interrupted.
	runtime.LockOSThread()
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.exited)
		// How it ended is checked by the test.
		_ = p.command.Wait()
	}()
	go p.watchDescriptors()
	t.Cleanup(func() {
		// An error means that the process has ended.
		_ = p.command.Process.Kill()
		<-p.exited
	})
	return p
}

// startRoute starts `pumiceshelf route` in front of one endpoint.
func startRoute(t *testing.T, maxFDs int) *process {
	t.Helper()
	store := standin.NewPlatformStore()
	storeAddress := serve(t, store)
	endpoint := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		// A request that ends early gets no response.
		if n, err := io.Copy(io.Discard, r.Body); err == nil {
			fmt.Fprintf(w, "%d bytes", n)
		}
	}))
	for key, value := range map[string]any{
		"config/main": map[string]any{
			"version": 1, "services": []any{map[string]any{"name": "desk"}}, "limits": map[string]any{"max_body_bytes": bodyLimit, "max_header_bytes": 16 << 10},
			"routes": []any{map[string]any{
				"name": "status", "host": "a.example", "path_prefix": "/status/", "timeout_ms": stallLimit.Milliseconds(), "slo_ms": 1000, "max_attempts": 1,
				"service": "desk", "mode": "non_idempotent",
			}},
		},
		"servers/i-1": map[string]any{
			"service": "desk", "address": endpoint, "zone": "hall-a", "version": "v1", "slots": 200, "state": "ready", "born": time.Now().UnixMilli(),
		},
	} {
		if _, err := store.Set(key, value); err != nil {
			t.Fatal(err)
		}
	}
	ports, err := fleet.FreeAddresses(3)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(map[string]any{
		"name": "front-1", "domain": "hall-a", "callerAddress": ports[0], "readyAddress": ports[1], "peerAddress": ports[2], "storeAddress": storeAddress,
		"memoryMb": memoryMB,
	})
	if err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, maxFDs, "route", string(text))
	p.callers, p.path = ports[0], "/status/1"
	p.listeners = map[string]string{"callers": ports[0], "ready": ports[1], "peers": ports[2]}
	p.header = map[string]string{"X-Deadline-Ms": strconv.FormatInt(stallLimit.Milliseconds(), 10)}
	p.awaitReady()
	return p
}

// startRun starts `pumiceshelf run` in front of one endpoint of a plain service.
func startRun(t *testing.T, maxFDs int) *process {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	t.Cleanup(cancel)
	c := fleet.DeploymentConfig(fleet.AlWusta)
	c.Domains, c.InstancesPerDomain, c.EnginesPerDomain = []string{"muttrah"}, 0, 1
	c.Customers = []fleet.Customer{{ID: "farm", Tokens: 1_000_000}}
	c.AdjustSettings = func(s *api.Settings) {
		s.Server.BodyLimitBytes, s.Server.ReadTimeout = bodyLimit, durationpb.New(stallLimit)
		s.Admission.QueueBytes = 4 * bodyLimit
		s.MemoryMb = memoryMB
	}
	f, err := fleet.Start(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	ports, err := fleet.FreeAddresses(3)
	if err != nil {
		t.Fatal(err)
	}
	f.Objects.SetInstances(&api.InstanceList{Instances: []*api.Instance{{
		Name: "front-1", Domain: "muttrah", Region: "region-1", PeerAddress: ports[1], AdminAddress: ports[2],
	}}})
	p := startProcess(t, maxFDs, "run", f.SettingsJSON("front-1", "muttrah", ports))
	p.callers, p.path = ports[0], fleet.PlanPrefix+"1"
	p.listeners = map[string]string{"callers": ports[0], "peers": ports[1], "admin": ports[2]}
	p.header = map[string]string{"Authorization": "Bearer " + fleet.APIKey("farm")}
	p.awaitReady()
	return p
}

// serve serves a handler on a loopback address until the test ends.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

func (p *process) awaitReady() {
	p.t.Helper()
	if err := p.askOrdinary(startTimeout); err != nil {
		p.t.Fatalf("process is not ready: %v\n%s", err, p.output.tail())
	}
}

// request returns a request with a body of a reader. Its size is announced unless it is negative.
func (p *process) request(ctx context.Context, body io.Reader, size int64) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers+p.path, body)
	if err != nil {
		return nil, err
	}
	r.Host, r.ContentLength = "a.example", size
	r.Header.Set("X-Request-Id", fmt.Sprint("id-", time.Now().UnixNano()))
	for name, value := range p.header {
		r.Header.Set(name, value)
	}
	return r, nil
}

// send sends one request on a connection of its own and returns the status of the response, and after which time to come back.
func send(ctx context.Context, r *http.Request) (status int, retryAfter time.Duration, err error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r.WithContext(ctx))
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0, err
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), nil
}

// askOrdinary sends an ordinary request, with a body of the largest legal size, as a well-behaved caller does: again after a refusal, when it says so, and after a closed connection.
func (p *process) askOrdinary(limit time.Duration) error {
	body := bytes.Repeat([]byte("b"), bodyLimit)
	return untilServed(limit, func(ctx context.Context) (int, time.Duration, error) {
		r, err := p.request(ctx, bytes.NewReader(body), int64(len(body)))
		if err != nil {
			return 0, 0, err
		}
		return send(ctx, r)
	})
}

// askListener sends an ordinary request to the listener with a name.
func (p *process) askListener(name string) error {
	return untilServed(patience, func(ctx context.Context) (int, time.Duration, error) {
		switch name {
		case "callers":
			return http.StatusOK, 0, nil
		case "peers":
			return http.StatusOK, 0, p.callPeer(ctx)
		}
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.listeners[name]+"/readyz", nil)
		if err != nil {
			return 0, 0, err
		}
		return send(ctx, r)
	})
}

// callPeer makes a call like another instance.
func (p *process) callPeer(ctx context.Context) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", p.listeners["peers"])
	if err != nil {
		return err
	}
	client := drpcconn.New(conn)
	defer client.Close()
	if _, isRun := p.listeners["admin"]; isRun {
		_, err = api.NewDRPCMembershipPeerClient(client).Heartbeat(ctx, &api.HeartbeatRequest{})
	} else {
		_, err = api.NewDRPCFleetClient(client).Newest(ctx, &api.NewestRequest{})
	}
	return err
}

// untilServed makes attempts until one succeeds.
func untilServed(limit time.Duration, attempt func(context.Context) (int, time.Duration, error)) error {
	var last error
	attempts := 0
	for end := time.Now().Add(limit); time.Now().Before(end); attempts++ {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		status, retryAfter, err := attempt(ctx)
		cancel()
		switch {
		case err != nil:
			last = err
		case status == http.StatusOK:
			return nil
		default:
			last = fmt.Errorf("status %d", status)
		}
		time.Sleep(max(retryAfter, retryPause))
	}
	return fmt.Errorf("no response to any of %d attempts, the last one: %w", attempts, last)
}

// check checks that the process lives, within its memory and descriptors, and still serves.
func (p *process) check(listener string) {
	p.t.Helper()
	if err := p.askOrdinary(patience); err != nil {
		p.t.Errorf("an ordinary request is not served: %v", err)
	}
	if err := p.askListener(listener); err != nil {
		p.t.Errorf("listener %s does not serve: %v", listener, err)
	}
	select {
	case <-p.exited:
		p.t.Fatalf("the process has ended: %v\n%s", p.command.ProcessState, p.output.tail())
	default:
	}
	peak, err := p.peakMemory()
	if err != nil {
		p.t.Fatal(err)
	}
	fds := int(p.peakFDs.Load())
	p.t.Logf("peak memory %.1f MB, %d descriptors", float64(peak)/(1<<20), fds)
	if peak >= memoryMB<<20 {
		p.t.Errorf("peak memory is %d MB, the machine has %d", peak>>20, memoryMB)
	}
	if fds >= p.maxFDs {
		p.t.Errorf("%d of %d descriptors are open", fds, p.maxFDs)
	}
}

// peakMemory returns the peak of the resident memory in bytes.
func (p *process) peakMemory() (int64, error) {
	name := fmt.Sprintf("/proc/%d/status", p.command.Process.Pid)
	status, err := os.ReadFile(name)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return kb << 10, err
		}
	}
	return 0, errors.New("no VmHWM in " + name)
}

// watchDescriptors counts the open descriptors until the process has ended.
func (p *process) watchDescriptors() {
	for {
		// An error means that the process has ended.
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)); err == nil {
			p.peakFDs.Store(max(p.peakFDs.Load(), int64(len(open))))
		}
		select {
		case <-time.After(watchInterval):
		case <-p.exited:
			return
		}
	}
}
