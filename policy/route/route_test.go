package route

import (
	"testing"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// TestParseTag guards against a string literal in a statement that selects the route, and
// against misread tags of the forms that drivers write.
func TestParseTag(t *testing.T) {
	cases := []struct {
		sql  string
		want Tag
		bad  bool
	}{
		{"SELECT 1", Tag{}, false},
		{"/*route='a'*/ SELECT 1", Tag{Route: "a"}, false},
		{"SELECT 1 /*route='a',slot='3',request='r-1'*/;\n", Tag{Route: "a", Slot: 3, HasSlot: true, RequestID: "r-1"}, false},
		{"SELECT 1 /*traceparent='00-1',route='a%20b'*/", Tag{Route: "a b"}, false},
		{"/* prose, isn't a tag */ SELECT 1 /*route='a'*/", Tag{Route: "a"}, false},
		{"INSERT INTO t VALUES ('/*route=''a''*/')", Tag{}, false},
		{"INSERT INTO t VALUES ('/*route='a'*/')", Tag{}, false},
		{"SELECT 1 /*route='a'*/ + 1", Tag{}, false},
		{"/*+ SeqScan(t) */ SELECT 1", Tag{}, false},
		{"SELECT 1 /*route='a',slot='x'*/", Tag{}, true},
		{"SELECT 1 /*route='a'slot='1'*/", Tag{}, true},
		{"SELECT 1 /*route='a',slot='1*/", Tag{}, true},
		{"SELECT 1 /*request=''*/", Tag{}, true},
		{"SELECT 1 /*route='%zz'*/", Tag{}, true},
	}
	for _, c := range cases {
		got, err := ParseTag(c.sql)
		if got != c.want || (err != nil) != c.bad {
			t.Errorf("%s: got %+v, %v", c.sql, got, err)
		}
	}
}

func FuzzParseTag(f *testing.F) {
	f.Add("/*route='a',slot='3'*/ SELECT 1")
	f.Add("SELECT 1 /*route='a%41',request='x'*/;")
	f.Fuzz(func(t *testing.T, sql string) {
		tag, err := ParseTag(sql)
		if err != nil && tag != (Tag{}) {
			t.Errorf("ParseTag returned an error and tag %+v", tag)
		}
		if len(tag.RequestID) > maxRequestIDBytes {
			t.Errorf("request identity has %d bytes", len(tag.RequestID))
		}
	})
}

func testTable() *Table {
	return NewTable(&controlpb.FleetState{
		Services: map[string]*controlpb.Service{
			"wax":  {SlotGroups: []string{"a", "b", "a"}},
			"tray": {SlotGroups: []string{"c", "c"}},
		},
		Routes: map[string]*controlpb.Route{
			"read": {Name: "read", Service: "wax", Read: true, MaxAgeMs: 5},
			"open": {Name: "open", Service: "wax", Open: true},
		},
		Teams: map[string]*controlpb.Team{"limited": {Routes: []string{"other"}}},
	})
}

// TestResolve guards against requests that reach the wrong group or use a route that the
// team may not use.
func TestResolve(t *testing.T) {
	slot := func(route string, n uint32) Tag { return Tag{Route: route, Slot: n, HasSlot: true} }
	cases := []struct {
		team, service string
		tag           Tag
		group         string
		code          rescode.Code
	}{
		{"driver", "wax", slot("read", 1), "b", 0},
		{"driver", "wax", slot("", 2), "a", 0},
		{"driver", "wax", Tag{Route: "read"}, "", rescode.SlotRequired},
		{"driver", "wax", slot("read", 3), "", rescode.UnknownSlot},
		{"driver", "tray", Tag{}, "c", 0},
		{"driver", "tray", Tag{Route: "read"}, "", rescode.RouteServiceMismatch},
		{"driver", "none", Tag{}, "", rescode.UnknownService},
		{"driver", "wax", slot("none", 0), "", rescode.UnknownRoute},
		{"limited", "wax", slot("read", 0), "", rescode.RouteNotAllowed},
		{"limited", "wax", slot("open", 0), "a", 0},
		{"public", "wax", slot("open", 0), "a", 0},
		{"public", "wax", slot("read", 0), "", rescode.KeyRequired},
		{"public", "wax", slot("", 0), "", rescode.KeyRequired},
	}
	for _, c := range cases {
		plan, err := testTable().Resolve(c.team, c.service, c.tag)
		if err != nil && err.Code != c.code || err == nil && (c.code != 0 || plan.Group != c.group) {
			t.Errorf("%+v: got %+v, %v", c, plan, err)
		}
	}
}

// BenchmarkResolve measures the lookup, which every request performs.
func BenchmarkResolve(b *testing.B) {
	table := testTable()
	b.ReportAllocs()
	for b.Loop() {
		tag, _ := ParseTag("SELECT 1 /*route='read',slot='1'*/")
		if _, err := table.Resolve("driver", "wax", tag); err != nil {
			b.Fatal(err)
		}
	}
}

// TestResolveDoesNotAllocate guards against allocations in the lookup, which every request
// performs.
func TestResolveDoesNotAllocate(t *testing.T) {
	table := testTable()
	allocations := testing.AllocsPerRun(100, func() {
		tag, _ := ParseTag("SELECT 1 /*route='read',slot='1'*/")
		_, _ = table.Resolve("driver", "wax", tag)
	})
	if allocations > 0 {
		t.Errorf("%v allocations per lookup", allocations)
	}
}
