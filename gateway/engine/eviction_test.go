package engine

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// heldStatements returns what is prepared on the connections of a server that are open.
func (s *fakeServer) heldStatements() (count, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.closed {
			continue
		}
		for _, p := range c.prepared {
			count++
			bytes += len(p.shape)
		}
	}
	return count, bytes
}

// Guards against the eviction of more than is needed, of what was used lately and of the statement that runs now.
func TestLeastRecentlyUsedStatementsOverflow(t *testing.T) {
	const half = maxPreparedBytes/2 - preparedEntryBytes
	for _, c := range []struct {
		name string
		// sizes are those of the statements that are prepared, in this order; added is that of the next, if it is not 0.
		sizes []int
		// used is the statement that is used again behind the last.
		used  int
		added int
		want  []string
	}{
		{"nothing to close", []int{1, 1}, 1, 1, nil},
		{"as many bytes as allowed", []int{half}, 0, half, nil},
		{"one byte too many", []int{half, 1, 1}, 2, half, []string{"p1"}},
		{"the one that was used last stays", []int{half, half}, 0, half, []string{"p2"}},
		{"several small for a large one", []int{1, 1, 1}, 2, maxPreparedBytes, []string{"p1", "p2", "p3"}},
		{"none to add, the last stays", []int{half, maxPreparedBytes + 1}, 1, 0, []string{"p1"}},
	} {
		var names preparedNames
		keys := map[int]textDigest{}
		for i, size := range c.sizes {
			p := sessionStatement{preparedStatement{shape: strings.Repeat("q", size)}, textDigest{byte(i)}}
			keys[i] = p.key
			names.apply(preparedChange{added: names.next(p)})
		}
		names.lookup(keys[c.used])
		var added *preparedEntry
		if c.added > 0 {
			added = names.next(sessionStatement{preparedStatement{shape: strings.Repeat("q", c.added)}, textDigest{255}})
		}
		var got []string
		for _, e := range names.overflow(added) {
			got = append(got, e.name)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// Guards against connections on which callers leave ever more statements, and against callers that are refused, or
// run another shape, because theirs was closed to make room.
func TestStatementsOnAConnectionAreBounded(t *testing.T) {
	for _, c := range []struct {
		name         string
		writes       bool
		count, bytes int
	}{
		{"writes, by bytes", true, 12, largeText},
		{"writes, by number", true, 3 * maxPreparedStatements, 10},
		{"reads on the primary, by bytes", false, 12, largeText},
		{"reads on the primary, by number", false, 3 * maxPreparedStatements, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, _ := newBoundedNode(t)
			s.gate.left = 10 * manyRequests
			var want []string
			for round := range 2 {
				for n := range c.count {
					session := s.open("intake", "key")
					shape := fmt.Sprintf("q%d %s", n, strings.Repeat("q", c.bytes))
					s.mustSucceed(session, prepare("s", c.writes, shape))
					s.mustSucceed(session, execute(fmt.Sprintf("%d-%d", round, n), "s", "lot x"))
					session.Close()
					want = append(want, shape[:strings.Index(shape, " ")])
				}
			}
			var ran []string
			for _, r := range s.servers["p"].runs() {
				ran = append(ran, r.prepared.shape[:strings.Index(r.prepared.shape, " ")])
			}
			if diff := cmp.Diff(want, ran); diff != "" {
				t.Error(diff)
			}
			// A read on the primary prepares inside a transaction of the node's own, and may exceed the bounds by one.
			count, bytes := s.servers["p"].heldStatements()
			if count > maxPreparedStatements+1 || bytes > maxPreparedBytes+largeText {
				t.Errorf("%d statements of %d bytes are prepared", count, bytes)
			}
			if got := s.servers["p"]; got.closedInTransaction || got.dials != 1 {
				t.Errorf("%d connections; closed inside a transaction: %v", got.dials, got.closedInTransaction)
			}
		})
	}
}

// Guards against a CLOSE inside a caller's transaction, which a refusal would end, and against a write that closes
// any number of statements behind it.
func TestNoStatementIsClosedInsideATransaction(t *testing.T) {
	s, _ := newBoundedNode(t)
	s.gate.left = 10 * manyRequests
	session := s.open("intake", "key")
	s.mustSucceed(session, Statement{ID: "b", Kind: Begin})
	for n := range 3 * maxPreparedStatements {
		s.mustSucceed(session, prepare("s", true, fmt.Sprintf("q%d", n)))
		s.mustSucceed(session, execute("e", "s", "lot x"))
	}
	if got := s.servers["p"].closes; got != 0 {
		t.Errorf("%d statements were closed inside the transaction", got)
	}
	s.mustSucceed(session, Statement{ID: "c", Kind: Commit, Text: "COMMIT"})
	for _, want := range []int{2 * maxPreparedStatements, maxPreparedStatements, maxPreparedStatements} {
		s.mustSucceed(session, write("w"))
		if count, _ := s.servers["p"].heldStatements(); count != want {
			t.Errorf("%d statements are prepared after the transaction, want %d", count, want)
		}
	}
	if s.servers["p"].closedInTransaction {
		t.Error("a statement was closed inside a transaction")
	}
}

// Guards against a write that ran and is answered as not run because an earlier statement was not closed, and
// against further use of that connection.
func TestRefusedCloseEndsTheConnectionOnly(t *testing.T) {
	s, _ := newBoundedNode(t)
	session := s.open("intake", "key")
	for n := range 2 {
		s.mustSucceed(session, prepare(fmt.Sprintf("s%d", n), true, strings.Repeat("q", largeText)+fmt.Sprint(n)))
	}
	s.mustSucceed(session, execute("1", "s0", "lot x"))
	s.servers["p"].update(func(f *fakeServer) { f.refuseClose = 1 })
	s.mustSucceed(session, execute("2", "s1", "lot x"))
	s.mustSucceed(session, execute("3", "s0", "lot x"))
	if got := s.servers["p"]; got.dials != 2 || len(got.runs()) != 3 {
		t.Errorf("%d connections and %d runs, want 2 and 3", got.dials, len(got.runs()))
	}
}

// Guards against gauges that drift: what is counted on connections is gone with them.
func TestGaugesOfConnectionsFollowThem(t *testing.T) {
	statements, bytes, values := metricConnStatements.Get(), metricConnStatementBytes.Get(), metricConnValueBytes.Get()
	s, _ := newBoundedNode(t)
	session := s.open("intake", "key")
	s.mustSucceed(session, set("zone", "a"))
	s.mustSucceed(session, prepare("s", true, "q2"))
	s.mustSucceed(session, execute("1", "s", "lot x"))
	if got := metricConnStatements.Get() - statements; got != 1 {
		t.Errorf("%v statements are counted", got)
	}
	if got := metricConnValueBytes.Get() - values; got != float64(stateBytes("zone", "a")) {
		t.Errorf("%v bytes of values are counted", got)
	}
	p, _ := s.engine.group("wax").primaryPool()
	p.close()
	if metricConnStatements.Get() != statements || metricConnStatementBytes.Get() != bytes || metricConnValueBytes.Get() != values {
		t.Error("closed connections are counted")
	}
}
