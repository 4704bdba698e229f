package serverselection

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Demand is what a request asks of a server.
type Workload struct {
	Prefixes     []Prefix // of the prompt, in order; the last belongs to the request or its session
	PromptTokens int      // tokens to read, all parts
	OutputTokens int      // tokens to come out at most
}

// Part is a piece of a prompt that other prompts may begin with as well.
type Prefix struct {
	Hash   uint64 // of this part and all before it: a cache holds it only with those
	Tokens int    // of this part and all before it
}

// mostParts bounds what is read of a header that a client wrote.
const maxPrefixes = 64

// ParseDemand reads the headers X-Prompt-Prefix (ID:TOKENS, joined by commas) and X-Token-Usage (prompt, output). What can't be
// read counts as not told.
func ParseWorkload(prefix, usage string) Workload {
	var d Workload
	prompt, output, _ := strings.Cut(usage, ",")
	d.PromptTokens, d.OutputTokens = parseTokens(prompt), parseTokens(output)
	chain, sum := uint64(0), 0
	for part := range strings.SplitSeq(prefix, ",") {
		id, count, found := strings.Cut(part, ":")
		if !found || len(d.Prefixes) == maxPrefixes {
			break
		}
		chain = mix(chain ^ xxhash.Sum64String(strings.TrimSpace(id)))
		sum += parseTokens(count)
		d.Prefixes = append(d.Prefixes, Prefix{Hash: chain, Tokens: sum})
	}
	d.PromptTokens = max(d.PromptTokens, sum)
	return d
}

// mostTokens bounds a number that a client wrote.
const maxTokens = 10_000_000

func parseTokens(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxTokens)
}

// shared gives the parts that other requests may share.
func (d *Workload) shared() []Prefix { return d.Prefixes[:max(0, len(d.Prefixes)-1)] }

// affinity gives the chain by which the requests that share most of their prompt meet at the same servers; false where so little
// is shared that it is not worth it.
func (d *Workload) affinityKey() (chain uint64, found bool) {
	shared := d.shared()
	if len(shared) == 0 {
		return 0, false
	}
	all := shared[len(shared)-1].Tokens
	if all < minAffinityTokens {
		return 0, false
	}
	for _, part := range shared {
		if 2*part.Tokens >= all {
			return part.Hash, true
		}
	}
	return 0, false
}

// mix spreads the bits of a number (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
