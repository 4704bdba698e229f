package lease

// Token is a fencing token. Across all granters of a system, a later grant has a higher token.
type Token uint64

// epochShift is the number of low-order bits of a token, which count the granter's grants; the granter's epoch is
// in the bits above.
const epochShift = 32

// Epoch returns the epoch of the granter that issued the token.
func (t Token) Epoch() uint64 { return uint64(t >> epochShift) }

// Fence protects a resource against holders that haven't noticed that their lease has ended. Only the side that
// executes the operations can do this; it must keep the Fence for as long as any holder may request operations.
// The zero value admits every token.
type Fence struct{ highest Token }

// Admit reports whether an operation under a token may be executed. It rejects tokens lower than the highest
// token that it has admitted.
func (f *Fence) Admit(token Token) bool {
	if token < f.highest {
		return false
	}
	f.highest = token
	return true
}
