package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/internal/fleet"
	"pumiceshelf/internal/standin"
)

// runDaemonEnv is the environment variable that makes the test binary run main instead of the tests.
const runDaemonEnv = "PUMICESHELF_TEST_DAEMON"

// waitTimeout bounds each wait in these tests. No assertion depends on how long a step takes.
const waitTimeout = 60 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(runDaemonEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// daemon is one instance that runs in a separate process.
type daemon struct {
	command *exec.Cmd
	address string
	// stderr is the standard error output of the process. stderrDone is closed when it is complete.
	stderr     strings.Builder
	stderrDone chan struct{}
}

func startDaemon(f *fleet.Fleet, dir, name, domain string, ports []string) (*daemon, error) {
	file := filepath.Join(dir, name+".hujson")
	if err := os.WriteFile(file, []byte(f.SettingsJSON(name, domain, ports)), 0o600); err != nil {
		return nil, err
	}
	c := exec.Command(os.Args[0], "run", "--settings", file)
	c.Env = append(os.Environ(), runDaemonEnv+"=1")
	stderr, err := c.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	d := &daemon{command: c, address: ports[0], stderrDone: make(chan struct{})}
	go d.readStderr(name, stderr)
	return d, nil
}

// readStderr collects the standard error output of the process and prints lines about violated invariants.
func (d *daemon) readStderr(name string, stderr io.Reader) {
	defer close(d.stderrDone)
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		d.stderr.WriteString(lines.Text() + "\n")
		if strings.Contains(lines.Text(), "invariant") {
			fmt.Fprintln(os.Stderr, name, lines.Text())
		}
	}
}

// wait waits until the process has exited and returns its exit code.
func (d *daemon) wait() int {
	<-d.stderrDone
	d.command.Wait()
	return d.command.ProcessState.ExitCode()
}

func (d *daemon) signal(s os.Signal) { d.command.Process.Signal(s) }

// TestProcesses runs six instances as separate processes and kills, suspends and drains them while requests are in
// progress.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts separate processes")
	}
	Convey("Given six instances in separate processes", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		Reset(cancel)
		c := fleet.DeploymentConfig(fleet.AlWusta)
		c.InstancesPerDomain = 0
		c.Customers = []fleet.Customer{{ID: "farm", Tokens: 1_000_000}}
		c.Engine.Step = 5 * time.Millisecond
		f, err := fleet.Start(ctx, c)
		So(err, ShouldBeNil)
		Reset(f.Close)
		daemons := startAll(t, f, c.Domains)
		Reset(func() {
			for _, d := range daemons {
				d.signal(syscall.SIGKILL)
				d.wait()
			}
		})
		caller := f.NewCaller()
		for _, d := range daemons {
			So(awaitReady(ctx, caller, d.address), ShouldBeNil)
		}
		newRequest := func(key string) fleet.Request {
			return fleet.Request{Customer: "farm", Model: fleet.DoseModel, Prompt: "Plot of " + key, IdempotencyKey: key, Deadline: 20 * time.Second}
		}

		// startRequest sends a request with an idempotency key and returns once an engine runs it. Like other clients, it
		// retries while the outcome is "not run".
		startRequest := func(at *daemon, key string) <-chan fleet.Reply {
			reply := make(chan fleet.Reply, 1)
			go func() {
				r := caller.Send(ctx, at.address, newRequest(key))
				for r.Outcome == fleet.NotRun && ctx.Err() == nil {
					r = caller.Send(ctx, at.address, newRequest(key))
				}
				reply <- r
			}()
			err := fleet.WaitUntil(ctx, func() bool { return f.CountRuns("Plot of "+key) > 0 || len(reply) > 0 })
			So(err, ShouldBeNil)
			if f.CountRuns("Plot of "+key) != 1 {
				So(<-reply, ShouldResemble, "a request that runs once")
			}
			return reply
		}

		Convey("a request of a killed instance never runs twice, and a retry with its key gets the outcome \"unknown\" or a response", func() {
			setEngineDelay(f, waitTimeout)
			original := startRequest(daemons[0], "killed")
			daemons[0].signal(syscall.SIGKILL)
			So((<-original).Outcome, ShouldEqual, fleet.NoOutcome)
			setEngineDelay(f, 0)
			retry := caller.Send(ctx, daemons[3].address, newRequest("killed"))
			So(retry.Outcome, ShouldBeIn, fleet.Unknown, fleet.Answered)
			So(f.CountRuns("Plot of killed"), ShouldEqual, 1)
		})
		Convey("a request of a suspended instance never runs twice after the instance resumes", func() {
			original := startRequest(daemons[1], "frozen")
			daemons[1].signal(syscall.SIGSTOP)
			retry := caller.Send(ctx, daemons[4].address, newRequest("frozen"))
			daemons[1].signal(syscall.SIGCONT)
			So(retry.Outcome, ShouldBeIn, fleet.Unknown, fleet.Answered, fleet.NotRun)
			reply := <-original
			So(reply.Wrong, ShouldBeFalse)
			So(f.CountRuns("Plot of frozen"), ShouldEqual, 1)
		})
		Convey("SIGTERM finishes the requests in progress and exits with code 0", func() {
			original := startRequest(daemons[2], "drained")
			daemons[2].signal(syscall.SIGTERM)
			reply := <-original
			So(reply.Outcome, ShouldEqual, fleet.Answered)
			So(reply.Partial, ShouldBeFalse)
			So(daemons[2].wait(), ShouldEqual, 0)
		})
		Convey("a second SIGTERM stops draining and reports the number of dropped requests", func() {
			setEngineDelay(f, waitTimeout)
			original := startRequest(daemons[5], "dropped")
			daemons[5].signal(syscall.SIGTERM)
			So(fleet.WaitUntil(ctx, func() bool { return isDraining(ctx, caller, daemons[5].address) }), ShouldBeNil)
			daemons[5].signal(syscall.SIGTERM)
			So(daemons[5].wait(), ShouldEqual, 1)
			So(daemons[5].stderr.String(), ShouldContainSubstring, "1 requests dropped")
			So((<-original).Outcome, ShouldNotEqual, fleet.Answered)
		})
	})
}

