package serverselection

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Workload is what a request asks of a server, by its headers.
type Workload struct {
	Prefixes     []Prefix // of the prompt, from the shortest; the last one is the request's or its session's own
	PromptTokens int      // to read, the whole prompt
	OutputTokens int      // to generate, at most
}

// Prefix is a beginning of a prompt that other prompts may have as well.
type Prefix struct {
	Hash   uint64 // of the ids of all its parts
	Tokens int    // its length
}

const (
	// maxPrefixes bounds what is read of a client's header.
	maxPrefixes = 64
	// maxTokens bounds each number in a client's headers.
	maxTokens = 10_000_000
)

// ParseWorkload reads the headers X-Prompt-Prefix (parts of the prompt as ID:TOKENS, separated by commas) and
// X-Token-Usage (tokens of prompt and output). What isn't well formed counts as absent.
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

// parseTokens parses a number of tokens; 0 if it is malformed.
func parseTokens(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxTokens)
}

// shared returns the prefixes that other requests may share: all but the last.
func (w *Workload) shared() []Prefix { return w.Prefixes[:max(0, len(w.Prefixes)-1)] }
