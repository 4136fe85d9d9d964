// Package entry checks the fields of an entry that names a server: an announcement from outside, or an entry
// of a list that another process has sent. One odd entry must not stop the processes that read the list.
package entry

import (
	"fmt"
	"net/netip"
	"unicode"
	"unicode/utf8"
)

// MaxNameBytes bounds a name or an address. Names are a few dozen bytes long; each of them is sent to all
// processes.
const MaxNameBytes = 256

// Reason says why an entry names no server to use.
type Reason string

// Reasons why an entry names no server to use.
const (
	Missing    Reason = "missing"
	TooLong    Reason = "too_long"
	OutOfRange Reason = "out_of_range"
	// BadCharacters means text that protobuf cannot encode or that would end a field or a line of a
	// message to a server.
	BadCharacters Reason = "bad_characters"
	// BadAddress means text that is not the address of one host with a port from 1 to 65535.
	BadAddress Reason = "bad_address"
)

// Error refuses an entry that names no server to use.
type Error struct {
	// Field is the name of the field, as in the messages between processes.
	Field  string
	Reason Reason
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("field %s of the entry: %s", e.Field, e.Reason)
}

// First returns the first error that is not nil.
func First(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// CheckRange checks a number.
func CheckRange[T int64 | uint64 | uint32](field string, value, lowest, highest T) error {
	if value < lowest || value > highest {
		return &Error{field, OutOfRange}
	}
	return nil
}

// CheckWord checks text that is one field of a message to a server, between blanks.
func CheckWord(field, text string) error {
	for _, r := range text {
		if unicode.IsSpace(r) {
			return &Error{field, BadCharacters}
		}
	}
	return CheckPrintable(field, text)
}

// CheckPrintable checks text that is compared and sent to other processes.
func CheckPrintable(field, text string) error {
	if text == "" {
		return &Error{field, Missing}
	}
	if len(text) > MaxNameBytes {
		return &Error{field, TooLong}
	}
	for _, r := range text {
		// A byte that is not UTF-8 is read as the replacement character, which JSON decoders put in
		// its place.
		if r == utf8.RuneError || !unicode.IsPrint(r) {
			return &Error{field, BadCharacters}
		}
	}
	return nil
}

// CheckIPv4Address checks an IPv4 address with a port, and its text, by which servers at one address are
// compared.
func CheckIPv4Address(field, text string) error {
	if err := CheckWord(field, text); err != nil {
		return err
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() || !isOneHost(a) || a.String() != text {
		return &Error{field, BadAddress}
	}
	return nil
}

// isOneHost reports whether a connection to an address reaches one host with a port. One to the unspecified
// address would reach the machine itself.
func isOneHost(a netip.AddrPort) bool {
	return a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
