package slots

import "fmt"

// Verify reads the store in a folder as Open would, and changes nothing. What it gives of a store that is open elsewhere may lack
// the Append or the Compact in flight.
func Verify(fs FS, options Options) (Recovered, error) {
	loaded, err := load(fs, options.Prefix)
	if err != nil {
		return Recovered{}, fmt.Errorf("slots: %w", err)
	}
	recovered, _ := loaded.recover()
	if recovered.Lost() {
		return recovered, fmt.Errorf("%w: %s", ErrDamaged, recovered.describe())
	}
	return recovered, nil
}
