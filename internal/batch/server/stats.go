//go:build !faultinjection

package server

import "time"

// statsEvery is how often the process logs its state.
const statsInterval = 10 * time.Second
