package serverselection

import (
	"time"

	"sprucelane.example/sprucelane/internal/ablation"
	"sprucelane.example/sprucelane/internal/gateway/endpoints"
)

// elsewhere gives the tokens that a server is still reading for other processes.
func (p *Selector) announcedPrefill(now time.Time, server *endpoints.Server) float64 {
	if ablation.Off(ablation.PrefixAnnouncements) {
		return 0
	}
	return prefillTokensPerMs * float64(p.loads.PrefillTime(now, server.Hash)) / float64(time.Millisecond)
}
