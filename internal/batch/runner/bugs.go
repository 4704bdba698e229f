package runner

// injectedBugs are faults that only tests inject, to show that their checks detect them.
type injectedBugs struct {
	forgetFailures       bool // a 500 isn't counted
	retryUnprocessable   bool // an item is tried again after a 422
	forgetStopped        bool // failures are not remembered beyond a stop of the batch job
	forgetOtherOwners    bool // failures that other owners of the batch job have told are not taken over
	forgetEvents         bool // events of an interrupted stream are lost, though the next attempt resumes after them
	dropUnacceptedResult bool // a result that the store didn't take is not submitted again
}
