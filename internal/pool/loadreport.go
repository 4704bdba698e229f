package pool

import (
	"math"
	"strconv"
	"strings"
)

const maxLoadReportSize = 1 << 10 // bytes; longer reports are ignored

// parseLoadReport parses a load report. The result has the value of each field at its index, and NaN for a
// missing or malformed one; it ends with the last field that has a value. Unknown fields are ignored. The
// result is nil if no field has a value.
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

// parseTrueCost parses the cost of a request in units. It returns 0 if the text is empty, malformed or out of
// range.
func parseTrueCost(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x > 0 && x <= math.MaxUint16) {
		return 0
	}
	return x
}
