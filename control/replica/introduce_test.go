package replica

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
)

// TestFirstMembershipNeedsAllVMs guards against a first membership that lacks a VM, has
// one VM under two addresses, or is formed although another one exists.
func TestFirstMembershipNeedsAllVMs(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r := &Replica{identity: "a", config: Config{Address: "1", Voters: []string{"3", "1", "2"}}, log: logrus.NewEntry(logger)}
	answer := func(id string) *controlpb.Introduction { return &controlpb.Introduction{Identity: id} }
	for _, c := range []struct {
		name    string
		answers map[string]*controlpb.Introduction
		want    bool
	}{
		{"one is silent", map[string]*controlpb.Introduction{"2": answer("b")}, false},
		{"one has no identity", map[string]*controlpb.Introduction{"2": answer("b"), "3": answer("")}, false},
		{"two addresses of one VM", map[string]*controlpb.Introduction{"2": answer("b"), "3": answer("b")}, false},
		{"all answer", map[string]*controlpb.Introduction{"2": answer("b"), "3": answer("c")}, true},
	} {
		m, ok := r.firstMembership(c.answers)
		if ok != c.want || ok && (m.VoterCount() != 3 || m.Members[2].Address != "3") {
			t.Errorf("%s: membership is %v, %v", c.name, m, ok)
		}
	}
	if findFormed(map[string]*controlpb.Introduction{"2": answer("b"), "3": {Formed: true}}) == nil {
		t.Error("an existing membership was not found")
	}
}
