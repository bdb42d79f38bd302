// Command probe plays the cases of the second review: it starts the project's programs beside stand-ins and checks what clients get.
package main

import (
	"fmt"
	"os"
	"time"
)

// broken is the error of a case in which a rule was broken.
type broken struct{ text string }

func (b broken) Error() string { return b.text }

// cases are the cases by name. Each is played with the disruption or without it.
var cases = map[string]func(f *fleet, trouble bool) error{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: probe CASE PROGRAM RECORD")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "probe: no case %q\n", os.Args[1])
		os.Exit(2)
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{out: out, start: time.Now()}
	f, err := newFleet(rec, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption: %t", os.Args[1], trouble)
	err = play(f, trouble)
	f.close()
	code := 0
	switch b := err.(type) {
	case nil:
		rec.line("the rule held")
	case broken:
		rec.line("the rule was broken: %s", b.text)
		fmt.Println("broken:", b.text)
		code = 1
	default:
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		code = 2
	}
	_ = out.Close()
	os.Exit(code)
}
