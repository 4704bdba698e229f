package seeds

import "testing"

func TestRange(t *testing.T) {
	for _, test := range []struct {
		name               string
		firstText, seeds   string
		wantFirst, wantNum uint64
	}{
		{"neither is set", "", "", 1, 12},
		{"one seed is replayed", "6691", "1", 6691, 1},
		{"only the number is set", "", "1000", 1, 1000},
		{"only the first seed is set", "7", "", 7, 12},
		{"zero is a valid value", "0", "0", 0, 0},
		{"values that are not unsigned integers are ignored", "x", "-1", 1, 12},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Setenv("FIRST", test.firstText)
			t.Setenv("SEEDS", test.seeds)
			if first, count := Range(1, 12); first != test.wantFirst || count != test.wantNum {
				t.Errorf("got %d, %d; want %d, %d", first, count, test.wantFirst, test.wantNum)
			}
		})
	}
}
