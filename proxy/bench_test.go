package proxy

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
)

// benchSystem runs a benchmark on a new system. The helpers need a testing.T, which is
// a substitute here.
func benchSystem(b *testing.B, run func(b *testing.B, s *system, p *testProxy)) {
	b.Helper()
	t := &testing.T{}
	s := newSystem(t, 0)
	run(b, s, s.proxy(func(o *Options) { o.Shares = fakeShares(20) }))
}

func benchConnect(b *testing.B, text string) *pgx.Conn {
	b.Helper()
	conn, err := pgx.Connect(context.Background(), text)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func benchStatements(b *testing.B, text string, mode pgx.QueryExecMode) {
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		conn := benchConnect(b, text)
		for pb.Next() {
			if _, err := conn.Exec(context.Background(), "SELECT 1", mode); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkStatement compares one short statement through the proxy with a direct
// connection.
func BenchmarkStatement(b *testing.B) {
	benchSystem(b, func(b *testing.B, s *system, p *testProxy) {
		host, port, _ := net.SplitHostPort(p.address)
		through := fmt.Sprintf("host=%s port=%s user=driver password=%s dbname=wax sslmode=disable", host, port, keyDriver)
		direct := fmt.Sprintf("postgres://jayloom:pw@%s/wax?sslmode=disable", s.primary.Addr())
		b.Run("direct/simple", func(b *testing.B) { benchStatements(b, direct, pgx.QueryExecModeSimpleProtocol) })
		b.Run("proxy/simple", func(b *testing.B) { benchStatements(b, through, pgx.QueryExecModeSimpleProtocol) })
		b.Run("direct/prepared", func(b *testing.B) { benchStatements(b, direct, pgx.QueryExecModeCacheStatement) })
		b.Run("proxy/prepared", func(b *testing.B) { benchStatements(b, through, pgx.QueryExecModeCacheStatement) })
		routed := through + " jayloom.route=read"
		b.Run("proxy/read", func(b *testing.B) { benchStatements(b, routed, pgx.QueryExecModeSimpleProtocol) })
	})
}

// maxIdleBytes bounds the memory of an idle caller connection.
const maxIdleBytes = 16 << 10

// Guards against idle callers that hold buffers. The measured memory includes the test's
// own end of each connection.
func TestIdleCallerMemory(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy()
	const callers = 400
	used := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	open := func() {
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		f := pgproto3.NewFrontend(conn, conn)
		f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
			Parameters: map[string]string{"user": "public", "database": "wax", "jayloom.route": "open"}})
		f.Send(&pgproto3.Query{String: "SELECT 1"})
		for range 2 {
			receive(t, f, 'Z')
		}
	}
	open()
	before := used()
	for range callers {
		open()
	}
	perCaller := (used() - before) / callers
	t.Logf("%d bytes per idle caller", perCaller)
	if perCaller > maxIdleBytes {
		t.Errorf("an idle caller holds %d bytes, want at most %d", perCaller, maxIdleBytes)
	}
}
