// Command pumicebench runs the experiments that the documentation refers to. Each runs a few instances on loopback and
// injects faults.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"time"

	"pumiceshelf/internal/bench"
	"pumiceshelf/internal/command"
	"pumiceshelf/internal/soak"
)

type listCommand struct{}

type runCommand struct {
	Seed   uint64 `long:"seed" default:"1" description:"seed of the load and the faults"`
	Policy string `long:"policy" description:"policy to run with; the first of the experiment's if absent"`
	Args   struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

type compareCommand struct {
	Seeds      string `long:"seeds" default:"1..20" description:"first and last seed"`
	PlotFolder string `long:"plot" description:"folder for a PNG plot"`
	Args       struct {
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

type capacityCommand struct{}

type soakCommand struct {
	Minutes int    `long:"minutes" default:"1" description:"how long to go on"`
	Seed    uint64 `long:"seed" default:"1" description:"first seed; each round takes the next"`
}

type processesCommand struct {
	Seed      uint64        `long:"seed" default:"1" description:"seed of the load and the faults"`
	Duration  time.Duration `long:"duration" default:"20s" description:"how long to send requests"`
	Instances int           `long:"instances" default:"6" description:"number of instances, each in a process of its own"`
	Program   string        `long:"program" description:"path of pumiceshelf; built from the source tree if absent"`
	Logs      string        `long:"logs" description:"existing folder for the settings and logs of the instances; a temporary one if absent"`
}

// faultStatus is the exit status of a run that ended with a fault of the soak test itself. A violated guarantee has status 1.
const faultStatus = 2

func main() {
	command.Main("pumicebench", []command.Command{
		{Name: "list", Short: "List the experiments", Long: "Prints each experiment with its policies.", Data: &listCommand{}},
		{Name: "run", Short: "Run one experiment", Long: "Prints one JSON object as the last line; fails if a promise broke.", Data: &runCommand{}},
		{Name: "compare", Short: "Compare policies", Long: "Runs every policy over the seeds; prints median/worst of each figure.", Data: &compareCommand{}},
		{Name: "capacity", Short: "Measure slopes", Long: "Measures what grows with instances, customers and budgets, for docs/CAPACITY.md.", Data: &capacityCommand{}},
		{Name: "processes", Short: "Run instances in separate processes under faults", Long: "Prints one JSON object as the last line; exits with status 1 if a guarantee was violated, 2 after a fault of the test itself.", Data: &processesCommand{}},
		{Name: "soak", Short: "Run two-faults on and on", Long: "Runs rounds of random faults on both deployments and sums them up.", Data: &soakCommand{}},
	})
}

// interruptContext returns a context that is canceled on an interrupt signal.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt)
}

func findExperiment(name string) (bench.Experiment, error) {
	e, ok := bench.Find(name)
	if !ok {
		return e, fmt.Errorf("unknown experiment %q; \"pumicebench list\" prints the available ones", name)
	}
	return e, nil
}

// Execute implements flags.Commander.
func (*listCommand) Execute([]string) error {
	for _, e := range bench.All() {
		fmt.Printf("%-18s %s\n", e.Name, e.Help)
		if len(e.Policies) > 1 {
			fmt.Printf("%-18s policies: %s\n", "", strings.Join(e.Policies, ", "))
		}
	}
	return nil
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	e, err := findExperiment(c.Args.Name)
	if err != nil {
		return err
	}
	policy := c.Policy
	if policy == "" {
		policy = e.Policies[0]
	}
	ctx, stop := interruptContext()
	defer stop()
	r, err := bench.Execute(ctx, e, c.Seed, policy)
	if err != nil {
		return err
	}
	fmt.Println(r.JSON())
	return r.Err()
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	e, err := findExperiment(c.Args.Name)
	if err != nil {
		return err
	}
	first, last, err := parseSeedRange(c.Seeds)
	if err != nil {
		return err
	}
	ctx, stop := interruptContext()
	defer stop()
	results, err := bench.Compare(ctx, e, first, last, os.Stdout, c.PlotFolder)
	for _, r := range results {
		err = errors.Join(err, r.Err())
	}
	return err
}

// parseSeedRange parses an inclusive range such as 1..20.
func parseSeedRange(text string) (first, last uint64, err error) {
	from, to, ok := strings.Cut(text, "..")
	first, err1 := strconv.ParseUint(from, 10, 64)
	last, err2 := strconv.ParseUint(to, 10, 64)
	if !ok || err1 != nil || err2 != nil || last < first {
		return 0, 0, fmt.Errorf("--seeds is %q, must be FIRST..LAST", text)
	}
	return first, last, nil
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	ctx, stop := interruptContext()
	defer stop()
	e, err := findExperiment("two-faults")
	if err != nil {
		return err
	}
	end := time.Now().Add(time.Duration(c.Minutes) * time.Minute)
	rounds, requests := 0, 0
	var failures error
	for seed := c.Seed; time.Now().Before(end) && ctx.Err() == nil; seed++ {
		r, err := bench.Execute(ctx, e, seed, e.Policies[0])
		if err != nil {
			return err
		}
		rounds++
		requests += r.Requests
		failures = errors.Join(failures, r.Err())
		fmt.Printf("seed %d: %d requests, %d false refusals, %d unknown, %d broken promises\n", seed, r.Requests, r.FalseRefusals, r.Unknown, len(r.Violations))
	}
	fmt.Printf("%d rounds with two faults each, %d requests\n", rounds, requests)
	return failures
}

// Execute implements flags.Commander.
func (*capacityCommand) Execute([]string) error {
	ctx, stop := interruptContext()
	defer stop()
	return bench.Capacity(ctx, os.Stdout)
}

// Execute implements flags.Commander.
func (c *processesCommand) Execute([]string) error {
	ctx, stop := interruptContext()
	defer stop()
	r, err := soak.Run(ctx, soak.Config{Seed: c.Seed, Duration: c.Duration, Instances: c.Instances, Program: c.Program, Folder: c.Logs})
	for _, trace := range r.Traces {
		fmt.Println(trace)
	}
	fmt.Println(r.JSON())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(faultStatus)
	}
	return r.Err()
}
