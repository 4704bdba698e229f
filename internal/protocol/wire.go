package protocol

import "sprucelane.example/sprucelane/coord/transport"

// The messages are registered with fixed names, so that their names on the wire stay the same when a type is renamed or
// moved. Fields have the same names on the wire as in the types, so they must not be renamed: gob skips unknown fields
// without an error. The golden test checks both.
func init() {
	const namePrefix = "sprucelane.example/sprucelane/internal/protocol."
	transport.RegisterNamed(
		transport.NamedType{Name: namePrefix + "Poll", Sample: Poll{}},
		transport.NamedType{Name: namePrefix + "Update", Sample: Update{}},
		transport.NamedType{Name: namePrefix + "QuotaRequest", Sample: QuotaRequest{}},
		transport.NamedType{Name: namePrefix + "QuotaReply", Sample: QuotaReply{}},
		transport.NamedType{Name: namePrefix + "BatchCall", Sample: BatchCall{}},
		transport.NamedType{Name: namePrefix + "BatchAnswer", Sample: BatchAnswer{}},
	)
}
