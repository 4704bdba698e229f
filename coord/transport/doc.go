// Package transport carries Go values between machines of one system over TCP, encoded with encoding/gob.
//
// A Client keeps one connection to an address and dials again, with backoff and jitter, whenever it ends.
// A Server accepts connections and hands each one to a Handler as a Session. Over one connection run
//
//   - calls: a request of the client, answered once by the handler (Client.Call),
//   - one-way messages of the client (Client.Send) and of the server (Session.Push), delivered in order,
//   - pings, sent only where a side had nothing else to send for Options.Heartbeat.
//
// # Certainty
//
// Client.Call tells exactly what is known about a request without a reply. ErrNotConnected, ErrQueueFull,
// ErrFrameTooLarge and ErrEncode mean that no byte of it was handed to the network: it has not been handled and
// never will be. ErrUncertain means that it may have been handled, may be handled later, or not at all.
// A RemoteError is the handler's own answer; with the code CodeBusy the handler was not called.
//
// # Dead peers
//
// A machine without power, or behind a cut, says nothing. Every wait is therefore bounded: dialling, the handshake,
// each write (Options.WriteTimeout, renewed with every 256 KiB of progress), data without acknowledgement
// (TCP_USER_TIMEOUT, Options.UserTimeout), and silence (three times the heartbeat that the two sides agree on, which
// is the shorter one of those they name). With a heartbeat of 500 ms an idle connection is known dead in 1.5 s.
// A peer that stops reading is dropped once a write has made no progress for Options.WriteTimeout.
//
// # Wire format
//
// Each side first sends a hello: the three letters "SPL", a version byte, the length of the rest (2 bytes, big
// endian), a status byte, the heartbeat in milliseconds (4 bytes) and the six strings of its Identity, each after
// its length (2 bytes). The client speaks first. A machine of another system, of another version, or one that
// Options.Admit refuses is told so and dropped before any gob is read from it.
//
// Then come frames: the length of the payload (4 bytes, big endian), a kind byte, whose highest bit tells the
// receiver to forget all type descriptions, and a call number (4 bytes). A payload is a type number (uvarint), the
// registered name of the type where that number is new (uvarint length and bytes), and the gob encoding of the value.
// Each direction has one gob encoder and one decoder, so that descriptions and names of types go over the wire once.
// A frame longer than Options.MaxFrame is refused by its length, and a payload is read as it arrives, so that a
// length alone takes no memory. Frames that wait are written with one system call.
//
// # Limits
//
// Identity is not proof: peers are told apart, not authenticated. Gob bounds what a value may claim to hold by what
// the frame does hold, times the size of the Go types in question.
package transport
