// Command sprucelanectl is the operator's command. sprucelanectl --help lists what it does, and each command has --help.
//
// Exit codes: 0, done and nothing found; 1, it could not be done (no answer, refused); 2, the command line can't be used, or
// what was checked has findings.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"sprucelane.example/sprucelane/internal/node"
)

// The exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitFindings = 2 // also: the command line can't be used
)

// options are of every command.
type options struct {
	Output string `short:"o" long:"output" env:"SPRUCELANECTL_OUTPUT" choice:"text" choice:"json" default:"text" description:"form of the output"`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(arguments []string, out, errOut io.Writer) int {
	common := &options{}
	parser := flags.NewNamedParser("sprucelanectl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "The operator's command. Exit codes: 0 done and nothing found; 1 it could not be done (no answer, refused); " +
		"2 the command line can't be used, or what was checked has findings."
	if _, err := parser.AddGroup("Common options", "", common); err != nil {
		panic(err) // the struct above is wrong
	}
	screen := &printer{out: out, errOut: errOut, options: common}
	addSettings(parser, screen)
	addControl(parser, addConfig(parser, screen), screen)
	addDisk(parser, screen)
	_, err := parser.ParseArgs(arguments)
	return report(err, screen)
}

// report prints an error, in one place, and gives the exit code.
func report(err error, screen *printer) int {
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(screen.out, usage.Message)
			return exitOK
		}
		fmt.Fprintln(screen.errOut, usage.Message)
		return exitFindings
	}
	var findings node.Findings
	if errors.As(err, &findings) {
		screen.findings(findings)
		return exitFindings
	}
	fmt.Fprintln(screen.errOut, err)
	if errors.Is(err, errDamaged) {
		return exitFindings
	}
	return exitFailed
}

// add adds a command; the error can only be one of the program's own making.
func add(parent *flags.Command, name, short string, data any) *flags.Command {
	command, err := parent.AddCommand(name, short, short, data)
	if err != nil {
		panic(err)
	}
	return command
}
