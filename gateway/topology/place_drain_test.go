package topology

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Guards against a drain that a later message, or a later leader that does not know its end, makes longer, and against
// the end of an earlier drain that is taken for that of a new one.
func TestNodePlaceDrains(t *testing.T) {
	const sentAt = 100 * time.Second
	known := map[string]PlaceDrain{"a": {Order: 3, EndsAt: 102 * time.Second}}
	for name, c := range map[string]struct {
		told *controlpb.PlaceDrain
		want PlaceDrain
	}{
		"repeated, later":   {&controlpb.PlaceDrain{Place: "a", Order: 3, EndKnown: true, LeftMs: 5000}, PlaceDrain{3, 102 * time.Second}},
		"repeated, earlier": {&controlpb.PlaceDrain{Place: "a", Order: 3, EndKnown: true, LeftMs: 1000}, PlaceDrain{3, 101 * time.Second}},
		"later leader":      {&controlpb.PlaceDrain{Place: "a", Order: 3}, PlaceDrain{3, 102 * time.Second}},
		"another order":     {&controlpb.PlaceDrain{Place: "a", Order: 9, EndKnown: true, LeftMs: 5000}, PlaceDrain{9, 105 * time.Second}},
		"unknown end":       {&controlpb.PlaceDrain{Place: "a", Order: 9}, PlaceDrain{9, 0}},
	} {
		got := NodePlaceDrains(known, &controlpb.PlaceDrains{Drains: []*controlpb.PlaceDrain{c.told}}, sentAt)
		if diff := cmp.Diff(map[string]PlaceDrain{"a": c.want}, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	if got := NodePlaceDrains(known, &controlpb.PlaceDrains{}, sentAt); len(got) != 0 {
		t.Errorf("after the end: %v", got)
	}
}
