//go:build faultinjection

package server

import "time"

// statsInterval is the time between summaries of the state in the log. It is short, so that tests notice a
// recovery soon.
const statsInterval = time.Second
