package protocol

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Size of the system for which TestSizes logs the sizes of messages.
const (
	fleetGateways = 400
	fleetServers  = 12_000
)

// sizeOf returns the size of a message in bytes on a connection on which its types were sent before.
func sizeOf(t *testing.T, message any) int {
	t.Helper()
	var out bytes.Buffer
	encoder := gob.NewEncoder(&out)
	for range 2 {
		out.Reset()
		if err := encoder.Encode(&message); err != nil {
			t.Fatal(err)
		}
	}
	return out.Len()
}

func fleetProcess(number int) Process {
	return Process{Node: fmt.Sprintf("front-michigan-%d", number), Role: RoleGateway, Zone: "michigan",
		IP: fmt.Sprintf("10.1.%d.%d", number>>8, number&255), Incarnation: fmt.Sprintf("%016x", number)}
}

func fleetServer(number int) Server {
	return Server{ID: fmt.Sprintf("i-%08x", number), Backend: "gale-lm", Address: fmt.Sprintf("10.2.%d.%d:8080", number>>8, number&255),
		Zone: "michigan", Slots: 24, Stage: "both"}
}

// TestSizes logs the sizes of the messages of a large system, for docs/CAPACITY.md.
func TestSizes(t *testing.T) {
	Convey("The message for a change of one server is much smaller than the whole list", t, func() {
		poll := sizeOf(t, Poll{Process: fleetProcess(399), Sequence: 100_000, Configuration: 12_000, Servers: 9_000, Members: 3_000, Ready: true})
		answer := sizeOf(t, Update{Sequence: 100_000, Fresh: true, Age: 200 * time.Millisecond})
		var gateways []Process
		for i := range fleetGateways {
			gateways = append(gateways, fleetProcess(i))
		}
		members := sizeOf(t, Update{Members: &MemberList{Version: 3_000, Gateways: gateways, QuotaAddress: "10.1.0.1:7361"}})
		var servers []Server
		for i := range fleetServers {
			servers = append(servers, fleetServer(i))
		}
		whole := sizeOf(t, Update{Servers: &ServerList{Version: 9_000, Source: "front-michigan-1-0123456789ab", Servers: servers}})
		delta := sizeOf(t, Update{Servers: &ServerList{Version: 9_001, Base: 9_000, Source: "front-michigan-1-0123456789ab",
			Servers: servers[:1], Removed: []string{servers[1].ID}}})
		request := sizeOf(t, QuotaRequest{Process: fleetProcess(399), Sequence: 100_000, Acked: 99_999, Term: 3,
			Demands: []QuotaDemand{{Tenant: "tenant-00001", Rate: 0.7, Want: 1}}})
		grant := sizeOf(t, QuotaReply{Term: 3, Sequence: 100_000, LeaseFor: 3 * time.Second, AskGap: 40 * time.Millisecond,
			Grants: []QuotaGrant{{Tenant: "tenant-00001", Tokens: 1, ExpiresAfter: 250 * time.Millisecond}}})
		t.Logf("bytes: poll %d, answer without news %d; list of %d gateways %d; list of %d servers %d, one changed and one removed %d; quota request of one tenant %d, reply %d",
			poll, answer, fleetGateways, members, fleetServers, whole, delta, request, grant)
		So(delta, ShouldBeLessThan, whole/100)
		So(answer, ShouldBeLessThan, poll)
	})
}
