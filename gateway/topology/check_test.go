package topology

import (
	"math"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/api/controlpb"
)

// goodAnnouncement returns an announcement that names an upstream to use.
func goodAnnouncement() *controlpb.UpstreamAnnouncement {
	return &controlpb.UpstreamAnnouncement{
		Id: "i-7f3a91c2", Service: "wax", Address: "10.128.0.9:8080", Place: "hafnarfjörður", Slots: 3,
		StartedUnixMs: 1_700_000_000_000, Sequence: 4,
	}
}

// wantReason fails the test unless err refuses an entry for the given reason.
func wantReason(t *testing.T, name string, err error, want Reason) {
	t.Helper()
	var refused *EntryError
	if !errors.As(err, &refused) || refused.Reason != want {
		t.Errorf("%s: %v, want %s", name, err, want)
	}
}

// Guards against an upstream that no node can connect to, or that is the node itself: each attempt takes
// a connection and the time of a request.
func TestAddressThatNobodyCanDialIsRefused(t *testing.T) {
	for _, address := range []string{
		"10.0.0.1", "10.0.0.1:", ":8080", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:99999999999999999999",
		"10.0.0.1:http", "10.0.0.256:80", "10.0.1:80", "db.example:80", "[fe80::1]:80", "[::ffff:10.0.0.1]:80", "0.0.0.0:80",
		"224.0.0.1:80", "10.0.0.1:080", "10.0.0.1:80/", "010.0.0.1:80", "http://10.0.0.1:80",
	} {
		a := goodAnnouncement()
		a.Address = address
		wantReason(t, address, CheckAnnouncement(a), BadAddress)
	}
	for _, address := range []string{"10.128.0.9:1", "127.0.0.1:65535"} {
		a := goodAnnouncement()
		a.Address = address
		if err := CheckAnnouncement(a); err != nil {
			t.Errorf("%s: %v", address, err)
		}
	}
}

// Guards against numbers that no upstream counts up to: a start time far in the future displaces each
// later process at the address, and after the largest sequence number every further announcement counts
// as late.
func TestNumbersOutOfRangeAreRefused(t *testing.T) {
	for name, change := range map[string]func(*controlpb.UpstreamAnnouncement){
		"negative start":        func(a *controlpb.UpstreamAnnouncement) { a.StartedUnixMs = -1 },
		"lowest start":          func(a *controlpb.UpstreamAnnouncement) { a.StartedUnixMs = math.MinInt64 },
		"start in microseconds": func(a *controlpb.UpstreamAnnouncement) { a.StartedUnixMs *= 1000 },
		"highest start":         func(a *controlpb.UpstreamAnnouncement) { a.StartedUnixMs = math.MaxInt64 },
		"highest sequence":      func(a *controlpb.UpstreamAnnouncement) { a.Sequence = math.MaxUint64 },
	} {
		a := goodAnnouncement()
		change(a)
		wantReason(t, name, CheckAnnouncement(a), OutOfRange)
	}
	for name, change := range map[string]func(*controlpb.UpstreamAnnouncement){
		"no start":       func(a *controlpb.UpstreamAnnouncement) { a.StartedUnixMs = 0 },
		"start in 2099":  func(a *controlpb.UpstreamAnnouncement) { a.StartedUnixMs = 4_070_908_800_000 },
		"first sequence": func(a *controlpb.UpstreamAnnouncement) { a.Sequence = 0 },
		"no slots":       func(a *controlpb.UpstreamAnnouncement) { a.Slots = 0 },
	} {
		a := goodAnnouncement()
		change(a)
		if err := CheckAnnouncement(a); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
