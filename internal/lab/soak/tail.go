package soak

import (
	"bytes"
	"encoding/json"
	"os"
)

// tail reads what is added to a log.
type tail struct {
	path   string
	offset int64
	rest   []byte // the beginning of a line
}

// read hands over the whole lines that were added since.
func (t *tail) read(take func(entry)) {
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
	t.rest = append(t.rest, text[:n]...)
	for {
		line, rest, whole := bytes.Cut(t.rest, []byte("\n"))
		if !whole {
			return
		}
		t.rest = rest
		var one entry
		if json.Unmarshal(line, &one) == nil { // else it was cut off by a kill, or is the runtime's own
			take(one)
		}
	}
}
