// Package pipe owns what a gateway and its link program say to each other over the program's standard input and output.
// The link program holds the book and speaks gRPC, so that a gateway that exchanges nothing carries neither library
// nor their memory. It must never be spoken by anything but these two, which are built together.
package pipe

import (
	"encoding/gob"
	"io"
	"time"

	"sprucelane.example/sprucelane/internal/knowledge"
)

// Hello is the gateway's first word: the settings of the exchange.
type Hello struct {
	Me                                    knowledge.Observer
	Listen                                string
	Peers                                 []string
	Plain                                 bool
	CertFile, KeyFile, CAFile, ServerName string
	SuspectShare, RoomMost                float64
}

// State is what the gateway has seen of all members that are listed. One follows another for as long as it runs.
type State struct {
	Own         []knowledge.Observation
	Deaf, Blind time.Duration
}

// News is what the link program says: after each State, and once the peers have told their pictures.
type Update struct {
	Priors   []knowledge.Prior
	Learnt   bool // each peer has told its picture or failed once
	Addr     string
	Counters []Counter
}

// Counter is one counter of the exchange.
type Counter struct {
	Name  string
	Value uint64
}

// End is one end of the pipe. Its two directions may be used at once, each by one goroutine.
type Conn struct {
	in  *gob.Decoder
	out *gob.Encoder
}

// New gives an end that reads from one side and writes to the other.
func New(in io.Reader, out io.Writer) *Conn { return &Conn{gob.NewDecoder(in), gob.NewEncoder(out)} }

// Say writes a message.
func (e *Conn) Send(message any) error { return e.out.Encode(message) }

// Hear reads one into what it points to.
func (e *Conn) Receive(into any) error { return e.in.Decode(into) }
