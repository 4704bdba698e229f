// Package job defines a batch job as a value: its content, the states of its items, the JSON that clients
// submit, and the binary encoding in logs and between stores.
//
// A batch job is a list of items, which are independent requests to model servers. A store runs each until
// it is Completed or a DeadLetter, and lists these results in the order in which they came. Content is
// immutable from acceptance on; who stores and runs it is the concern of other packages (replica, runner).
package job

// MaxItems is the highest number of items in a batch job.
const MaxItems = 200

// MaxItemTokens is the highest number of tokens of an item. The bound keeps sums over all items of a fleet
// from overflowing.
const MaxItemTokens = 1 << 31

// Item is one request of a batch job.
type Item struct {
	ID      string // unique within the batch job
	Path    string
	Headers []Header
	Body    []byte
	Tokens  int // of the prompt and the longest answer; counts against max-queued-tokens
}

// Header is one of an item's HTTP headers.
type Header struct{ Name, Value string }

// Content is a batch job as it was accepted. It never changes.
type Content struct {
	ID        string
	Tenant    string
	Route     string // name
	FirstSent int64  // when it was first submitted, Unix milliseconds
	Items     []Item
}

// State is the final state of an item. Its number is on disks and between stores.
type State byte

// The final states of an item.
const (
	Completed  State = 1 // a server answered it in full
	DeadLetter State = 2 // it was given up: unprocessable, failed too often, or expired
)

// String returns the state's name in results.
func (s State) String() string {
	if s == Completed {
		return "completed"
	}
	return "dead_letter"
}
