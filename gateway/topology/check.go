package topology

import (
	"fmt"
	"net/netip"
	"unicode"
	"unicode/utf8"

	"github.com/jayloom/jayloom/api/controlpb"
)

// maxNameBytes bounds the ID, service, address and place of an entry. Names are a few dozen bytes long;
// each of them is sent to all nodes.
const maxNameBytes = 256

const (
	// maxStartedUnixMs is the end of 2099 in Unix milliseconds. It is a constant, because the clocks of
	// VMs may be wrong: by a clock, a VM would refuse every upstream.
	maxStartedUnixMs = 4_102_444_799_999
	// maxSequence is the largest number that every writer of JSON can write exactly. A process that
	// announces itself each millisecond would reach it after 285,000 years.
	maxSequence = 1 << 53
)

// Reason says why an entry names no upstream to use.
type Reason string

// Reasons why an entry names no upstream to use.
const (
	Missing    Reason = "missing"
	TooLong    Reason = "too_long"
	OutOfRange Reason = "out_of_range"
	// BadCharacters means text that protobuf cannot encode or that would end a field or a line of a
	// message to an upstream.
	BadCharacters Reason = "bad_characters"
	// BadAddress means text that is not an IPv4 address of one host with a port from 1 to 65535.
	BadAddress Reason = "bad_address"
)

// EntryError refuses an entry that names no upstream to use.
type EntryError struct {
	// Field is the name of the field, as in the messages between nodes.
	Field  string
	Reason Reason
}

// Error implements error.
func (e *EntryError) Error() string {
	return fmt.Sprintf("field %s of the entry: %s", e.Field, e.Reason)
}

// CheckAnnouncement returns an EntryError if an announcement names no upstream to use. The check is the
// same for all ways in: a report from outside and a call of another node.
func CheckAnnouncement(a *controlpb.UpstreamAnnouncement) error {
	if a.GetPhase() == controlpb.UpstreamPhase_UPSTREAM_PHASE_LEFT {
		return checkWord("id", a.GetId())
	}
	return firstError(
		checkIdentity(a.GetId(), a.GetService(), a.GetAddress()),
		checkPrintable("place", a.GetPlace()),
		checkRange("started_unix_ms", a.GetStartedUnixMs(), 0, maxStartedUnixMs),
		checkRange("sequence", a.GetSequence(), 0, maxSequence),
	)
}

// CheckUpstream returns an EntryError if an entry of a topology that was saved or sent by an earlier leader
// names no upstream to use. Earlier versions believed announcements without a place.
func CheckUpstream(u *controlpb.TopologyUpstream) error {
	if err := checkIdentity(u.GetId(), u.GetService(), u.GetAddress()); err != nil || u.GetPlace() == "" {
		return err
	}
	return checkPrintable("place", u.GetPlace())
}

// CheckPrimary returns an EntryError if an entry of such a topology names no primary to use.
func CheckPrimary(p *controlpb.TopologyPrimary) error {
	return firstError(checkWord("service", p.GetService()), checkWord("upstream", p.GetUpstream()))
}

func checkIdentity(id, service, address string) error {
	return firstError(checkWord("id", id), checkWord("service", service), checkAddress("address", address))
}

func checkRange[T int64 | uint64](field string, value, lowest, highest T) error {
	if value < lowest || value > highest {
		return &EntryError{field, OutOfRange}
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkWord checks text that is one field of a message to an upstream, between blanks.
func checkWord(field, text string) error {
	for _, r := range text {
		if unicode.IsSpace(r) {
			return &EntryError{field, BadCharacters}
		}
	}
	return checkPrintable(field, text)
}

// checkAddress checks an address and its text, by which upstreams at one address are compared.
func checkAddress(field, text string) error {
	if err := checkWord(field, text); err != nil {
		return err
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 || a.String() != text {
		return &EntryError{field, BadAddress}
	}
	// A connection to the unspecified address would reach this VM itself.
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return &EntryError{field, BadAddress}
	}
	return nil
}

// checkPrintable checks text that is compared and sent to nodes.
func checkPrintable(field, text string) error {
	if text == "" {
		return &EntryError{field, Missing}
	}
	if len(text) > maxNameBytes {
		return &EntryError{field, TooLong}
	}
	for _, r := range text {
		// A byte that is not UTF-8 is read as the replacement character, which JSON decoders put in
		// its place.
		if r == utf8.RuneError || !unicode.IsPrint(r) {
			return &EntryError{field, BadCharacters}
		}
	}
	return nil
}
