package lease

// Token is a fencing token: the higher one belongs to the later grant, over all granters of a system.
type Token uint64

// epochShift is the number of bits below the granter's epoch, which count its grants.
const epochShift = 32

// Epoch returns the epoch of the granter that drew the token.
func (t Token) Epoch() uint64 { return uint64(t >> epochShift) }

// Fence guards a resource against holders whose lease has ended without their notice. Only the side that
// carries out the acts can do this; it must keep the Fence for as long as any holder may act. The zero value
// admits every token.
type Fence struct{ highest Token }

// Admit reports whether an act under a token may be carried out. It rejects tokens lower than the highest
// that it has admitted.
func (f *Fence) Admit(token Token) bool {
	if token < f.highest {
		return false
	}
	f.highest = token
	return true
}
