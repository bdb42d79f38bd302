// Command reviewthree plays the scripts of the third review. It starts the project's own program as separate processes, with stand-ins of the
// platform, the servers and the clients, and writes record.txt.
//
//	reviewthree CASE FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict int

const (
	held     verdict = 0
	broken   verdict = 1
	couldNot verdict = 2
)

// cases are the scripts by name.
var cases = map[string]func(r *record, trouble bool) verdict{
	"leaving": playLeaving,
	"deadly":  playDeadly,
	"pulses":  playPulses,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewthree CASE FOLDER")
		os.Exit(int(couldNot))
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(couldNot))
	}
	r := &record{out: out, begun: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, disruption: %t", os.Args[1], trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan verdict, 1)
	go func() { done <- cases[os.Args[1]](r, trouble) }()
	v := couldNot
	select {
	case v = <-done:
	case <-signals:
		endAll()
	case <-time.After(115 * time.Second):
		r.line("the case took too long")
		endAll()
	}
	r.line("result: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[v])
	fmt.Println([...]string{"held", "broken", "could not run"}[v])
	os.Exit(int(v))
}
