// Package command runs the subcommands of the project's programs.
package command

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

// Command is one subcommand. Data holds its options and implements flags.Commander.
type Command struct {
	Name, Short, Long string
	Data              flags.Commander
}

// Main parses the command line, runs the subcommand that it names and ends the process with code 1 if that fails.
func Main(program string, commands []Command) {
	parser := flags.NewNamedParser(program, flags.Default)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.Name, c.Short, c.Long, c.Data); err != nil {
			panic(err) // Two commands with one name.
		}
	}
	_, err := parser.Parse()
	var usage *flags.Error
	if err == nil || errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		return
	}
	os.Exit(1)
}
