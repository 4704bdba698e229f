package quotaclient

import (
	"context"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Run requests tokens from the allocator until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	defer l.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wakeup:
		case <-timer.C:
		}
		timer.Reset(l.step(ctx))
	}
}

// step connects to the current allocator, decides waiting requests, writes the rejection log and sends a request
// to the allocator, each if it is due. It returns the time until the next step.
func (l *Limiter) step(ctx context.Context) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.followAllocator()
	now := l.now()
	l.resolve(now)
	l.rejections.write(now, &l.options.Log)
	if request, due := l.client.NextRequest(now); due {
		l.counts.Requests++
		if l.connection == nil {
			l.counts.Failed++
			l.client.RequestFailed(now)
		} else {
			go l.sendRequest(ctx, l.connection, request)
		}
	}
	return max(minStepInterval, l.client.WakeAt(now)-now)
}

// followAllocator connects to the allocator whose address is in the list of processes, if it has changed. mutex
// must be held.
func (l *Limiter) followAllocator() {
	members := l.options.Members()
	if members == nil || members.QuotaAddress == l.address {
		return
	}
	if l.connection != nil {
		l.connection.Close()
		l.connection = nil
	}
	l.address = members.QuotaAddress
	l.client.AllocatorMoved(l.now())
	if l.address != "" {
		l.connection = transport.NewClient(l.address, l.options.Transport, nil, l.connected)
	}
}

// connected handles changes of the connection to the allocator. Once it is established, requests that failed
// without a connection are sent again.
func (l *Limiter) connected(up bool) {
	if !up {
		return
	}
	l.mutex.Lock()
	l.client.AllocatorMoved(l.now())
	l.mutex.Unlock()
	l.wake()
}

// sendRequest sends one request to the allocator and handles the reply. Without a reply it handles an empty one
// instead.
func (l *Limiter) sendRequest(ctx context.Context, connection *transport.Client, request protocol.QuotaRequest) {
	reply, answered := call(ctx, connection, request)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	if !answered {
		reply = protocol.QuotaReply{Sequence: request.Sequence}
		l.counts.Failed++
	}
	l.client.HandleReply(now, &reply)
	l.resolve(now)
	l.wake()
}

// call sends a request and waits for the reply. It reports whether a valid reply was received.
func call(ctx context.Context, client *transport.Client, request protocol.QuotaRequest) (protocol.QuotaReply, bool) {
	limited, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	answer, err := client.Call(limited, request)
	if err != nil {
		return protocol.QuotaReply{}, false
	}
	reply, ok := answer.(protocol.QuotaReply)
	return reply, ok
}

// resolve decides the waiting requests for which that is possible, the oldest first. mutex must be held.
func (l *Limiter) resolve(now time.Duration) {
	kept := l.waiters[:0]
	for _, pending := range l.waiters {
		verdict := l.client.Resolve(now, pending.tenant)
		if verdict.Wait {
			kept = append(kept, pending)
			continue
		}
		pending.decided <- l.count(now, pending.tenant, verdict)
	}
	clear(l.waiters[len(kept):])
	l.waiters = kept
}

func (l *Limiter) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.connection != nil {
		l.connection.Close()
	}
}
