package runner

// injectedBugs are faults that tests inject to show that their checks detect them. All are false outside of
// tests.
type injectedBugs struct {
	forgetFailures       bool // a 500 isn't counted
	retryUnprocessable   bool // an item is retried after a 422
	forgetStopped        bool // failures are not kept when the batch job is stopped
	forgetOtherOwners    bool // failures recorded by other owners of the batch job are ignored
	forgetEvents         bool // events of an interrupted stream are lost, though the next attempt resumes after them
	dropUnacceptedResult bool // a result that the store didn't accept is not submitted again
}
