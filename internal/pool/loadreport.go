package pool

import (
	"math"
	"strconv"
	"strings"
)

const maxLoadReportSize = 1 << 10 // bytes; longer ones are ignored

// parseLoadReport parses a load report. The result has the value of each field at its index, NaN if the field
// is missing or malformed, and nothing for unknown fields. nil: nothing is known.
func parseLoadReport(text string, fields map[string]int) (list []float32) {
	if text == "" || len(fields) == 0 || len(text) > maxLoadReportSize {
		return nil
	}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		index, known := fields[strings.TrimSpace(name)]
		x, err := strconv.ParseFloat(strings.TrimSpace(value), 32)
		if !known || err != nil || !(x >= 0 && x <= math.MaxFloat32) {
			continue
		}
		for len(list) <= index {
			list = append(list, float32(math.NaN()))
		}
		list[index] = float32(x)
	}
	return list
}

// parseTrueCost parses the number of units that a request has cost; 0 if it is missing or malformed.
func parseTrueCost(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x > 0 && x <= math.MaxUint16) {
		return 0
	}
	return x
}
