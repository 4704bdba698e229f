//go:build faultinjection

package server

import "time"

// statsInterval is the time between summaries of the state in the log: short, so that a test soon sees a
// recovery.
const statsInterval = time.Second
