package soak

import (
	"bytes"
	"encoding/json"
	"os"
)

// tail reads what is added to a log.
type logTail struct {
	path        string
	offset      int64
	partialLine []byte // the beginning of a line
}

// read hands over the whole lines that were added since.
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
		line, rest, whole := bytes.Cut(t.partialLine, []byte("\n"))
		if !whole {
			return
		}
		t.partialLine = rest
		var one logEntry
		if json.Unmarshal(line, &one) == nil { // else it was cut off by a kill, or is the runtime's own
			take(one)
		}
	}
}
