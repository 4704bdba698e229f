//go:build !ablation

package ablation

// Off tells whether a mechanism is switched off.
func Off(Mechanism) bool { return false }
