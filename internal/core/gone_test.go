package core

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"sprucelane.example/sprucelane/policy"
)

// Of a client that left before its request is decided about the module doesn't hear: nothing is drawn and no turn taken.
func TestClientThatLeftIsNotAskedFor(t *testing.T) {
	c, _ := start(t, func(*Flow) (End, Answer) { panic("sent on") })
	ctx, leave := context.WithCancel(context.Background())
	leave()
	a := c.Serve(ctx, Request{Request: policy.Request{Class: 1, Units: 1, SetSize: 1, Deadline: c.Now() + 10*time.Second}})
	assert.Equal(t, Gone, a.Kind)
	counts := c.Counters().String()
	assert.Contains(t, counts, "taken=1 open=0 sent=0")
	assert.Contains(t, counts, "customers=0")
}

// What comes between the last answers and the end of the process is refused at once, and not left to the kill.
func TestWhatComesAfterTheLastAnswers(t *testing.T) {
	c, ask := start(t, func(*Flow) (End, Answer) { panic("sent on") })
	c.GiveUp()
	begun := time.Now()
	for class := range 2 {
		assert.Equal(t, Refused, ask(class, time.Hour).Kind)
	}
	assert.Less(t, time.Since(begun), time.Minute)
	assert.Contains(t, c.Counters().String(), "open=0")
}
