package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sprucelane.example/sprucelane/internal/lab/system"
)

const (
	keptClients = 10
	// maxThinkTime is the longest time between a response and the client's next request on the same connection.
	maxThinkTime = 300 * time.Millisecond
	// reconnectInterval is the time between a connection that couldn't be opened and the next.
	reconnectInterval = 100 * time.Millisecond
)

// generateKeptStreams has clients send streams, each one after the other on a connection that it uses until the gateway
// says that it closes it, or is gone, until the context ends.
func (r *run) generateKeptStreams(ctx context.Context) {
	random := r.options.randomSource(randomKeptClients)
	var clients sync.WaitGroup
	defer clients.Wait()
	for number := range keptClients {
		clientRandom := r.options.randomSource(randomStream(random.Uint64()))
		clients.Go(func() {
			for connection := 0; ctx.Err() == nil; connection++ {
				r.useConnection(ctx, clientRandom, fmt.Sprintf("kept-%d-%d", number, connection))
			}
		})
	}
}

// useConnection opens a connection to a gateway and sends streams until it can't be used any more.
func (r *run) useConnection(ctx context.Context, random *rand.Rand, name string) {
	m := r.randomFrontMachine(random)
	connection, err := r.client.Connect(ctx, m)
	if err != nil {
		sleep(ctx, reconnectInterval)
		return
	}
	defer connection.Close()
	idleSince := time.Now()
	for number := 0; connection.Usable() && sleep(ctx, randomDuration(random, 0, maxThinkTime)); number++ {
		id := fmt.Sprintf("%s-%d", name, number)
		session := random.IntN(sessions)
		r.checkStream(m, id, idleSince, func() system.Outcome { return connection.Stream(context.Background(), id, session) })
		idleSince = time.Now()
	}
}
