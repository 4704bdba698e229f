//go:build !ablation

package ablation

// Off reports whether a mechanism is switched off.
func Off(Mechanism) bool { return false }
