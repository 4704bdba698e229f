package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"time"
)

// Version is the protocol's version. Processes with different versions don't hand over.
const Version = 1

// frameKind is the kind of a frame; see the package comment.
type frameKind byte

const (
	frameHello frameKind = iota + 1
	frameOffer
	frameBusy // the predecessor hands over to another process
	frameTake
	frameState
	frameStateEnd
	frameDone // the successor has the state and is about to serve
	frameServe
	frameUpdate
)

// Bounds on what the other side sends.
const (
	maxFrameSize  = 1 << 20 // bytes of kind and content
	maxStateSize  = 16 << 20
	maxFiles      = 16
	stateFrameLen = maxFrameSize / 4 // bytes of the state in a frame
)

const (
	replyTimeout = 2 * time.Second  // for a frame that the other side has ready, and for a write
	takeTimeout  = 15 * time.Second // for a successor that is still starting
	// readInterval is after how long a read that may take any time is begun again.
	readInterval = time.Minute
)

// hello is the content of the successor's first frame.
type hello struct {
	Version int    `json:"version"`
	Name    string `json:"name"` // the gateway's
}

// Offer is what a predecessor offers to a successor.
type Offer struct {
	// Files names the sockets ([ListenerName], [PacketConnName]) in the order of their descriptors.
	Files []string `json:"files"`
	// DrainRequested is whether operators have asked the gateway to drain.
	DrainRequested bool `json:"drained"`
	// Usage is what the predecessor uses.
	Usage Usage `json:"use"`
}

// Usage is what a process uses of the gateway's limits: connections that are open, or that it may still need.
type Usage struct {
	ClientConns int `json:"clients"`
	ServerConns int `json:"members"`
}

// Errors of [Connect] that are no failures.
var (
	// ErrNoPredecessor: no process listens, or only its socket file is left.
	ErrNoPredecessor = errors.New("handover: no predecessor")
	// ErrBusy: the predecessor hands over to another process.
	ErrBusy = errors.New("handover: predecessor is busy with another successor")
)

// ListenerName is the name of a listener that is open at an address.
func ListenerName(addr string) string { return "tcp " + addr }

// PacketConnName is the name of a packet connection that is open at an address.
func PacketConnName(addr string) string { return "udp " + addr }

const (
	maxPathLength = 100 // bytes of a Unix socket's path; Linux allows 107
	// maxPathSuffix is the longest suffix of a socket that is being made: the highest process ID of Linux.
	maxPathSuffix = ".4194304"
)

// Path returns the path of the socket at which the processes of the gateway of a name meet in dir. Characters other
// than letters, digits, - and _ are escaped. A path that is too long for a Unix socket is an error.
func Path(dir, name string) (string, error) {
	escaped := make([]byte, 0, len(name))
	for i := range len(name) {
		c := name[i]
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' {
			escaped = append(escaped, c)
		} else {
			escaped = fmt.Appendf(escaped, ".%02x", c)
		}
	}
	path := filepath.Join(dir, "sprucelane-"+string(escaped)+".sock")
	if len(path) > maxPathLength-len(maxPathSuffix) {
		return "", fmt.Errorf("handover: %s: too long for a socket", path)
	}
	return path, nil
}

// decode decodes the JSON content of a frame.
func decode(content []byte, into any) error {
	if err := json.Unmarshal(content, into); err != nil {
		return fmt.Errorf("handover: malformed content: %w", err)
	}
	return nil
}
