package service

// Phase is a phase of service.
type Phase uint8

// The phases.
const (
	Starting Phase = iota // the process can't serve yet
	Serving
	Draining     // clients have to leave; the process keeps running
	HandedOver   // another process of this gateway serves; this one completes the requests that it has accepted
	ShuttingDown // the process exits once all accepted requests are answered
)

// phaseNames has the names of the phases in API responses and log lines.
var phaseNames = [...]string{"starting", "serving", "draining", "handed_over", "ending"}

// String returns the name of the phase in API responses and log lines.
func (p Phase) String() string { return phaseNames[p] }
