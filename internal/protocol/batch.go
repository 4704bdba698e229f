package protocol

// BatchCall is a client's call of the batch interface. A gateway sends it to a batch process after it has
// checked route and key. Any batch process may be asked: it answers, or names the owner of the batch job.
type BatchCall struct {
	Operation BatchOperation
	BatchJob  string // ID
	Tenant    string
	Route     string // name; of submissions
	Item      string // ID, for BatchBody
	Start     int    // first position wanted, for BatchRead
	WaitMs    int    // long poll: how long the answer may wait for a result, for BatchRead, in milliseconds
	Body      []byte // the submission in JSON, as the client sent it
	StoreView uint64 // epoch of the sender's view of the stores
}

// BatchOperation is a kind of call.
type BatchOperation int

// The kinds of calls.
const (
	BatchSubmit BatchOperation = iota + 1 // accept a batch job
	BatchRead                             // results from a position on
	BatchBody                             // one item as it was submitted
	BatchEnd                              // cancel
)

// String returns the operation's name in log lines and metrics.
func (o BatchOperation) String() string {
	switch o {
	case BatchSubmit:
		return "submit"
	case BatchRead:
		return "read"
	case BatchBody:
		return "body"
	case BatchEnd:
		return "end"
	}
	return "unknown"
}

// BatchAnswer is the answer for the client, or the process to ask instead.
type BatchAnswer struct {
	// Status is the HTTP status: 200, 202, 400, 404, 429; 503, which says that nothing was done; or 504, which
	// leaves it open.
	Status       int
	Body         []byte
	ContentType  string
	RetryAfterMs int
	Owner        string // IP of the batch process to ask instead; Status is 0 then
}
