// Package job defines the data of a batch job: its content, the final states of its items, the JSON that clients
// submit, and the binary encoding used in logs and between stores.
//
// A batch job is a list of items, which are independent requests to model servers. A store runs each item until it
// is Completed or a DeadLetter, and lists the results in the order in which they arrived. Content is immutable once
// it is accepted. Other packages (replica, runner) determine which store keeps it and runs its items.
package job

// MaxItems is the maximum number of items in a batch job.
const MaxItems = 200

// MaxItemTokens is the maximum number of tokens of an item. It keeps sums over all items of a fleet from
// overflowing.
const MaxItemTokens = 1 << 31

// Item is one request of a batch job.
type Item struct {
	ID      string // unique within the batch job
	Path    string
	Headers []Header
	Body    []byte
	Tokens  int // tokens of the prompt and of the longest possible answer; counts against max-queued-tokens
}

// Header is one of an item's HTTP headers.
type Header struct{ Name, Value string }

// Content is a batch job as it was accepted. It never changes.
type Content struct {
	ID        string
	Tenant    string
	Route     string // name of the route
	FirstSent int64  // time of the first submission, Unix milliseconds
	Items     []Item
}

// State is the final state of an item. Its numeric value is stored on disks and sent between stores.
type State byte

// The final states of an item.
const (
	Completed  State = 1 // a server answered the item in full
	DeadLetter State = 2 // the item was unprocessable, failed too often or expired, or its route was removed
)

// String returns the name of the state as it appears in results.
func (s State) String() string {
	if s == Completed {
		return "completed"
	}
	return "dead_letter"
}
