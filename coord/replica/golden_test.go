package replica

import (
	"fmt"
	"reflect"
	"testing"

	"sprucelane.example/sprucelane/coord/chain"
	"sprucelane.example/sprucelane/internal/golden"
)

// TestGoldenDisk checks that the records and the checkpoint on a member's disk are encoded as by earlier versions.
func TestGoldenDisk(t *testing.T) {
	golden.Gob[viewRecord](t, "disk-view")
	golden.Gob[acceptorRecord](t, "disk-ballots")
	golden.Gob[installRecord](t, "disk-install")
	golden.Gob[checkpoint](t, "disk-checkpoint")

	var entries []chain.Entry
	golden.Fill(&entries)
	recorded := golden.Bytes(t, "disk-entries", encodeEntries(entries))
	decoded, err := decodeEntries(recorded[1:])
	if err != nil || !reflect.DeepEqual(decoded, entries) {
		t.Errorf("the golden entries decode to %+v, error %v; want %+v", decoded, err, entries)
	}
	golden.Bytes(t, "disk-kinds", []byte{recordView, recordAcceptor, recordEntries, recordInstall, recordProbe})
}

// TestGoldenMessages checks that the messages between members are encoded as by earlier versions.
func TestGoldenMessages(t *testing.T) {
	for number, named := range wireTypes() {
		golden.Message(t, fmt.Sprintf("message-%02d", number), named.Sample)
	}
}
