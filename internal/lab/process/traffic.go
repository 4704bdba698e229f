package process

import (
	"os"
	"strconv"
	"strings"
)

// Traffic is what a process has read and written by system calls, on sockets and files together, in bytes.
type Traffic struct{ Read, Written int64 }

// Traffic reads what the process has read and written so far.
func (p *Process) Traffic() (t Traffic, err error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/io")
	if err != nil {
		return t, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		key, value, _ := strings.Cut(line, ": ")
		to := map[string]*int64{"rchar": &t.Read, "wchar": &t.Written}[key]
		if to == nil {
			continue
		}
		if *to, err = strconv.ParseInt(value, 10, 64); err != nil {
			return t, err
		}
	}
	return t, nil
}
