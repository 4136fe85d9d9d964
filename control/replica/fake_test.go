package replica

import (
	"errors"
	"testing"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// TestFake guards against a fake that differs from a replica: a command applied without
// leadership, or a lease that outlasts leadership.
func TestFake(t *testing.T) {
	state := &memoryApplier{known: map[string]uint64{}}
	f := NewFake(state)
	if !state.leading || !f.LeaseValid(0) || !f.Status().Leading {
		t.Error("a new fake does not lead")
	}
	if result, err := f.Propose(t.Context(), &controlpb.Command{RequestId: "a"}); err != nil || result.Revision != 1 {
		t.Errorf("result is %v, %v", result, err)
	}
	f.SetLeading(false)
	_, err := f.Propose(t.Context(), &controlpb.Command{RequestId: "b"})
	var coded *rescode.Error
	if !errors.As(err, &coded) || coded.Code != rescode.NotLeader || f.LeaseValid(0) || state.leading {
		t.Errorf("without leadership the error is %v", err)
	}
}
