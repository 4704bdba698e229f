package process

import (
	"bytes"
	"errors"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what a process has used of the processor and of memory.
type Usage struct {
	CPU  time.Duration // in user and kernel mode
	RSS  int64         // resident memory now, in bytes
	File int64         // the part of RSS that is mapped files, such as the program's text, which processes share; bytes
	Peak int64         // the largest RSS so far, in bytes
}

const (
	// clockTicks is the number of ticks per second in /proc/PID/stat; fixed on Linux (USER_HZ).
	clockTicks = 100
	// utimeField and stimeField are the indexes in /proc/PID/stat of the ticks in user and kernel mode, after
	// the command's name.
	utimeField, stimeField = 11, 12
)

// Usage reads what the process has used so far.
func (p *Process) Usage() (u Usage, err error) {
	stat, err := p.readProc("stat")
	if err != nil {
		return u, err
	}
	_, rest, ok := bytes.Cut(stat, []byte(") ")) // the name in parentheses may contain spaces
	fields := strings.Fields(string(rest))
	if !ok || len(fields) <= stimeField {
		return u, errors.New("process: /proc/PID/stat can't be parsed")
	}
	for _, field := range []int{utimeField, stimeField} {
		ticks, _ := strconv.ParseInt(fields[field], 10, 64)
		u.CPU += time.Duration(ticks) * time.Second / clockTicks
	}
	status, err := p.readProc("status")
	if err != nil {
		return u, err
	}
	values := map[string]*int64{"VmRSS:": &u.RSS, "RssFile:": &u.File, "VmHWM:": &u.Peak}
	for line := range strings.SplitSeq(string(status), "\n") {
		fields := strings.Fields(line) // such as "VmRSS: 1234 kB"
		if len(fields) != 3 || values[fields[0]] == nil {
			continue
		}
		kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
		*values[fields[0]] = kilobytes << 10
	}
	return u, nil
}

// Traffic is what a process has read and written by system calls, on sockets and files together, in bytes.
type Traffic struct{ Read, Written int64 }

// Traffic reads the process's traffic so far.
func (p *Process) Traffic() (t Traffic, err error) {
	text, err := p.readProc("io")
	if err != nil {
		return t, err
	}
	values := map[string]*int64{"rchar": &t.Read, "wchar": &t.Written}
	for line := range strings.SplitSeq(string(text), "\n") {
		key, value, _ := strings.Cut(line, ": ")
		if values[key] == nil {
			continue
		}
		if *values[key], err = strconv.ParseInt(value, 10, 64); err != nil {
			return t, err
		}
	}
	return t, nil
}

// readProc reads a file of the process in /proc.
func (p *Process) readProc(name string) ([]byte, error) {
	return os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/" + name)
}
