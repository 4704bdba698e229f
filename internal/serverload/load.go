package serverload

import (
	"strconv"
	"strings"
)

// Header is the response header with a server's load: running requests, waiting requests and slots, separated
// by commas.
const Header = "X-Server-Load"

// maxCount bounds each number of a load. It is the highest number that a datagram can hold.
const maxCount = 1<<16 - 1

// Load is the load that a server reported of itself, in requests.
type Load struct {
	Running int // requests in a slot
	Waiting int // requests that wait for a slot
	Slots   int // requests that can run at once; above 0
}

// InFlight returns the number of requests at the server.
func (l Load) InFlight() int { return l.Running + l.Waiting }

// Parse parses the value of Header. It returns false if the value is malformed.
func Parse(text string) (Load, bool) {
	var numbers [3]int
	rest, more := text, true
	for i := range numbers {
		var number string
		if !more {
			return Load{}, false
		}
		number, rest, more = strings.Cut(rest, ",")
		value, err := strconv.Atoi(strings.TrimSpace(number))
		if err != nil || value < 0 || value > maxCount {
			return Load{}, false
		}
		numbers[i] = value
	}
	if more || numbers[2] == 0 {
		return Load{}, false
	}
	return Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, true
}
