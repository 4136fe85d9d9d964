package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/consensus"
	"github.com/jayloom/jayloom/control/replica"
	"github.com/jayloom/jayloom/wal"
)

// cpuTime returns the CPU time that this process has used.
func cpuTime(tb testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// startVoters starts three voters with real files that communicate over loopback.
func startVoters(b *testing.B) []*replica.Replica {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var listeners []net.Listener
	var addresses []string
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	var replicas []*replica.Replica
	for i, l := range listeners {
		r, err := replica.Open(replica.Config{
			Folder: b.TempDir(), Address: addresses[i], Voters: addresses, SnapshotEntries: 1000,
			DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())},
			Log:         logrus.NewEntry(logger),
		}, NewStore(func(StoreEvent) {}))
		if err != nil {
			b.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		server := grpc.NewServer(replica.ServerOptions()...)
		r.Register(server)
		ended := make(chan struct{})
		go func() { _ = server.Serve(l) }()
		go func() { _ = r.Run(ctx); close(ended) }()
		b.Cleanup(func() { cancel(); <-ended; server.Stop() })
		replicas = append(replicas, r)
	}
	return replicas
}

func awaitVoterLeader(b *testing.B, replicas []*replica.Replica) *replica.Replica {
	poll := time.NewTicker(5 * time.Millisecond)
	defer poll.Stop()
	for range poll.C {
		for _, r := range replicas {
			if r.Status().Leading && r.LeaseValid(clock.Now()) {
				return r
			}
		}
	}
	return nil
}

func benchCommand(i int) *controlpb.Command {
	return &controlpb.Command{RequestId: fmt.Sprintf("request-%020d", i), Actor: "operator", UnixMs: 1_700_000_000_000,
		Change: &controlpb.Command_PutTeam{PutTeam: &controlpb.Team{Name: fmt.Sprintf("team-%05d", i%1000), Rate: 100, Burst: 50}}}
}

// BenchmarkCommit measures commits by three voters in one process, one command at a
// time, from the proposal to its result. cpu-ns covers all three voters.
func BenchmarkCommit(b *testing.B) {
	leader := awaitVoterLeader(b, startVoters(b))
	before, n := cpuTime(b), 0
	for b.Loop() {
		n++
		if _, err := leader.Propose(context.Background(), benchCommand(n)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(n), "cpu-ns/op")
}

// BenchmarkIdleVoters reports the CPU time per second that three idle voters in one
// process use for heartbeats.
func BenchmarkIdleVoters(b *testing.B) {
	awaitVoterLeader(b, startVoters(b))
	before, start := cpuTime(b), time.Now()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/time.Since(start).Seconds(), "cpu-us/s")
}

// BenchmarkAppend measures the append of one command to the log of one voter, which is
// a write and an fsync.
func BenchmarkAppend(b *testing.B) {
	log, _, err := wal.Open(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	defer log.Close()
	data, err := proto.Marshal(benchCommand(1))
	if err != nil {
		b.Fatal(err)
	}
	var index consensus.Index
	for b.Loop() {
		index++
		entry := consensus.Entry{Index: index, Term: 1, Data: data}
		if err := log.Append(consensus.HardState{Term: 1}, []consensus.Entry{entry}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "command-bytes")
}
