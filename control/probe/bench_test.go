package probe

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/base/settings"
)

// serveProbes is a fake server that sends the same encoded answer to every query.
func serveProbes(conn net.Conn) {
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	greeting, _ := (&pgproto3.AuthenticationOk{}).Encode(nil)
	greeting, _ = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(greeting)
	if _, err := conn.Write(greeting); err != nil {
		return
	}
	fields := make([]pgproto3.FieldDescription, probeColumns)
	for i := range fields {
		fields[i] = pgproto3.FieldDescription{Name: []byte("column"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}
	}
	answer, _ := (&pgproto3.RowDescription{Fields: fields}).Encode(nil)
	answer, _ = (&pgproto3.DataRow{Values: [][]byte{[]byte("t"), []byte("1F/2A3B4C5D"), []byte("3"), []byte("0.0123")}}).Encode(answer)
	answer, _ = (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}).Encode(answer)
	answer, _ = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(answer)
	query := make([]byte, 4096)
	for {
		if _, err := conn.Read(query); err != nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// BenchmarkProbe measures one probe of a server on an open connection. cpu-ns
// includes the reads and writes of the fake server.
func BenchmarkProbe(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveProbes(conn)
		}
	}()
	server := Postgres{Account: settings.UpstreamAccount{User: "jayloom"}}.Server(listener.Addr().String(), "wax")
	defer server.Close()
	cpuTime := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	before, n := cpuTime(), 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		// As in Prober, each probe has its own timeout.
		ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
		result, err := server.Probe(ctx)
		cancel()
		if err != nil || !result.Reachable {
			b.Fatal(result, err)
		}
	}
	b.ReportMetric(float64(cpuTime()-before)/float64(n), "cpu-ns/op")
	b.ReportMetric(float64(len(probeStatement)), "question-bytes")
}
