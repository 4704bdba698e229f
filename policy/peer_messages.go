package policy

// The dispatch of messages from peers. Their format is defined in messages.go; updates are applied in peers.go.

// PeerMessage handles a message from a peer. A message that can't be read is dropped as a whole.
func (g *Gateway) PeerMessage(now Time, from int, message []byte) {
	g.advance(now)
	if from < 0 || from >= g.cfg.Gateways || from == g.cfg.Self {
		return
	}
	if q, ok := unpackQuery(message, from); ok {
		if c := g.answerQuery(q); c != nil {
			g.host.SendToPeer(from, packAnswer(q.token, c.lastQueryAdmitted))
		}
		return
	}
	if key, units, ok := unpackReconcile(message); ok {
		g.reconcileAtOwner(from, key, units)
		return
	}
	if token, admitted, ok := unpackAnswer(message); ok {
		if r := g.pendingQueries[token]; r != nil && r.owner == from {
			g.admit(r, admitted)
		}
		return
	}
	in, ok := unpackUpdate(message, g.schema)
	if !ok {
		g.invalidMessages++
		return
	}
	g.applyUpdate(from, in)
}
