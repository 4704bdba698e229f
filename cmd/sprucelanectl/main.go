// Command sprucelanectl is the operators' command line: it checks settings files, configurations and disks
// offline, and reads and changes the configuration and retires store machines through control processes.
// sprucelanectl --help lists the commands, and each has --help.
//
// Exit codes: 0, the command succeeded and a check had no findings; 1, the command failed (no answer, or the
// request was rejected); 2, the command line is invalid, or a check has findings.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"sprucelane.example/sprucelane/internal/node"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitFindings = 2 // also: the command line is invalid
)

// options holds the options that all commands have.
type options struct {
	Output string `short:"o" long:"output" env:"SPRUCELANECTL_OUTPUT" choice:"text" choice:"json" default:"text" description:"form of the output"`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes a command line and returns the exit code.
func run(arguments []string, out, errOut io.Writer) int {
	common := &options{}
	parser := flags.NewNamedParser("sprucelanectl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "The operator's command. Exit codes: 0 done and nothing found; " +
		"1 it could not be done (no answer, refused); " +
		"2 the command line can't be used, or what was checked has findings."
	if _, err := parser.AddGroup("Common options", "", common); err != nil {
		panic(err) // a programming error: invalid struct tags of options
	}
	printer := &printer{out: out, errOut: errOut, options: common}
	addSettings(parser, printer)
	addConfig(parser, printer)
	addRetire(parser, printer)
	addStatus(parser, printer)
	addDisk(parser, printer)
	_, err := parser.ParseArgs(arguments)
	return report(err, printer)
}

// report prints an error, if any, and returns the exit code for it.
func report(err error, printer *printer) int {
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(printer.out, usage.Message)
			return exitOK
		}
		fmt.Fprintln(printer.errOut, usage.Message)
		return exitFindings
	}
	var findings node.Findings
	if errors.As(err, &findings) {
		printer.findings(findings)
		return exitFindings
	}
	fmt.Fprintln(printer.errOut, err)
	if errors.Is(err, errCorrupt) {
		return exitFindings
	}
	return exitFailed
}

// add adds a command to its parent. It panics on an error, which is a programming error: invalid struct tags of
// data, or a duplicate name.
func add(parent *flags.Command, name, short string, data any) *flags.Command {
	command, err := parent.AddCommand(name, short, short, data)
	if err != nil {
		panic(err)
	}
	return command
}
