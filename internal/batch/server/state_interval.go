//go:build !faultinjection

package server

import "time"

// statsInterval is the time between summaries of the state in the log.
const statsInterval = 10 * time.Second
