package view

// maxTerms bounds the length of View.Terms. Dropping the older terms reduces the number of losses that are
// tolerated over a series of unfinished views, but never omits a committed command.
const maxTerms = 8

// ChooseSource returns the member whose log the next chain starts from, and the epochs in which the last
// command may have been committed, newest first. ok is false while the responses don't prove that the log holds
// every committed command.
//
// The cases A and B are those of the package documentation. Any log that case B allows is safe: prefer only
// chooses among these logs, and of the remaining ones the most up-to-date log is chosen, so that the least has
// to be copied.
func ChooseSource(
	current View, responses []PrepareResponse, prefer func(Member) bool,
) (source Member, terms []Term, ok bool) {
	terms = termsInDoubt(current)
	// Case A. The oldest term is never dropped: a responder that was synced in it holds everything before it.
	for len(terms) > 1 && provenEmpty(terms[0], responses) {
		terms = terms[1:]
	}
	// Case B.
	best := -1
	for i, m := range responses {
		if m.Log.Synced < terms[0].Epoch || m.Log.Synced == 0 {
			continue
		}
		if best < 0 || betterSource(m, responses[best], prefer) {
			best = i
		}
	}
	if best < 0 {
		return Member{}, nil, false
	}
	if fullySynced(terms[0], responses) {
		terms = terms[:1]
	}
	return responses[best].From, terms[:min(len(terms), maxTerms)], true
}

// termsInDoubt returns the epochs, up to the epoch of current, in which the last command may have been
// committed, newest first.
func termsInDoubt(current View) []Term {
	terms := append([]Term{{Epoch: current.Epoch, Chain: current.Chain}}, current.Terms...)
	if len(current.Terms) == 0 { // genesis, or a view decided before Terms were recorded
		terms = append(terms, Term{Epoch: current.SourceEpoch})
	}
	return terms
}

// provenEmpty reports whether a response shows that nothing was or will be committed in a term: its sender is
// in the term's chain, wasn't synced in its epoch, and can no longer become synced. A commit needs all members
// of the chain.
func provenEmpty(term Term, responses []PrepareResponse) bool {
	for _, m := range responses {
		if Index(term.Chain, m.From) >= 0 && m.Log.Synced < term.Epoch {
			return true
		}
	}
	return false
}

// fullySynced reports whether all members of a term's chain have responded with logs that were synced in the
// term. There are more of them than disks may be lost, and none of them can ever prove the term empty, so that
// no older term needs to be kept.
func fullySynced(term Term, responses []PrepareResponse) bool {
	synced := 0
	for _, m := range responses {
		if Index(term.Chain, m.From) >= 0 && m.Log.Synced >= term.Epoch {
			synced++
		}
	}
	return synced > 0 && synced == len(term.Chain)
}

// betterSource reports whether the sender of a is a better source than the sender of b: a preferred member is
// better, and if both or neither are preferred, the member with the more up-to-date log.
func betterSource(a, b PrepareResponse, prefer func(Member) bool) bool {
	if preferA, preferB := prefer(a.From), prefer(b.From); preferA != preferB {
		return preferA
	}
	return isMoreUpToDate(a.Log, b.Log)
}

// isMoreUpToDate reports whether log a is more up to date than log b. It compares the epochs in which the logs
// were last synced, and then their lengths, as Raft
// compares the last terms and indexes of logs (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014, section 5.4.1). A longer log of an older epoch may hold commands that were
// never committed.
func isMoreUpToDate(a, b LogState) bool {
	if a.Synced != b.Synced {
		return a.Synced > b.Synced
	}
	return a.End > b.End
}
