package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jayloom/jayloom/policy/session"
)

// Guards against bounds that exclude the replica's actual lag, both constant and changing,
// and against an estimate that is used beyond its term.
func TestLagIsBoundedByAnswers(t *testing.T) {
	const gap = 10 * time.Millisecond
	position := func(at time.Duration) session.Position {
		return session.Position{Group: "g", Term: 1, LSN: uint64(at / gap)}
	}
	random := rand.New(rand.NewPCG(1, 1))
	g := &groupLag{}
	now := time.Second
	for _, lag := range []time.Duration{100 * time.Millisecond, 1500 * time.Millisecond, 30 * time.Millisecond} {
		for range 100 {
			for until := now + time.Duration(random.Int64N(int64(time.Second))); now < until; now += gap {
				g.recordCommit(now, position(now))
			}
			askedAt := now - gap + time.Duration(random.Int64N(int64(gap)))
			g.recordAnswer("r", askedAt, position(askedAt-lag))
			if r := g.replicas["r"]; r.low > lag || r.high < lag {
				t.Fatalf("a lag of %v is outside its bounds, %v to %v", lag, r.low, r.high)
			}
		}
	}
	if got := g.reachedSince(position(now-time.Second), now); got != now-time.Second {
		t.Errorf("a position reached at %v is reported as reached at %v", now-time.Second, got)
	}
	g.recordCommit(now, session.Position{Group: "g", Term: 2, LSN: 1})
	if lag, ok := g.estimate("r", 2, now); ok {
		t.Errorf("the lag in term 2 is estimated as %v without an answer", lag)
	}
}

// Guards against reads that stay on the primary although the replica has replayed the
// session's writes, while the age that control reports for it is high.
func TestReplicaIsChosenByItsOwnAnswers(t *testing.T) {
	s := newSystem(t, 1)
	s.replicaAge = time.Hour
	conn := s.proxy().driver(t)
	exec(t, conn, "INSERT INTO intake VALUES (1, 'first')")
	exec(t, conn, "SET jayloom.session = '"+sessionToken(t, conn.PgConn())+"'")
	s.catchUp(s.replicas[0])
	s.publish()
	if got := queryText(t, conn, readNote); got != "first" {
		t.Errorf("read %q", got)
	}
	exec(t, conn, "UPDATE intake SET note = 'second' WHERE id = 1")
	s.catchUp(s.replicas[0])
	eventually(t, "a read on the replica", func() bool {
		if got := queryText(t, conn, readNote); got != "second" {
			t.Fatalf("read %q", got)
		}
		return len(statements(s.replicas[0], "note FROM intake")) == 2
	})
}
