package quotaclient

import (
	"context"
	"time"

	"sprucelane.example/sprucelane/coord/transport"
	"sprucelane.example/sprucelane/internal/protocol"
)

// Run asks the allocator until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	defer k.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.kick:
		case <-timer.C:
		}
		timer.Reset(k.step(ctx))
	}
}

// step does what is due and tells for how long nothing else is.
func (k *Keeper) step(ctx context.Context) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.follow()
	now := k.now()
	k.resolve(now)
	k.report.write(now, &k.options.Log)
	if request, due := k.client.NextRequest(now); due {
		k.counts.Asked++
		if k.link == nil {
			k.counts.Failed++
			k.client.Failed(now)
		} else {
			go k.ask(ctx, k.link, request)
		}
	}
	return max(shortestStep, k.client.Wake(now)-now)
}

// follow turns to the allocator that the list of processes names.
func (k *Keeper) follow() {
	members := k.options.Members()
	if members == nil || members.QuotaAddress == k.address {
		return
	}
	if k.link != nil {
		k.link.Close()
		k.link = nil
	}
	k.address = members.QuotaAddress
	k.client.Moved(k.now())
	if k.address != "" {
		k.link = transport.NewClient(k.address, k.options.Transport, nil, k.connected)
	}
}

// connected has what failed for want of a connection asked again.
func (k *Keeper) connected(up bool) {
	if !up {
		return
	}
	k.mutex.Lock()
	k.client.Moved(k.now())
	k.mutex.Unlock()
	k.wake()
}

// ask carries one request to the allocator.
func (k *Keeper) ask(ctx context.Context, link *transport.Client, request protocol.QuotaRequest) {
	reply, answered := call(ctx, link, request)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.now()
	if !answered {
		reply = protocol.QuotaReply{Sequence: request.Sequence}
		k.counts.Failed++
	}
	k.client.Replied(now, &reply)
	k.resolve(now)
	k.wake()
}

// call waits for the reply.
func call(ctx context.Context, link *transport.Client, request protocol.QuotaRequest) (protocol.QuotaReply, bool) {
	limited, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	answer, err := link.Call(limited, request)
	if err != nil {
		return protocol.QuotaReply{}, false
	}
	reply, ok := answer.(protocol.QuotaReply)
	return reply, ok
}

// resolve decides about the requests that wait, the oldest first.
func (k *Keeper) resolve(now time.Duration) {
	kept := k.waiters[:0]
	for _, one := range k.waiters {
		verdict := k.client.Resolve(now, one.tenant)
		if verdict.Wait {
			kept = append(kept, one)
			continue
		}
		one.decided <- k.count(now, one.tenant, verdict)
	}
	clear(k.waiters[len(kept):])
	k.waiters = kept
}

func (k *Keeper) close() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.link != nil {
		k.link.Close()
	}
}
