package handover

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// conn is one side of a connection between the two processes.
type conn struct{ *net.UnixConn }

// frame is a frame that was read. The caller of readFrame must close its files.
type frame struct {
	kind    frameKind
	content []byte
	files   []*os.File // files whose descriptors were received with the frame
}

const (
	frameLengthSize = 4
	frameHeaderSize = frameLengthSize + 1 // length and kind
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// writeFrame writes a frame and sends duplicates of the files' descriptors with it. A single write times out after
// replyTimeout.
func (c conn) writeFrame(kind frameKind, content []byte, files ...*os.File) error {
	if len(content) > maxFrameSize-1 {
		return errors.New("handover: frame too long")
	}
	encoded := binary.BigEndian.AppendUint32(nil, uint32(len(content)+1))
	encoded = append(append(encoded, byte(kind)), content...)
	c.SetWriteDeadline(time.Now().Add(replyTimeout))
	rights, err := encodeRights(files)
	if err != nil {
		return err
	}
	n, _, err := c.WriteMsgUnix(encoded, rights, nil)
	for err == nil && n < len(encoded) {
		var more int
		more, err = c.Write(encoded[n:])
		n += more
	}
	return err
}

// readFrame reads one frame. With a timeout of 0 it waits for the beginning of the frame until the other side closes
// the connection. If it returns an error, the frame has no files.
func (c conn) readFrame(timeout time.Duration) (f frame, err error) {
	defer func() {
		if err != nil {
			closeAll(f.files)
			f.files = nil
		}
	}()
	// The descriptors are received together with the first byte of the frame.
	header, rights := make([]byte, frameHeaderSize), make([]byte, syscall.CmsgSpace(4*maxFiles))
	c.SetReadDeadline(time.Now().Add(cmp.Or(timeout, readInterval)))
	n, rightsLen, _, _, err := c.ReadMsgUnix(header, rights)
	for timeout == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.SetReadDeadline(time.Now().Add(readInterval))
		n, rightsLen, _, _, err = c.ReadMsgUnix(header, rights)
	}
	c.SetReadDeadline(time.Now().Add(cmp.Or(timeout, replyTimeout))) // for the rest of the frame
	if n == 0 && err == nil {
		err = io.EOF
	}
	if err != nil {
		return f, err
	}
	if f.files, err = parseRights(rights[:rightsLen]); err != nil {
		return f, err
	}
	if _, err = io.ReadFull(c, header[n:]); err != nil {
		return f, err
	}
	size := binary.BigEndian.Uint32(header)
	if size < 1 || size > maxFrameSize {
		return f, fmt.Errorf("handover: invalid frame length %d", size)
	}
	f.kind, f.content = frameKind(header[frameLengthSize]), make([]byte, size-1)
	_, err = io.ReadFull(c, f.content)
	return f, err
}

// expect reads one frame and returns its content. It closes any files of the frame, and returns an error if the frame
// is not of the kind want.
func (c conn) expect(want frameKind, timeout time.Duration) ([]byte, error) {
	f, err := c.readFrame(timeout)
	closeAll(f.files)
	if err != nil {
		return nil, err
	}
	if f.kind != want {
		return nil, fmt.Errorf("handover: received a frame of kind %d, want %d", f.kind, want)
	}
	return f.content, nil
}

// writeState writes the state in frames of at most stateFrameLen bytes, followed by its checksum.
func (c conn) writeState(state []byte) error {
	sum := crc32.Checksum(state, crcTable)
	for len(state) > 0 {
		n := min(len(state), stateFrameLen)
		if err := c.writeFrame(frameState, state[:n]); err != nil {
			return err
		}
		state = state[n:]
	}
	return c.writeFrame(frameStateEnd, binary.BigEndian.AppendUint32(nil, sum))
}

// readState reads the state that writeState writes. It returns an error if the state doesn't arrive completely within
// replyTimeout, is too long or has a wrong checksum.
func (c conn) readState() (state []byte, err error) {
	for until := time.Now().Add(replyTimeout); ; {
		f, err := c.readFrame(max(time.Until(until), time.Millisecond))
		closeAll(f.files)
		switch {
		case err != nil:
			return nil, err
		case f.kind == frameState && len(state)+len(f.content) <= maxStateSize:
			state = append(state, f.content...)
		case f.kind == frameStateEnd && len(f.content) == crc32.Size:
			if crc32.Checksum(state, crcTable) != binary.BigEndian.Uint32(f.content) {
				return nil, errors.New("handover: wrong checksum of the state")
			}
			return state, nil
		default:
			return nil, fmt.Errorf("handover: unexpected frame of kind %d within the state, or state too long", f.kind)
		}
	}
}

// encodeRights encodes the files' descriptors as ancillary data (SCM_RIGHTS), nil if there are no files. It doesn't use
// os.File.Fd, because that would make the sockets blocking, and also the sockets of which they are duplicates.
func encodeRights(files []*os.File) ([]byte, error) {
	if len(files) == 0 {
		return nil, nil
	}
	fds := make([]int, len(files))
	for i, f := range files {
		raw, err := f.SyscallConn()
		if err != nil {
			return nil, err
		}
		raw.Control(func(fd uintptr) { fds[i] = int(fd) })
	}
	return syscall.UnixRights(fds...), nil
}

// parseRights returns the files whose descriptors are in the ancillary data. It may return files together with an
// error.
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
			continue // ancillary data of another type
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

// sameUser reports whether the process on the other side runs as the same user as this process.
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
