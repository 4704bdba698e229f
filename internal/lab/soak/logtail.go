package soak

import (
	"bytes"
	"encoding/json"
	"os"
)

// logTail reads a growing log of JSON lines.
type logTail struct {
	path        string
	offset      int64  // in bytes, of what hasn't been read
	partialLine []byte // read, without its newline yet
}

// read calls take for each line that was completed since the last call. Lines that aren't JSON are skipped: a
// kill may have truncated them, or the Go runtime printed them.
func (t *logTail) read(take func(logEntry)) {
	file, err := os.Open(t.path)
	if err != nil {
		return // nothing was logged yet
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil || info.Size() == t.offset {
		return
	}
	text := make([]byte, info.Size()-t.offset)
	n, _ := file.ReadAt(text, t.offset)
	t.offset += int64(n)
	t.partialLine = append(t.partialLine, text[:n]...)
	for {
		line, rest, complete := bytes.Cut(t.partialLine, []byte("\n"))
		if !complete {
			return
		}
		t.partialLine = rest
		var entry logEntry
		if json.Unmarshal(line, &entry) == nil {
			take(entry)
		}
	}
}
