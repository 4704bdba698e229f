package pool

// bugs are faults that only tests can plant, to show that their checks find them.
type bugs struct {
	reuseStirred bool // a connection is used again though more has come than an answer
	reuseUnsent  bool // a connection is used again though a request's body went out in part
}
