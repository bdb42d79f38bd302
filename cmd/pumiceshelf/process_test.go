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

// daemonVariable makes the test binary run the daemon's main instead of the tests.
const daemonVariable = "PUMICESHELF_TEST_DAEMON"

// processLimit bounds each wait of these tests; no verdict depends on how long a step took.
const processLimit = 60 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// daemon is one instance in a process of its own.
type daemon struct {
	command *exec.Cmd
	address string
	// said is what the process wrote to its standard error; read is closed when it is complete.
	said strings.Builder
	read chan struct{}
}

func startDaemon(f *fleet.Fleet, folder, name, domain string, ports []string) (*daemon, error) {
	file := filepath.Join(folder, name+".hujson")
	if err := os.WriteFile(file, []byte(f.SettingsFile(name, domain, ports)), 0o600); err != nil {
		return nil, err
	}
	c := exec.Command(os.Args[0], "run", "--settings", file)
	c.Env = append(os.Environ(), daemonVariable+"=1")
	stderr, err := c.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	d := &daemon{command: c, address: ports[0], read: make(chan struct{})}
	go d.readErrors(name, stderr)
	return d, nil
}

// readErrors keeps what the process says and shows broken invariants.
func (d *daemon) readErrors(name string, stderr io.Reader) {
	defer close(d.read)
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		d.said.WriteString(lines.Text() + "\n")
		if strings.Contains(lines.Text(), "invariant") {
			fmt.Fprintln(os.Stderr, name, lines.Text())
		}
	}
}

// end waits for the process and returns its exit code.
func (d *daemon) end() int {
	<-d.read
	d.command.Wait()
	return d.command.ProcessState.ExitCode()
}

func (d *daemon) signal(s os.Signal) { d.command.Process.Signal(s) }

// TestProcesses runs six instances as separate processes and kills, freezes and drains them under load.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	Convey("Given six instances as processes", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), processLimit)
		Reset(cancel)
		c := fleet.Deployment(fleet.AlWusta)
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
				d.end()
			}
		})
		caller := f.NewCaller()
		for _, d := range daemons {
			So(ready(ctx, caller, d.address), ShouldBeNil)
		}
		ask := func(key string) fleet.Ask {
			return fleet.Ask{Customer: "farm", Model: fleet.DoseModel, Prompt: "Plot of " + key, Key: key, Deadline: 20 * time.Second}
		}

		// start sends a request that runs at most once and returns when an engine runs it. A refusal as not run is asked
		// again, as callers do.
		start := func(at *daemon, key string) <-chan fleet.Reply {
			open := make(chan fleet.Reply, 1)
			go func() {
				r := caller.Send(ctx, at.address, ask(key))
				for r.Outcome == fleet.NotRun && ctx.Err() == nil {
					r = caller.Send(ctx, at.address, ask(key))
				}
				open <- r
			}()
			err := fleet.Until(ctx, func() bool { return f.RunsOf("Plot of "+key) > 0 || len(open) > 0 })
			So(err, ShouldBeNil)
			if f.RunsOf("Plot of "+key) != 1 {
				So(<-open, ShouldResemble, "a request that runs once")
			}
			return open
		}

		Convey("a killed instance's request never runs twice, and its key is told unknown", func() {
			hold(f, processLimit)
			lost := start(daemons[0], "killed")
			daemons[0].signal(syscall.SIGKILL)
			So((<-lost).Outcome, ShouldEqual, fleet.Broken)
			hold(f, 0)
			again := caller.Send(ctx, daemons[3].address, ask("killed"))
			So(again.Outcome, ShouldBeIn, fleet.Unknown, fleet.Answered)
			So(f.RunsOf("Plot of killed"), ShouldEqual, 1)
		})
		Convey("a frozen instance's request never runs twice after it wakes", func() {
			frozen := start(daemons[1], "frozen")
			daemons[1].signal(syscall.SIGSTOP)
			again := caller.Send(ctx, daemons[4].address, ask("frozen"))
			daemons[1].signal(syscall.SIGCONT)
			So(again.Outcome, ShouldBeIn, fleet.Unknown, fleet.Answered, fleet.NotRun)
			first := <-frozen
			So(first.Wrong, ShouldBeFalse)
			So(f.RunsOf("Plot of frozen"), ShouldEqual, 1)
		})
		Convey("SIGTERM finishes what is in progress and exits with success", func() {
			open := start(daemons[2], "drained")
			daemons[2].signal(syscall.SIGTERM)
			reply := <-open
			So(reply.Outcome, ShouldEqual, fleet.Answered)
			So(reply.Partial, ShouldBeFalse)
			So(daemons[2].end(), ShouldEqual, 0)
		})
		Convey("a second SIGTERM ends the drain and says what is dropped", func() {
			hold(f, processLimit)
			open := start(daemons[5], "dropped")
			daemons[5].signal(syscall.SIGTERM)
			So(fleet.Until(ctx, func() bool { return refuses(ctx, caller, daemons[5].address) }), ShouldBeNil)
			daemons[5].signal(syscall.SIGTERM)
			So(daemons[5].end(), ShouldEqual, 1)
			So(daemons[5].said.String(), ShouldContainSubstring, "1 requests dropped")
			So((<-open).Outcome, ShouldNotEqual, fleet.Answered)
		})
	})
}

