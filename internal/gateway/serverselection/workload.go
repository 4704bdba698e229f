package serverselection

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Workload is the work that a request causes at a server, as declared in the request's headers.
type Workload struct {
	Prefixes     []Prefix // of the prompt, from the shortest; the last one belongs to the request or its session alone
	PromptTokens int      // length of the whole prompt
	OutputTokens int      // most tokens that the server generates
}

// Prefix is a prefix of a prompt that other prompts may share.
type Prefix struct {
	Hash   uint64 // hash of the ids of all parts of the prefix
	Tokens int    // length of the prefix
}

const (
	// maxPrefixes bounds the number of prefixes that are read from a client's header.
	maxPrefixes = 64
	// maxTokens bounds each number in a client's headers.
	maxTokens = 10_000_000
)

// ParseWorkload reads the headers X-Prompt-Prefix (parts of the prompt as ID:TOKENS, separated by commas) and
// X-Token-Usage (tokens of prompt and output, separated by a comma). Malformed numbers count as 0; a part of the
// prompt without a colon and all parts after it are ignored.
func ParseWorkload(prefix, usage string) Workload {
	var w Workload
	prompt, output, _ := strings.Cut(usage, ",")
	w.PromptTokens, w.OutputTokens = parseTokens(prompt), parseTokens(output)
	hash, sum := uint64(0), 0
	for part := range strings.SplitSeq(prefix, ",") {
		id, count, found := strings.Cut(part, ":")
		if !found || len(w.Prefixes) == maxPrefixes {
			break
		}
		hash = mix(hash ^ xxhash.Sum64String(strings.TrimSpace(id)))
		sum += parseTokens(count)
		w.Prefixes = append(w.Prefixes, Prefix{Hash: hash, Tokens: sum})
	}
	w.PromptTokens = max(w.PromptTokens, sum)
	return w
}

// parseTokens parses a number of tokens, at most maxTokens. It returns 0 if it is malformed or negative.
func parseTokens(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxTokens)
}

// shared returns the prefixes that other requests may share: all but the last one.
func (w *Workload) shared() []Prefix { return w.Prefixes[:max(0, len(w.Prefixes)-1)] }
