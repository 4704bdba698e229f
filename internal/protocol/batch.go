package protocol

// BatchCall is a client's call for a batch job, as a gateway hands it to a batch process after it has checked route and key.
// Any batch process may be asked: it answers, or names who owns the batch job.
type BatchCall struct {
	Operation BatchOperation
	BatchJob  string // id
	Tenant    string
	Route     string // name; of submissions
	Item      string // id, for BatchBody
	Start     int    // first position wanted, for BatchRead
	WaitMs    int    // how long the answer may be held until a result exists, for BatchRead
	Body      []byte // the submission as the client sent it (JSON)
	StoreView uint64 // epoch of the asker's store view
}

// BatchOperation is a kind of call.
type BatchOperation int

// The calls.
const (
	BatchSubmit BatchOperation = iota + 1
	BatchRead
	BatchBody
	BatchEnd
)

// BatchAnswer is what the client is to be told.
type BatchAnswer struct {
	Status       int // HTTP: 200, 202, 400, 404, 429, 503 (promises) or 504 (no promise)
	Body         []byte
	ContentType  string
	RetryAfterMs int
	Owner        string // IP of the batch process to ask instead; Status is 0 then
}