func startAll(t *testing.T, f *fleet.Fleet, domains []string) []*daemon {
	dir := t.TempDir()
	var daemons []*daemon
	var list []*api.Instance
	for _, domain := range domains {
		for i := range 2 {
			name := fmt.Sprintf("%s-%d", domain, i+1)
			d, ports, err := startListeningDaemon(f, dir, name, domain)
			So(err, ShouldBeNil)
			daemons = append(daemons, d)
			list = append(list, &api.Instance{Name: name, Domain: domain, Region: "region-1", PeerAddress: ports[1], AdminAddress: ports[2]})
		}
	}
	f.Objects.SetInstances(&api.InstanceList{Instances: list})
	return daemons
}

// setEngineDelay makes all engines delay their responses to new requests.
func setEngineDelay(f *fleet.Fleet, delay time.Duration) {
	for _, e := range f.Engines {
		e.SetFaults(standin.EngineFaults{Delay: delay})
	}
}

// maxStartAttempts bounds the attempts to start a daemon. An attempt fails if another process takes one of the free
// ports before the daemon listens on it.
const maxStartAttempts = 5

// startListeningDaemon starts a daemon, waits until it listens, and returns it with its addresses.
func startListeningDaemon(f *fleet.Fleet, dir, name, domain string) (*daemon, []string, error) {
	for range maxStartAttempts {
		ports, err := fleet.FreeAddresses(3)
		if err != nil {
			return nil, nil, err
		}
		d, err := startDaemon(f, dir, name, domain, ports)
		if err != nil {
			return nil, nil, err
		}
		if d.awaitListening() {
			return d, ports, nil
		}
		d.wait()
	}
	return nil, nil, errors.New("ports were taken by other processes in every attempt to start a daemon")
}

// awaitListening waits until the daemon accepts connections. It returns false if the process exited.
func (d *daemon) awaitListening() bool {
	for {
		if conn, err := net.Dial("tcp", d.address); err == nil {
			conn.Close()
			return !d.hasExited()
		}
		if d.hasExited() {
			return false
		}
		time.Sleep(startPollInterval)
	}
}

func (d *daemon) hasExited() bool {
	select {
	case <-d.stderrDone:
		return true
	default:
		return false
	}
}

// startPollInterval is the interval between connection attempts to a starting daemon.
const startPollInterval = 10 * time.Millisecond

// awaitReady waits until an instance responds successfully to a request.
func awaitReady(ctx context.Context, caller *fleet.Caller, address string) error {
	return fleet.WaitUntil(ctx, func() bool {
		r := caller.Send(ctx, address, fleet.Request{Customer: "farm", Model: fleet.DoseModel, Prompt: "ready?"})
		return r.Outcome == fleet.Answered
	})
}

// isDraining reports whether the health check of an instance tells load balancers that it takes no new requests.
func isDraining(ctx context.Context, caller *fleet.Caller, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := caller.Client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusServiceUnavailable
}
