package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/proxy/view"
)

const readNote = "/*route='read'*/ SELECT note FROM intake WHERE id = 1"

// reportReplicasCaughtUp falsifies the proxies' views so that every replica appears to
// have the primary's position.
func (s *system) reportReplicasCaughtUp() {
	for _, p := range s.proxies {
		snapshot := p.store.Current()
		next := &view.Snapshot{Config: snapshot.Config, ServingUntil: snapshot.ServingUntil,
			Leases: snapshot.Leases, Health: map[string]view.Health{}}
		for address, health := range snapshot.Health {
			health.Lsn = uint64(s.primary.Position())
			next.Health[address] = health
		}
		p.store.Publish(next)
	}
}

func sessionToken(t *testing.T, p interface{ ParameterStatus(string) string }) string {
	t.Helper()
	token := p.ParameterStatus(settingSession)
	if len(token) < 64 {
		t.Fatalf("no token with positions was reported: %q", token)
	}
	return token
}

// Guards against reading older data after moving to another proxy, while control reports
// replicas as caught up that are 10 s behind.
func TestReadYourWritesAfterRoaming(t *testing.T) {
	s := newSystem(t, 2)
	for _, r := range s.replicas {
		r.SetLag(10 * time.Second)
	}
	writer, other := s.proxy(), s.proxy()
	conn := writer.driver(t)
	exec(t, conn, "INSERT INTO intake VALUES (1, 'first')")
	s.reportReplicasCaughtUp()
	cases := map[string]func() string{
		"same connection": func() string { return queryText(t, conn, readNote) },
		"other proxy, token": func() string {
			return queryText(t, other.driver(t, settingSession+"="+sessionToken(t, conn.PgConn())), readNote)
		},
		"other proxy, SET": func() string {
			moved := other.driver(t)
			exec(t, moved, "SET jayloom.session = '"+sessionToken(t, conn.PgConn())+"'")
			return queryText(t, moved, readNote)
		},
		"other proxy, identity only": func() string {
			return queryText(t, other.driver(t, settingSession+"=0123456789abcdef0123456789abcdef"), readNote)
		},
		"other proxy, no token": func() string { return queryText(t, other.driver(t), readNote) },
		"proxy just started": func() string {
			fresh := s.proxy()
			s.reportReplicasCaughtUp()
			return queryText(t, fresh.driver(t), readNote)
		},
	}
	version := "first"
	for name, read := range cases {
		if got := read(); got != version {
			t.Errorf("%s: read %q after writing %q", name, got, version)
		}
	}
	version = "second"
	exec(t, conn, "UPDATE intake SET note = 'second' WHERE id = 1")
	s.reportReplicasCaughtUp()
	for name, read := range cases {
		if got := read(); got != version {
			t.Errorf("%s: read %q after writing %q", name, got, version)
		}
	}
	if len(statements(s.replicas[0], "note FROM"))+len(statements(s.replicas[1], "note FROM")) == 0 {
		t.Error("no read was sent to a replica, so the check of its position was not tested")
	}
}

// Guards against sending reads to the primary that a replica could serve.
func TestReplicaServesWhatItHasReached(t *testing.T) {
	s := newSystem(t, 1)
	conn := s.proxy().driver(t)
	exec(t, conn, "INSERT INTO intake VALUES (1, 'first')")
	s.catchUp(s.replicas[0])
	s.publish()
	if got := queryText(t, conn, readNote); got != "first" {
		t.Errorf("read %q", got)
	}
	if got := queryText(t, conn, "/*route='old'*/ SELECT note FROM intake WHERE id = 1"); got != "first" {
		t.Errorf("read %q", got)
	}
	if n := len(statements(s.replicas[0], "note FROM intake")); n != 2 {
		t.Errorf("the replica ran %d of 2 reads", n)
	}
}

// Guards against reading data that is staler than the route allows.
func TestStalenessIsBounded(t *testing.T) {
	s := newSystem(t, 1)
	s.replicas[0].SetLag(time.Hour)
	conn := s.proxy().driver(t)
	exec(t, conn, "INSERT INTO intake VALUES (1, 'first')")
	s.replicaAge = 61 * time.Second
	s.publish()
	if got := queryText(t, conn, "/*route='old'*/ SELECT note FROM intake WHERE id = 1"); got != "first" {
		t.Errorf("read %q", got)
	}
}

// Guards against silently reading older data after a failover lost a position that the
// session had reached.
func TestLostPositionIsReportedOnce(t *testing.T) {
	s := newSystem(t, 1)
	p := s.proxy()
	conn := p.driver(t)
	exec(t, conn, "INSERT INTO intake VALUES (1, 'first')")
	token := sessionToken(t, conn.PgConn())
	s.change(func(state *controlpb.FleetState) {
		group := state.Groups["wax-1"]
		group.Term = 2
		group.History = append(group.History, &controlpb.TermStart{Term: 2, StartLsn: 1, Timeline: group.History[0].Timeline + 1})
	})
	for name, c := range map[string]interface {
		read() error
	}{
		"same connection": pingReader{t, p, conn},
		"roamed":          pingReader{t, p, p.driver(t, settingSession+"="+token)},
	} {
		if code := codeOf(c.read()); code != rescode.SessionPositionLost {
			t.Errorf("%s: the first read gave %v", name, code)
		}
		if err := c.read(); err != nil {
			t.Errorf("%s: the second read gave %v", name, err)
		}
	}
}

// Guards against reading older data in a request that arrived before the proxy learned
// of a failover and waited for the new primary.
func TestLostPositionIsReportedToARequestThatWaits(t *testing.T) {
	s := newSystem(t, 1)
	p := s.proxy()
	conn := p.driver(t)
	exec(t, conn, "INSERT INTO intake VALUES (1, 'first')")
	s.change(func(state *controlpb.FleetState) {
		state.Groups["wax-1"].Phase = controlpb.GroupPhase_GROUP_PHASE_FENCED
	})
	before := metricRequests.Get()
	ended := make(chan error, 1)
	go func() { ended <- conn.Ping(context.Background()) }()
	eventually(t, "the request", func() bool { return metricRequests.Get() > before })
	s.change(func(state *controlpb.FleetState) {
		group := state.Groups["wax-1"]
		group.Phase = controlpb.GroupPhase_GROUP_PHASE_HEALTHY
		group.Term = 2
		group.History = append(group.History, &controlpb.TermStart{Term: 2, StartLsn: 1, Timeline: group.History[0].Timeline + 1})
	})
	if code := codeOf(<-ended); code != rescode.SessionPositionLost {
		t.Errorf("the request that waited for the failover gave %v", code)
	}
}

type pingReader struct {
	t    *testing.T
	p    *testProxy
	conn interface {
		Ping(context.Context) error
	}
}

func (r pingReader) read() error { return r.conn.Ping(context.Background()) }

// Guards against writes on a primary through a read route.
func TestReadRouteCannotWrite(t *testing.T) {
	s := newSystem(t, 0)
	conn := s.proxy(func(o *Options) { o.Shares = fakeShares(1) }).driver(t)
	_, err := conn.Exec(context.Background(), "/*route='read'*/ INSERT INTO intake VALUES (9, 'x')")
	if err == nil {
		t.Error("a read route wrote")
	}
	exec(t, conn, "INSERT INTO intake VALUES (1, 'first')")
	if got := queryText(t, conn, readNote); got != "first" {
		t.Errorf("read %q", got)
	}
}
