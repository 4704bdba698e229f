package slots

import "fmt"

// Verify reads the store in a folder as Open would, and changes nothing. What it gives of a store that is open elsewhere may lack
// the Append or the Compact in flight.
func Verify(fs FS, options Options) (Recovered, error) {
	loaded, err := loadFiles(fs, options.Prefix)
	if err != nil {
		return Recovered{}, fmt.Errorf("slots: %w", err)
	}
	recovered, _ := loaded.recover()
	if recovered.DataLoss() {
		return recovered, fmt.Errorf("%w: %s", ErrCorrupt, recovered.describeFindings())
	}
	return recovered, nil
}
