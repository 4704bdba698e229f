package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// What stood still has not moved the window in which a repeat is dropped: the members' clocks went on.
func TestStandstillLeavesTheWindow(t *testing.T) {
	s := settings()
	s.Classes[0].Effect, s.Classes[0].Window, s.SecondCopies = Keyed, time.Second, false
	f := start(t, s, 2)
	f.ask(1, nil)
	require.Len(t, f.sent, 1)
	f.now += 1100 * ms
	f.g.Woke(f.now, 1100*ms)
	f.done(f.sent[0], ConnectionLost, time.Second)
	assert.Len(t, f.sent, 1)
	assert.Equal(t, "failed", f.ended[1])
}