func startAll(t *testing.T, f *fleet.Fleet, domains []string) []*daemon {
	folder := t.TempDir()
	var daemons []*daemon
	var list []*api.Instance
	for _, domain := range domains {
		for i := range 2 {
			name := fmt.Sprintf("%s-%d", domain, i+1)
			d, ports, err := listeningDaemon(f, folder, name, domain)
			So(err, ShouldBeNil)
			daemons = append(daemons, d)
			list = append(list, &api.Instance{Name: name, Domain: domain, Region: "region-1", PeerAddress: ports[1], AdminAddress: ports[2]})
		}
	}
	f.Objects.SetInstances(&api.InstanceList{Instances: list})
	return daemons
}

// hold lets all engines run requests that come from now on and answer them after a delay.
func hold(f *fleet.Fleet, delay time.Duration) {
	for _, e := range f.Engines {
		e.SetFaults(standin.EngineFaults{Delay: delay})
	}
}

// portTries is how often a daemon is started on other ports when another process took one before it.
const portTries = 5

// listeningDaemon starts a daemon and returns it with its addresses once it listens.
func listeningDaemon(f *fleet.Fleet, folder, name, domain string) (*daemon, []string, error) {
	for range portTries {
		ports, err := fleet.FreePorts(3)
		if err != nil {
			return nil, nil, err
		}
		d, err := startDaemon(f, folder, name, domain, ports)
		if err != nil {
			return nil, nil, err
		}
		if d.listens() {
			return d, ports, nil
		}
		d.end()
	}
	return nil, nil, errors.New("no daemon found its ports free")
}

// listens waits until the daemon takes connections; false means that it ended.
func (d *daemon) listens() bool {
	for {
		if conn, err := net.Dial("tcp", d.address); err == nil {
			conn.Close()
			return !d.ended()
		}
		if d.ended() {
			return false
		}
		time.Sleep(startPoll)
	}
}

func (d *daemon) ended() bool {
	select {
	case <-d.read:
		return true
	default:
		return false
	}
}

// startPoll is the pause between two looks at a daemon that starts.
const startPoll = 10 * time.Millisecond

// ready waits until an instance answers a request.
func ready(ctx context.Context, caller *fleet.Caller, address string) error {
	return fleet.Until(ctx, func() bool {
		r := caller.Send(ctx, address, fleet.Ask{Customer: "farm", Model: fleet.DoseModel, Prompt: "ready?"})
		return r.Outcome == fleet.Answered
	})
}

// refuses says whether an instance tells balancers that it takes no requests.
func refuses(ctx context.Context, caller *fleet.Caller, address string) bool {
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
