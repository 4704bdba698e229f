package placement

import (
	"time"

	"sprucelane.example/sprucelane/internal/gateway/servers"
)

// AnnounceLeast is the least number of tokens to be read of which other gateways are told.
const AnnounceLeast = 2048

// mostTold bounds the time for which other gateways' prompts keep a server busy.
const mostTold = 2 * time.Second

// told is what other gateways have told of a server: until when it reads what they sent.
type told struct{ until time.Time }

// Told takes in that another gateway has sent so many tokens to be read to a server.
func (p *Placer) Told(now time.Time, server uint64, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.told[server]
	if one.until.Before(now) {
		one.until = now
	}
	one.until = one.until.Add(time.Duration(tokens) * time.Millisecond / tokensPerMs)
	if latest := now.Add(mostTold); one.until.After(latest) {
		one.until = latest
	}
	p.told[server] = one
}

// elsewhere gives the tokens that a server is still reading for other gateways. The mutex is held.
func (p *Placer) elsewhere(now time.Time, server *servers.Server) float64 {
	if len(p.told) == 0 {
		return 0
	}
	left := p.told[server.Hash].until.Sub(now)
	return max(0, tokensPerMs*float64(left)/float64(time.Millisecond))
}
