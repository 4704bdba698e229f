// Package node has the parts that all roles of the system share: the settings file, the ports between machines,
// and the set-up of the log. It has no code of a single role. Package program has what the commands share to
// start a process: signals, flags and exit codes.
//
// # Settings file
//
// The environment variable SPRUCELANE_SETTINGS names a file in the format of Java properties, key=value, in
// UTF-8 and without expansion of variables. Unknown keys are ignored, as the platform may add keys.
// All errors of a file are reported together, each with its line and key (Findings). Type Settings documents
// each setting with its effect, unit and default.
//
// A Settings value is immutable. On SIGHUP the file is read again into a new one, of which a running process
// applies only the seeds; the other settings take effect at the next start. A file with errors changes nothing.
package node
