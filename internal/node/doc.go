// Package node has what every role of the system shares: the settings file, the ports between machines, and
// the set-up of the log. It doesn't know what a role does with them. Package program has what the commands
// share when they start a process: signals, flags and exit codes.
//
// # Settings file
//
// The environment variable SPRUCELANE_SETTINGS names a file in the format of Java properties, key=value, in
// UTF-8 and without expansion of variables. Keys that aren't known here are ignored, as the platform may add
// some. All faults of a file are reported together, each with its line and key (Findings). Type Settings
// documents each setting with its effect, unit and default.
//
// Settings are immutable. SIGHUP reads the file again and makes new ones, of which a running process takes
// over the seeds alone; the others take effect at the next start. A file with faults changes nothing.
package node
