package lsn

import "testing"

// Guards against log positions that compare wrongly because one half is misparsed.
func TestParse(t *testing.T) {
	tests := []struct {
		text string
		want uint64
		ok   bool
	}{
		{"0/0", 0, true},
		{"1/A", 1<<32 + 10, true},
		{"FFFFFFFF/FFFFFFFF", 1<<64 - 1, true},
		{"16B374D8", 0, false},
		{"1/100000000", 0, false},
		{"/", 0, false},
		{"-1/0", 0, false},
	}
	for _, tt := range tests {
		got, err := Parse(tt.text)
		if got != tt.want || (err == nil) != tt.ok {
			t.Errorf("Parse(%q) = %d, %v; want %d, ok %t", tt.text, got, err, tt.want, tt.ok)
		}
	}
}
