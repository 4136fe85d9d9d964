package watch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against log positions that compare wrongly because a half was misread.
func TestParseLSN(t *testing.T) {
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
		got, err := ParseLSN(tt.text)
		if got != tt.want || (err == nil) != tt.ok {
			t.Errorf("ParseLSN(%q) = %d, %v; want %d, ok %t", tt.text, got, err, tt.want, tt.ok)
		}
	}
}

// Guards against a probe answer that is taken for another server state.
func TestParseProbeAnswer(t *testing.T) {
	row := func(fields ...string) [][]byte {
		var out [][]byte
		for _, f := range fields {
			out = append(out, []byte(f))
		}
		return out
	}
	var got Result
	if err := got.parse(row("t", "0/1F", "3", "0.25")); err != nil {
		t.Fatal(err)
	}
	want := Result{InRecovery: true, LSN: 31, Timeline: 3, HeardAge: 250 * time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("parsed probe differs (-want +got):\n%s", diff)
	}
	for _, bad := range [][][]byte{row("t", "x", "3", "0"), row("t", "0/1", "-3", "0"), row("t", "0/1", "3", "")} {
		if err := new(Result).parse(bad); err == nil {
			t.Errorf("probe answer %q was accepted", bad)
		}
	}
}
