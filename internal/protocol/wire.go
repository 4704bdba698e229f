package protocol

import "sprucelane.example/sprucelane/coord/transport"

// The names of the messages on the wire stay when a type is renamed or moved. Fields keep the names that they
// have in the types: gob skips what it doesn't know, without an error. The golden test checks both.
func init() {
	const here = "sprucelane.example/sprucelane/internal/protocol."
	transport.RegisterNamed(
		transport.NamedType{Name: here + "Poll", Sample: Poll{}},
		transport.NamedType{Name: here + "Update", Sample: Update{}},
		transport.NamedType{Name: here + "QuotaRequest", Sample: QuotaRequest{}},
		transport.NamedType{Name: here + "QuotaReply", Sample: QuotaReply{}},
		transport.NamedType{Name: here + "BatchCall", Sample: BatchCall{}},
		transport.NamedType{Name: here + "BatchAnswer", Sample: BatchAnswer{}},
	)
}
