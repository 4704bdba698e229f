package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"time"
)

// Version is the protocol's version. No handover takes place between processes with different versions.
const Version = 1

// frameKind is the kind of a frame; see the package comment.
type frameKind byte

const (
	frameHello frameKind = iota + 1
	frameOffer
	frameBusy // the predecessor is handing over to another process
	frameTake
	frameState
	frameStateEnd
	frameDone // the successor has received the state and is about to serve
	frameServe
	frameUpdate
)

// Limits on the data that the other side sends.
const (
	maxFrameSize  = 1 << 20 // bytes of kind and content
	maxStateSize  = 16 << 20
	maxFiles      = 16
	stateFrameLen = maxFrameSize / 4 // maximum bytes of the state in one frame
)

const (
	replyTimeout = 2 * time.Second  // for a write, and for a frame that the other side can send at once
	takeTimeout  = 15 * time.Second // for the take frame of a successor, which starts first
	// readInterval is the time after which a read without a timeout is restarted.
	readInterval = time.Minute
)

// hello is the content of the successor's first frame.
type hello struct {
	Version int    `json:"version"`
	Name    string `json:"name"` // name of the gateway
}

// Offer describes the sockets and the status that a predecessor offers to a successor.
type Offer struct {
	// Files names the sockets ([ListenerName], [PacketConnName]) in the order of their descriptors.
	Files []string `json:"files"`
	// DrainRequested reports whether operators have requested that the gateway drain.
	DrainRequested bool `json:"drained"`
	// Usage is the predecessor's usage of the gateway's limits.
	Usage Usage `json:"use"`
}

// Usage is a process's usage of the gateway's limits: the connections that it has open or may still need.
type Usage struct {
	ClientConns int `json:"clients"`
	ServerConns int `json:"members"`
}

// Errors of [Connect] that are expected in normal operation.
var (
	// ErrNoPredecessor: no process listens at the path; a socket file may have been left there.
	ErrNoPredecessor = errors.New("handover: no predecessor")
	// ErrBusy: the predecessor is handing over to another process.
	ErrBusy = errors.New("handover: predecessor is busy with another successor")
)

// ListenerName returns the name of the listener at an address in Offer.Files.
func ListenerName(addr string) string { return "tcp " + addr }

// PacketConnName returns the name of the datagram socket at an address in Offer.Files.
func PacketConnName(addr string) string { return "udp " + addr }

const (
	maxPathLength = 100 // bytes of a Unix socket's path; Linux allows 107
	// maxPathSuffix is the longest suffix of a temporary socket's path (see Predecessor.listen): the highest process ID
	// of Linux.
	maxPathSuffix = ".4194304"
)

// Path returns the path in dir of the socket through which processes of the gateway with the given name communicate.
// Characters of the name other than letters, digits, - and _ are escaped. It returns an error if the path is too long
// for a Unix socket.
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
		return "", fmt.Errorf("handover: %s: path too long for a Unix socket", path)
	}
	return path, nil
}

// decode decodes the JSON content of a frame into the value that into points to.
func decode(content []byte, into any) error {
	if err := json.Unmarshal(content, into); err != nil {
		return fmt.Errorf("handover: decoding a frame's JSON content: %w", err)
	}
	return nil
}
