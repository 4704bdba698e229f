// Package transport carries Go values between the machines of one system over TCP, encoded with encoding/gob.
//
// It is meant for consensus and replication protocols, which have few peers, long-lived connections and small
// messages. Their callers must know whether a message may have been handled, and must never be blocked by a dead
// or slow peer.
//
// # Use
//
// Register the types of all messages on both sides. A [Server] accepts connections and passes each of their
// messages to a [Handler], with the [Session] that it came from. A [Client] keeps one connection to an
// address and reconnects, with backoff and jitter, whenever the connection ends:
//
//	transport.Register(Greeting{}, Welcome{})
//	server := transport.Serve(listener, options, handler)
//	client := transport.NewClient("10.0.0.1:7000", options, nil, nil)
//	reply, err := client.Call(ctx, Greeting{Name: "world"})
//
// One connection carries
//
//   - calls: a request of the client, answered once by the handler ([Client.Call]), many concurrently;
//   - one-way messages of the client ([Client.Send]) and of the server ([Session.Push]), delivered in order;
//   - pings, sent only if a side has sent nothing else for [Options.Heartbeat].
//
// # Certainty of calls
//
// Calls have at-most-once semantics: a request is never sent again. The error of Client.Call reports whether
// the request may have been handled:
//
//	ErrNotConnected, ErrQueueFull,    no byte of it was handed to the network: it has not been handled and never
//	ErrFrameTooLarge, ErrEncode       will be, so that it may be sent again, also to another machine
//	ErrUncertain                      it may have been handled, may be handled later, or never
//	*RemoteError                      it has been handled, and the error is the handler's; with CodeBusy it was
//	                                  rejected before it reached the handler
//
// The frames of a connection are numbered. A frame counts as handed to the network from just before the write
// that contains it. Once the connection has ended, it is therefore known for each call whether its frame may
// have been sent.
//
// # Bounded waits and queues
//
// A machine without power, or behind a partition, sends neither data nor a reset. Every wait is therefore
// bounded:
//
//	dialing                           Options.DialTimeout
//	the handshake                     one second
//	a write without progress          Options.WriteTimeout, renewed with every 256 KiB
//	data without acknowledgement      Options.UserTimeout (TCP_USER_TIMEOUT)
//	nothing received                  three heartbeats, and also TCP keep-alive probes
//
// With a heartbeat of 500 ms an idle connection to a dead machine ends in 1.5 s. The queue of a connection is
// bounded by Options.Queue and Options.MaxFrame; messages that don't fit are rejected. A sender waits at most
// 5 ms for capacity, and doesn't wait at all while the peer reads nothing.
//
// # Wire format
//
// Each side first sends a hello: the three letters "SPL", a version byte, the length of the rest (2 bytes,
// big endian), a status byte, the heartbeat in milliseconds (4 bytes) and the six strings of its Identity,
// each after its length (2 bytes). The client sends first. A peer of another system, of another version, or
// one that Options.Admit rejects receives a hello with a status that reports the rejection, and is disconnected
// before any gob is read from it.
//
// Frames follow the hello. A frame consists of the length of the payload (4 bytes, big endian), a kind byte,
// whose highest bit tells the receiver to discard all type descriptions, a call number (4 bytes) and the
// payload. A payload is a type number (uvarint), the registered name of the type if that number is new (uvarint
// length and bytes), and the gob encoding of the value. Each direction has one gob encoder and one decoder, so
// that descriptions and names of types are sent once. A frame longer than Options.MaxFrame is rejected by its
// length. Memory for a payload is allocated as the payload arrives, and not by its claimed length. All pending
// frames are written together, in writes of up to 256 KiB.
//
// # Limits
//
// An Identity identifies a peer but doesn't authenticate it, and nothing is encrypted. Gob bounds the memory
// that a value may claim by the bytes in its frame times the size of the Go types in question.
//
// # Fault injection
//
// Programs that are built with the tag faultinjection dial through package partition, which blocks the traffic
// between chosen hosts.
package transport
