// Package command runs the subcommands of the project's programs.
package command

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"
)

// Command is a subcommand. Data holds its options and executes it.
type Command struct {
	Name, Short, Long string
	Data              flags.Commander
}

// Main parses the command line and runs the subcommand that it names. If either fails, it exits with status 1.
func Main(program string, commands []Command) {
	parser := flags.NewNamedParser(program, flags.Default)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.Name, c.Short, c.Long, c.Data); err != nil {
			panic(err) // Two commands have the same name.
		}
	}
	_, err := parser.Parse()
	var usage *flags.Error
	if err == nil || errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		return
	}
	os.Exit(1)
}
