package service

// Phase is a phase of service.
type Phase uint8

// The phases.
const (
	Starting Phase = iota // not able to serve yet
	Serving
	Draining     // clients are to leave; the process stays
	HandedOver   // another process of this gateway serves; this one finishes what it has accepted
	ShuttingDown // the process exits once all that it has accepted is answered
)

// phaseNames has the names that calls and log lines show.
var phaseNames = [...]string{"starting", "serving", "draining", "handed_over", "ending"}

// String returns the phase's name, as calls and log lines show it.
func (p Phase) String() string { return phaseNames[p] }
