package protocol

import "time"

// PollInterval is the time between the polls of a gateway or batch process. It bounds for how long the loss
// of a push goes unnoticed; a shorter one costs messages at control in proportion to the number of processes.
const PollInterval = 400 * time.Millisecond

// Poll is what a gateway or batch process sends to the control process that it is connected to: that it is
// alive, and which versions it has.
type Poll struct {
	Process       Process
	Sequence      uint64 // number of the poll on this connection; the Update that answers repeats it
	Configuration uint64 // index of the configuration in force at the sender, 0: none
	Servers       uint64 // version of the sender's endpoint list, 0: none
	Members       uint64 // version of the sender's membership list, 0: none
	WholeServers  bool   // a complete endpoint list is wanted: a delta didn't apply to the sender's
	Ready         bool
	Batch         *BatchReport // of batch processes only
}

// Update is control's answer to a Poll, or a push. A nil part is unchanged.
type Update struct {
	Sequence uint64 // of the Poll that is answered; 0: a push, which renews no lease

	// Fresh says that everything acknowledged more than Age before control answered the Poll is in
	// Configuration, or in what the receiver already has. Leases of keys count from it. Without a recent proof
	// from a majority control doesn't set it.
	Fresh bool
	Age   time.Duration

	// ListRead says that control has an endpoint list. ListAge is the time since the newest reading of the
	// platform's list began, as of when this message was sent.
	ListRead bool
	ListAge  time.Duration

	Configuration *ConfigurationUpdate
	Servers       *ServerList
	Members       *MemberList
	Store         *StoreGrant // for batch processes only
}

// ConfigurationUpdate leads to a newer configuration: by the changes after the receiver's, or by a complete
// document.
type ConfigurationUpdate struct {
	Index uint64 // of the configuration that results
	From  uint64 // of the configuration that Steps apply to; the receiver skips steps up to its own index
	Whole []byte // the complete document in JSON; nil: Steps apply
	Steps []ConfigurationStep
}

// ConfigurationStep is one acknowledged change of the configuration.
type ConfigurationStep struct {
	Index uint64
	Patch bool   // Body is a patch, else a complete document
	Body  []byte // JSON, exactly as the operator sent it
}
