//go:build faultinjection

package server

import "time"

// statsEvery is how often the process logs its state: so often that a test sees soon when all is whole again.
const statsInterval = time.Second
