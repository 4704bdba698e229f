// Package transport carries Go values between the machines of one system over TCP, encoded with encoding/gob.
//
// It is meant for consensus and replication protocols: few peers, long-lived connections, small messages, and
// callers that must know whether a message may have been handled and must never be blocked by a dead or slow
// peer.
//
// # Use
//
// Register the types of all messages on both sides. A [Server] accepts connections and passes each of their
// messages to a [Handler], with the [Session] that it came from. A [Client] keeps one connection to an
// address and connects again, with backoff and jitter, whenever it ends:
//
//	transport.Register(Greeting{}, Welcome{})
//	server := transport.Serve(listener, options, handler)
//	client := transport.NewClient("10.0.0.1:7000", options, nil, nil)
//	reply, err := client.Call(ctx, Greeting{Name: "world"})
//
// Over one connection run
//
//   - calls: a request of the client, answered once by the handler ([Client.Call]), many at a time;
//   - one-way messages of the client ([Client.Send]) and of the server ([Session.Push]), delivered in order;
//   - pings, sent only if a side had nothing else to send for [Options.Heartbeat].
//
// # Certainty of calls
//
// A call is at most once: a request is never sent again. If it has no reply, the error of Client.Call tells
// what is known:
//
//	ErrNotConnected, ErrQueueFull,    no byte of it was handed to the network: it has not been handled and never will be,
//	ErrFrameTooLarge, ErrEncode       so that it may be sent again, also elsewhere
//	ErrUncertain                      it may have been handled, may be handled later, or never
//	*RemoteError                      it has been handled, and this is the handler's answer; with CodeBusy it was
//	                                  rejected before it reached the handler
//
// The frames of a connection are numbered, and a frame counts as handed to the network from before the write
// that holds it. When the connection has ended, each call therefore knows on which side it is.
//
// # Bounded waits and queues
//
// A machine without power, or behind a partition, sends neither data nor a reset. Every wait is therefore
// bounded:
//
//	dialling                          Options.DialTimeout
//	the handshake                     one second
//	a write without progress          Options.WriteTimeout, renewed with every 256 KiB
//	data without acknowledgement      Options.UserTimeout (TCP_USER_TIMEOUT)
//	nothing received                  three heartbeats; TCP keep-alive probes besides
//
// With a heartbeat of 500 ms an idle connection to a dead machine ends in 1.5 s. The queue of a connection is
// bounded by Options.Queue and Options.MaxFrame; what doesn't fit is rejected. A sender waits at most 5 ms,
// and not at all while the peer reads nothing.
//
// # Wire format
//
// Each side first sends a hello: the three letters "SPL", a version byte, the length of the rest (2 bytes,
// big endian), a status byte, the heartbeat in milliseconds (4 bytes) and the six strings of its Identity,
// each after its length (2 bytes). The client sends first. A peer of another system, of another version, or
// one that Options.Admit rejects gets a hello that says so, and is disconnected before any gob is read from
// it.
//
// Then come frames: the length of the payload (4 bytes, big endian), a kind byte, whose highest bit tells the
// receiver to forget all type descriptions, and a call number (4 bytes). A payload is a type number
// (uvarint), the registered name of the type if that number is new (uvarint length and bytes), and the gob
// encoding of the value. Each direction has one gob encoder and one decoder, so that descriptions and names
// of types are sent once. A frame longer than Options.MaxFrame is rejected by its length, and a payload is
// read as it arrives, so that a claimed length allocates no memory. Frames that wait are written with one
// system call.
//
// # Limits
//
// An Identity is no proof: peers are told apart, not authenticated, and nothing is encrypted. Gob bounds what
// a value may claim to hold by what the frame does hold, times the size of the Go types in question.
//
// # Fault injection
//
// Programs that are built with the tag faultinjection dial through package partition, which loses the traffic
// between chosen hosts.
package transport
