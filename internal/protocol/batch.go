package protocol

// BatchCall is a client's call of the batch interface. A gateway sends it to a batch process after checking the route
// and the API key. Any batch process may be asked: it answers the call or returns the owner of the batch job.
type BatchCall struct {
	Operation BatchOperation
	BatchJob  string // ID of the batch job
	Tenant    string
	Route     string // name; in submissions only
	Item      string // ID; for BatchBody
	Start     int    // position of the first result wanted; for BatchRead
	WaitMs    int    // long poll: maximum time to wait for a result, in milliseconds; for BatchRead
	Body      []byte // the submission in JSON, as the client sent it
	StoreView uint64 // epoch of the sender's StoreView
}

// BatchOperation is the kind of a BatchCall.
type BatchOperation int

// The kinds of batch calls.
const (
	BatchSubmit BatchOperation = iota + 1 // accept a batch job
	BatchRead                             // return the results from a position on
	BatchBody                             // return one item as it was submitted
	BatchEnd                              // cancel a batch job
)

// String returns the operation's name for log lines and metrics.
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

// BatchAnswer is the answer to a BatchCall: the response for the client, or the process to ask instead.
type BatchAnswer struct {
	// Status is the HTTP status: 200, 202, 400, 404 or 429; 503 if nothing was done; or 504 if the call may or may not
	// have taken effect.
	Status       int
	Body         []byte
	ContentType  string
	RetryAfterMs int
	Owner        string // IP of the batch process to ask instead; if set, Status is 0
}
