package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"sprucelane.example/sprucelane/coord/replica"
	"sprucelane.example/sprucelane/coord/slots"
)

// diskVerify is the command "disk verify": it reads the log and snapshots in the data folder of a control
// process.
type diskVerify struct {
	Corrupt   bool `long:"corrupt" description:"read what the process kept of a corrupt disk when it last emptied it (disk_corrupt in its log)"`
	Arguments struct {
		Folder string `positional-arg-name:"DIR" description:"the data folder of a control process (data-dir of its settings)"`
	} `positional-args:"yes" required:"yes"`
	printer *printer
}

// verifyResult is the output of the command.
type verifyResult struct {
	Intact        bool      `json:"whole"`
	SnapshotBytes int       `json:"snapshot-bytes"`
	Records       int       `json:"records"` // appended since the snapshot
	Findings      []finding `json:"findings"`
}

// errCorrupt is returned if corruption was found. The findings have been printed by then, so report adds only
// this message and the exit code.
var errCorrupt = errors.New("acknowledged state is missing from the disk")

// Execute reports each corruption with its file and offset. It changes nothing on the disk.
func (c *diskVerify) Execute([]string) error {
	if _, err := os.Stat(c.Arguments.Folder); err != nil {
		return err
	}
	options := slots.Options{}
	if c.Corrupt {
		options.Prefix = replica.CorruptPrefix
	}
	contents, err := slots.Verify(slots.Directory(c.Arguments.Folder), options)
	if err != nil && !errors.Is(err, slots.ErrCorrupt) {
		return err
	}
	if err == nil && !contents.Found && c.Corrupt {
		return fmt.Errorf("%s has nothing that was kept of a corrupt disk", c.Arguments.Folder)
	}
	if err == nil && !contents.Found {
		return fmt.Errorf("%s holds no store of a control process", c.Arguments.Folder)
	}
	result := verifyResult{
		Intact:        err == nil,
		SnapshotBytes: len(contents.Snapshot),
		Records:       len(contents.Records),
		Findings:      []finding{},
	}
	for _, f := range contents.Findings {
		result.Findings = append(result.Findings, finding{
			Place: fmt.Sprintf("%s, byte %d", f.File, f.Offset),
			Text:  f.Problem,
		})
	}
	if printError := c.printer.print(result, result.write); printError != nil {
		return printError
	}
	if !result.Intact {
		return errCorrupt
	}
	return nil
}

// write prints the result as text.
func (v verifyResult) write(out io.Writer) {
	for _, f := range v.Findings {
		fmt.Fprintf(out, "%s: %s\n", f.Place, f.Text)
	}
	if v.Intact {
		fmt.Fprintf(out, "whole: a snapshot of %d bytes and %d records since\n", v.SnapshotBytes, v.Records)
	}
}

// addDisk adds the command group "disk".
func addDisk(parser *flags.Parser, printer *printer) {
	group := add(parser.Command, "disk", "disks of control processes", &struct{}{})
	add(group, "verify", "read the store on a disk and name every damage, changing nothing", &diskVerify{printer: printer})
}
