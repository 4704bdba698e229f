package protocol

import "time"

// PollInterval is the time between the polls of a gateway or batch process. It limits how long the loss of a push goes
// unnoticed. A shorter interval would cost the control processes more messages, in proportion to the number of
// processes.
const PollInterval = 400 * time.Millisecond

// Poll is sent by a gateway or batch process to the control process that it is connected to. It shows that the sender
// is alive, and which versions it has.
type Poll struct {
	Process       Process
	Sequence      uint64 // number of the poll on this connection, which the answering Update repeats
	Configuration uint64 // index of the configuration in force at the sender; 0: none
	Servers       uint64 // version of the sender's server list; 0: none
	Members       uint64 // version of the sender's member list; 0: none
	WholeServers  bool   // requests a complete server list, because a delta didn't apply to the sender's list
	Ready         bool
	Batch         *BatchReport // from batch processes only
}

// Update is a control process's answer to a Poll, or a push. Parts that are nil are unchanged.
type Update struct {
	Sequence uint64 // of the Poll that is answered; 0: the Update is a push, which renews no lease

	// Fresh reports that every change acknowledged more than Age before the control process answered the Poll is in
	// Configuration, or in the configuration that the receiver already has. Key leases count from it. A control process
	// without a recent proof from a majority doesn't set Fresh.
	Fresh bool
	Age   time.Duration

	// ListRead reports that the control process has a server list. ListAge is the time since the newest reading of the
	// platform's list began, as of when this message was sent.
	ListRead bool
	ListAge  time.Duration

	Configuration *ConfigurationUpdate
	Servers       *ServerList
	Members       *MemberList
	Store         *StoreGrant // for batch processes only
}

// ConfigurationUpdate updates the receiver to a newer configuration, by the changes since the receiver's or by a
// complete document.
type ConfigurationUpdate struct {
	Index uint64 // of the resulting configuration
	From  uint64 // of the configuration that Steps apply to; the receiver skips steps up to its own index
	Whole []byte // the complete document in JSON; nil: Steps apply
	Steps []ConfigurationStep
}

// ConfigurationStep is one acknowledged change of the configuration.
type ConfigurationStep struct {
	Index uint64
	Patch bool   // Body is a patch, otherwise a complete document
	Body  []byte // JSON, exactly as the operator sent it
}
