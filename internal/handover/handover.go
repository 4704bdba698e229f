// Package handover owns what a gateway's process gives the one that follows it: the open sockets, the state, and word of
// what it still sends on. The two meet at a Unix socket in a folder that both have. It must never decide when to serve:
// the wiring moves internal/service; and it believes nothing of the other side that it has not checked.
//
// The form: frames of a length (4 bytes, of what follows), a kind (1 byte) and the content. The successor greets with the
// version and the gateway's name; the predecessor offers (JSON, the descriptors beside it) or says that it is busy; the
// successor takes; the state comes in frames with its sum at the end; the successor says that it is done; from then on
// the predecessor tells what it still sends and holds, until its process ends.
package handover

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Version is the form's. Another one is not understood, and both sides do without.
const Version = 1

type frameKind byte

const (
	frameHello frameKind = iota + 1
	frameOffer
	frameBusy
	frameTake
	frameState
	frameStateEnd
	frameDone
	frameServe
	frameUpdate
)

const (
	maxFrameSize  = 1 << 20
	maxStateSize  = 16 << 20
	maxFiles      = 16
	maxPathLength = 100 // of a Unix socket, with what is appended while it is made

	replyTimeout = 2 * time.Second  // for a frame that the other side has at hand
	takeTimeout  = 15 * time.Second // for a successor that is still being built
	readInterval = time.Minute      // a read that waits for no certain time is begun anew so often
)

// Offer is what a predecessor says of itself. Files go by these names, in this order.
type Offer struct {
	Files          []string `json:"files"`
	DrainRequested bool     `json:"drained"`
	Usage          Usage    `json:"use"`
}

// Use is what a process has open.
type Usage struct {
	ClientConns int `json:"clients"`
	ServerConns int `json:"members"`
}

// Errors that a successor can do something about.
var (
	ErrNoPredecessor = errors.New("nobody to hand over")
	ErrBusy          = errors.New("the predecessor hands over to another")
)

// Path gives where a gateway's processes meet. The name goes into the file's name as far as it can.
func Path(dir, name string) (string, error) {
	safe := make([]byte, 0, len(name))
	for i := 0; i < len(name); i++ {
		c := name[i]
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' {
			safe = append(safe, c)
		} else {
			safe = fmt.Appendf(safe, ".%02x", c)
		}
	}
	path := filepath.Join(dir, "sprucelane-"+string(safe)+".sock")
	if len(path) > maxPathLength-len(".4194304") {
		return "", fmt.Errorf("%s: too long for a socket", path)
	}
	return path, nil
}

// link is one side of a meeting.
type conn struct{ *net.UnixConn }

func (l conn) writeFrame(k frameKind, content []byte, files ...*os.File) error {
	if len(content) > maxFrameSize-1 {
		return errors.New("frame too long")
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(content)+1))
	frame = append(append(frame, byte(k)), content...)
	l.SetWriteDeadline(time.Now().Add(replyTimeout))
	var rights []byte
	if len(files) > 0 {
		fds := make([]int, len(files))
		for i, f := range files { // Fd would make the sockets blocking, and so those of the listeners that they stand for
			raw, err := f.SyscallConn()
			if err != nil {
				return err
			}
			raw.Control(func(fd uintptr) { fds[i] = int(fd) })
		}
		rights = syscall.UnixRights(fds...)
	}
	n, _, err := l.WriteMsgUnix(frame, rights, nil)
	for err == nil && n < len(frame) {
		var more int
		more, err = l.Write(frame[n:])
		n += more
	}
	return err
}

// receive reads one frame, and the files that came with it. Within 0 it waits for as long as the other side lives.
func (l conn) readFrame(within time.Duration) (k frameKind, content []byte, files []*os.File, err error) {
	defer func() {
		if err != nil {
			closeAll(files)
			files = nil
		}
	}()
	head, rights := make([]byte, 5), make([]byte, syscall.CmsgSpace(4*maxFiles))
	l.SetReadDeadline(time.Now().Add(cmp.Or(within, readInterval)))
	n, got, _, _, err := l.ReadMsgUnix(head, rights)
	for within == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		l.SetReadDeadline(time.Now().Add(readInterval))
		n, got, _, _, err = l.ReadMsgUnix(head, rights)
	}
	l.SetReadDeadline(time.Now().Add(cmp.Or(within, replyTimeout)))
	if n == 0 && err == nil {
		err = io.EOF
	}
	if err != nil {
		return 0, nil, nil, err
	}
	if files, err = parseRights(rights[:got]); err != nil {
		return 0, nil, files, err
	}
	if _, err = io.ReadFull(l, head[n:]); err != nil {
		return 0, nil, files, err
	}
	size := binary.BigEndian.Uint32(head)
	if size < 1 || size > maxFrameSize {
		return 0, nil, files, fmt.Errorf("a frame of %d bytes", size)
	}
	content = make([]byte, size-1)
	_, err = io.ReadFull(l, content)
	return frameKind(head[4]), content, files, err
}

// want reads one frame of a kind that brings no files.
func (l conn) expect(want frameKind, within time.Duration) ([]byte, error) {
	k, content, files, err := l.readFrame(within)
	closeAll(files)
	if err != nil {
		return nil, err
	}
	if k != want {
		return nil, fmt.Errorf("a frame of kind %d, not %d", k, want)
	}
	return content, nil
}

// received gives the files whose descriptors a message brought.
func parseRights(rights []byte) (files []*os.File, err error) {
	if len(rights) == 0 {
		return nil, nil
	}
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	for i := range messages {
		fds, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			continue // of another sort
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handed-over"))
		}
	}
	return files, nil
}

func closeAll(files []*os.File) {
	for _, f := range files {
		f.Close()
	}
}

// trusted tells whether the other side is a process of the same user.
func sameUser(c *net.UnixConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	same := false
	raw.Control(func(fd uintptr) {
		cred, err := syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
		same = err == nil && int(cred.Uid) == os.Geteuid()
	})
	return same
}

// greeting is what a successor says first.
type hello struct {
	Version int    `json:"version"`
	Name    string `json:"name"`
}

// sendState sends the state in frames, and its sum.
func (l conn) writeState(all []byte) error {
	sum := crc32.Checksum(all, crc32.MakeTable(crc32.Castagnoli))
	for len(all) > 0 {
		n := min(len(all), maxFrameSize/4)
		if err := l.writeFrame(frameState, all[:n]); err != nil {
			return err
		}
		all = all[n:]
	}
	return l.writeFrame(frameStateEnd, binary.BigEndian.AppendUint32(nil, sum))
}

// receiveState gives the state, if it came whole.
func (l conn) readState() (all []byte, err error) {
	for until := time.Now().Add(replyTimeout); ; {
		k, content, files, err := l.readFrame(max(time.Until(until), time.Millisecond))
		closeAll(files)
		switch {
		case err != nil:
			return nil, err
		case k == frameState && len(all)+len(content) <= maxStateSize:
			all = append(all, content...)
		case k == frameStateEnd && len(content) == 4:
			if crc32.Checksum(all, crc32.MakeTable(crc32.Castagnoli)) != binary.BigEndian.Uint32(content) {
				return nil, errors.New("the state's sum is wrong")
			}
			return all, nil
		default:
			return nil, fmt.Errorf("a frame of kind %d in the state", k)
		}
	}
}

func decode(content []byte, into any) error {
	if err := json.Unmarshal(content, into); err != nil {
		return fmt.Errorf("odd content: %w", err)
	}
	return nil
}
