// Package pipe has the messages between a gateway and its helper process, sprucelane-link, and their transport: gob
// over the standard input and output of the helper. The helper holds the knowledge.Table and speaks gRPC, so that a
// gateway that exchanges no knowledge links neither gRPC nor its memory.
//
// The gateway sends a Hello and then States; the helper answers each State with an Update. Both programs are built
// together, so the messages have no versions. But gob matches fields by name, and drops fields that it doesn't find
// without an error: fields of these types, and of the types of package knowledge in them, keep their names.
package pipe

import (
	"encoding/gob"
	"io"
	"time"

	"sprucelane.example/sprucelane/internal/daemon/knowledge"
)

// Hello is the gateway's first message: the settings of the exchange. Package link describes them.
type Hello struct {
	Me                                    knowledge.Observer // this gateway
	Listen                                string             // address that peers call; empty: none
	Peers                                 []string           // addresses
	Plain                                 bool               // no TLS
	CertFile, KeyFile, CAFile, ServerName string             // of mutual TLS
	SuspectShare, RoomMost                float64            // Options.MaxSuspectShare and Options.MaxRoom of the table
}

// State is the gateway's observations of all listed members. The gateway sends it at intervals while it runs.
type State struct {
	Own         []knowledge.Observation
	Deaf, Blind time.Duration // as in knowledge.Fact
}

// Update is the helper's answer to a State. One more is sent once each peer has sent its snapshot or failed.
type Update struct {
	Priors   []knowledge.Prior
	Learnt   bool   // each peer has sent its snapshot, or failed once
	Addr     string // address that the helper listens on
	Counters []Counter
}

// Counter is a counter of the exchange.
type Counter struct {
	Name  string
	Value uint64
}

// Conn is one end of the connection. One goroutine may send while another receives.
type Conn struct {
	in  *gob.Decoder
	out *gob.Encoder
}

// New returns the end that reads from in and writes to out.
func New(in io.Reader, out io.Writer) *Conn { return &Conn{gob.NewDecoder(in), gob.NewEncoder(out)} }

// Send sends a message.
func (c *Conn) Send(message any) error { return c.out.Encode(message) }

// Receive receives a message into the value that the argument points to.
func (c *Conn) Receive(message any) error { return c.in.Decode(message) }
