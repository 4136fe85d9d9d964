package topology

import (
	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/entry"
)

const (
	// maxStartedUnixMs is the end of 2099 in Unix milliseconds. It is a constant, because the clocks of
	// VMs may be wrong: by a clock, a VM would refuse every upstream.
	maxStartedUnixMs = 4_102_444_799_999
	// maxSequence is the largest number that every writer of JSON can write exactly. A process that
	// announces itself each millisecond would reach it after 285,000 years.
	maxSequence = 1 << 53
)

// Reason says why an entry names no upstream to use.
type Reason = entry.Reason

// Reasons why an entry names no upstream to use.
const (
	Missing       = entry.Missing
	TooLong       = entry.TooLong
	OutOfRange    = entry.OutOfRange
	BadCharacters = entry.BadCharacters
	BadAddress    = entry.BadAddress
)

// EntryError refuses an entry that names no upstream to use.
type EntryError = entry.Error

// CheckAnnouncement returns an EntryError if an announcement names no upstream to use. The check is the
// same for all ways in: a report from outside and a call of another node.
func CheckAnnouncement(a *controlpb.UpstreamAnnouncement) error {
	if a.GetPhase() == controlpb.UpstreamPhase_UPSTREAM_PHASE_LEFT {
		return entry.CheckWord("id", a.GetId())
	}
	return entry.First(
		checkIdentity(a.GetId(), a.GetService(), a.GetAddress()),
		entry.CheckPrintable("place", a.GetPlace()),
		entry.CheckRange("started_unix_ms", a.GetStartedUnixMs(), 0, maxStartedUnixMs),
		entry.CheckRange("sequence", a.GetSequence(), 0, maxSequence),
	)
}

// CheckUpstream returns an EntryError if an entry of a topology that was saved or sent by an earlier leader
// names no upstream to use. Earlier versions believed announcements without a place.
func CheckUpstream(u *controlpb.TopologyUpstream) error {
	if err := checkIdentity(u.GetId(), u.GetService(), u.GetAddress()); err != nil || u.GetPlace() == "" {
		return err
	}
	return entry.CheckPrintable("place", u.GetPlace())
}

// CheckPrimary returns an EntryError if an entry of such a topology names no primary to use.
func CheckPrimary(p *controlpb.TopologyPrimary) error {
	return entry.First(entry.CheckWord("service", p.GetService()), entry.CheckWord("upstream", p.GetUpstream()))
}

func checkIdentity(id, service, address string) error {
	return entry.First(
		entry.CheckWord("id", id), entry.CheckWord("service", service), entry.CheckIPv4Address("address", address))
}
