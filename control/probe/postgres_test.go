package probe

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a probe answer that is parsed into a wrong server state.
func TestParseProbeRow(t *testing.T) {
	row := func(fields ...string) [][]byte {
		var out [][]byte
		for _, f := range fields {
			out = append(out, []byte(f))
		}
		return out
	}
	var got Result
	if err := got.parseRow(row("t", "0/1F", "3", "0.25")); err != nil {
		t.Fatal(err)
	}
	want := Result{InRecovery: true, LSN: 31, Timeline: 3, ReceiverAge: 250 * time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("parsed probe differs (-want +got):\n%s", diff)
	}
	for _, bad := range [][][]byte{row("t", "x", "3", "0"), row("t", "0/1", "-3", "0"), row("t", "0/1", "3", "")} {
		if err := new(Result).parseRow(bad); err == nil {
			t.Errorf("probe answer %q was accepted", bad)
		}
	}
}
