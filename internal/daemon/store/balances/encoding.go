package balances

// This file has the records of the store: keys, and the protocol buffers that are their values.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"sprucelane.example/sprucelane/internal/daemon/store"
	"sprucelane.example/sprucelane/policy"
)

// The keys of records: accountPrefix and the account's key as in peers' messages, or incarnationKey.
const (
	accountPrefix  = 'a'
	incarnationKey = "l"
)

// An account's key holds the number of its plan in one byte.
const (
	planShift = 24
	planMask  = 255
)

// planOf returns the plan's number in an account's key.
func planOf(key uint64) int { return int(key >> planShift & planMask) }

// withPlan returns an account's key with another plan.
func withPlan(key uint64, plan int) uint64 {
	return key&^(planMask<<planShift) | uint64(plan)<<planShift
}

// incarnation describes the process that last wrote to the store.
type incarnation struct {
	name        string   // the gateway's
	lastAliveMs int64    // Unix time in ms
	plans       []string // names of the gateway's plans, by number
}

// encodeAccountKey returns the key of an account's record.
func encodeAccountKey(key uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{accountPrefix}, key)
}

// encodeBalance encodes a balance as the message Use, with its time in Unix ms.
func encodeBalance(u policy.QuotaBalance, at int64) []byte {
	b := protowire.AppendTag(nil, 1, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(u.Customer))
	b = protowire.AppendTag(b, 2, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, math.Float64bits(u.Balance))
	b = protowire.AppendTag(b, 3, protowire.VarintType)
	return protowire.AppendVarint(b, uint64(at))
}

// decodeBalance decodes an account's record. It rejects numbers that are not finite and times that are not positive.
func decodeBalance(key, value []byte) (balance policy.QuotaBalance, atMs int64, err error) {
	if len(key) != 9 {
		return balance, 0, errors.New("key of an account doesn't have 9 bytes")
	}
	balance.Key = binary.BigEndian.Uint64(key[1:])
	err = visitFields(value, func(number protowire.Number, integer uint64, _ []byte) {
		switch number {
		case 1:
			balance.Customer = policy.CustomerID(integer)
		case 2:
			balance.Balance = math.Float64frombits(integer)
		case 3:
			atMs = int64(integer)
		}
	})
	if err == nil && (atMs <= 0 || math.IsNaN(balance.Balance) || math.IsInf(balance.Balance, 0)) {
		err = errors.New("balance is not finite, or time is not positive")
	}
	return balance, atMs, err
}

// encodeIncarnation encodes an incarnation as the message Life.
func encodeIncarnation(l incarnation) []byte {
	b := protowire.AppendTag(nil, 1, protowire.BytesType)
	b = protowire.AppendString(b, l.name)
	b = protowire.AppendTag(b, 2, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(l.lastAliveMs))
	for _, p := range l.plans {
		b = protowire.AppendTag(b, 3, protowire.BytesType)
		b = protowire.AppendString(b, p)
	}
	return b
}

// decodeIncarnation decodes the message Life.
func decodeIncarnation(value []byte) (l incarnation, err error) {
	err = visitFields(value, func(number protowire.Number, integer uint64, text []byte) {
		switch number {
		case 1:
			l.name = string(text)
		case 2:
			l.lastAliveMs = int64(integer)
		case 3:
			l.plans = append(l.plans, string(text))
		}
	})
	return l, err
}

// loadIncarnation reads the incarnation that last wrote to the store; found is false if the store is new.
func loadIncarnation(s *store.Store) (l incarnation, found bool, err error) {
	value, found, err := s.Get([]byte(incarnationKey))
	if err != nil || !found {
		return l, false, err
	}
	l, err = decodeIncarnation(value)
	return l, true, err
}

// visitFields calls visit with each field of a message: integer is set for varint and fixed64 fields, text for bytes.
// Fields of other wire types are skipped.
func visitFields(b []byte, visit func(number protowire.Number, integer uint64, text []byte)) error {
	for len(b) > 0 {
		number, wireType, size := protowire.ConsumeTag(b)
		if size < 0 {
			return protowire.ParseError(size)
		}
		b = b[size:]
		switch wireType {
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if size = n; size >= 0 {
				visit(number, v, nil)
			}
		case protowire.Fixed64Type:
			v, n := protowire.ConsumeFixed64(b)
			if size = n; size >= 0 {
				visit(number, v, nil)
			}
		case protowire.BytesType:
			v, n := protowire.ConsumeBytes(b)
			if size = n; size >= 0 {
				visit(number, 0, v)
			}
		default:
			size = protowire.ConsumeFieldValue(number, wireType, b)
		}
		if size < 0 {
			return protowire.ParseError(size)
		}
		b = b[size:]
	}
	return nil
}

// Describe returns a record as a JSON object, for "sprucelane store dump".
func Describe(key, value []byte) map[string]any {
	if l, err := decodeIncarnation(value); err == nil && string(key) == incarnationKey {
		return map[string]any{"kind": "life", "gateway": l.name, "alive_ms": l.lastAliveMs}
	}
	if u, at, err := decodeBalance(key, value); err == nil && key[0] == accountPrefix {
		return map[string]any{"kind": "account", "name": fmt.Sprintf("%016x", u.Key), "left": u.Balance, "at_ms": at}
	}
	return map[string]any{"kind": "unknown", "key": fmt.Sprintf("%x", key), "bytes": len(value)}
}
