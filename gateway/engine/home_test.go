package engine

import (
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/gateway/catalog"
)

// configureHomes gives the routes and the team home regions. The data centre here is in the region north, there in
// south; r2 is there.
func (s *testNode) configureHomes(route, team []string) {
	s.t.Helper()
	s.engine.opts.Regions = map[string]string{"here": "north", "there": "south"}
	c, err := catalog.New(&controlpb.Catalog{
		Version:  2,
		Services: []*controlpb.CatalogService{{Name: "wax", MaxConnections: 23}},
		Routes: []*controlpb.CatalogRoute{
			{Name: "a", Database: "intake", Service: "wax", StatementTimeoutMs: 400, LatencyObjectiveMs: 200, AllowedRegions: route},
			{Name: "b", Database: "lots", Service: "wax", StatementTimeoutMs: 400, LatencyObjectiveMs: 200, MaxStalenessMs: 2500,
				Consistency: controlpb.Consistency_CONSISTENCY_READ_YOUR_WRITES, AllowedRegions: route},
		},
		Teams: []*controlpb.CatalogTeam{{Name: "melt", Keys: []string{"key"}, AllowedRegions: team}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.control.view.Catalog = c
	s.engine.Update(&s.control.view)
}

// Guards against a statement that is sent to another region than those of its route and its team, and against a wait
// before the refusal where none is left.
func TestStatementsStayInTheirHomeRegions(t *testing.T) {
	for name, c := range map[string]struct {
		route, team       []string
		writes, reads     bool
		readsOn, neverRun string
	}{
		"no homes":        {nil, nil, true, true, "", ""},
		"route":           {[]string{"south"}, nil, false, true, "r2", "r1"},
		"team":            {nil, []string{"north"}, true, true, "", "r2"},
		"both":            {[]string{"south", "north"}, []string{"south"}, false, true, "r2", "r1"},
		"none in common":  {[]string{"south"}, []string{"north"}, false, false, "", "r2"},
		"unknown regions": {[]string{"west"}, nil, false, false, "", "r2"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestNode(t)
			seed := s.open("lots", "key")
			s.mustSucceed(seed, write("0"))
			for _, replica := range []string{"r1", "r2"} {
				s.servers[replica].update(func(f *fakeServer) { f.position = s.servers["p"].position })
			}
			s.configureHomes(c.route, c.team)
			before, dials := len(s.servers["p"].runs()), s.servers["p"].dials
			for _, statements := range [][]Statement{{write("1")}, {{ID: "1", Kind: Begin}, write("2")}} {
				session := s.open("intake", "key")
				for _, st := range statements {
					begun := time.Now()
					a := s.handle(session, st)
					if st.Kind == Begin || c.writes && a.Refusal == nil {
						continue
					}
					if c.writes || a.Refusal == nil || a.Refusal.Code != rescode.NoUpstream || a.Refusal.Reason != reasonOutsideHome {
						t.Errorf("%s answered with %+v", st.Kind, a.Refusal)
					}
					if time.Since(begun) >= primaryWait {
						t.Errorf("refused after %s", time.Since(begun))
					}
				}
			}
			for _, statements := range [][]Statement{{read("3")}, {{ID: "3", Kind: BeginRead}, read("4")}} {
				session := s.open("lots", "key")
				for _, st := range statements {
					if a := s.handle(session, st); st.Kind == Read && (a.Refusal == nil) != c.reads {
						t.Errorf("%s answered with %+v", st.Kind, a.Refusal)
					}
				}
			}
			if got := len(s.servers["p"].runs()); !c.writes && got != before {
				t.Errorf("the primary outside the home regions ran %d statements", got-before)
			}
			if got := s.servers["p"].dials; !c.writes && got != dials {
				t.Errorf("%d connections to the primary outside the home regions", got-dials)
			}
			if c.readsOn != "" {
				s.expectRuns(c.readsOn, 2)
			}
			if c.neverRun != "" {
				s.expectRuns(c.neverRun, 0)
				if n := s.servers[c.neverRun].dials; n > 0 {
					t.Errorf("%d connections to %s", n, c.neverRun)
				}
			}
		})
	}
}

// Guards against an upstream that moves to another region between its choice and the sending of the statement.
func TestHomeIsCheckedBeforeSending(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.configureHomes([]string{"north"}, nil)
	s.mustSucceed(session, Statement{ID: "1", Kind: Begin})
	s.mustSucceed(session, write("2"))
	s.control.view.Topology.Upstreams[0].Place = "there"
	s.engine.Update(&s.control.view)
	s.expectCode(s.handle(session, write("3")), rescode.TransactionAborted)
	s.expectRuns("p", 1)
}
