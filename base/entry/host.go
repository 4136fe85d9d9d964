package entry

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
)

const (
	// maxHostNameBytes and maxLabelBytes are the limits of RFC 1035.
	maxHostNameBytes = 253
	maxLabelBytes    = 63
)

// CheckHostAddress checks an address of the form host:port, whose host is an IP address or a DNS name. Each
// host has one spelling, since servers are told apart by the text of their addresses.
func CheckHostAddress(field, text string) error {
	if err := CheckWord(field, text); err != nil {
		return err
	}
	host, port, err := net.SplitHostPort(text)
	if err != nil || !isPort(port) || net.JoinHostPort(host, port) != text || !isIPAddress(text) && !isHostName(host) {
		return &Error{field, BadAddress}
	}
	return nil
}

func isPort(text string) bool {
	port, err := strconv.ParseUint(text, 10, 16)
	return err == nil && port != 0 && strconv.FormatUint(port, 10) == text
}

// isIPAddress reports whether text is the address of one host by IP. Zones have a meaning on one machine only.
func isIPAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Addr().Zone() == "" && !a.Addr().Is4In6() && isOneHost(a) && a.String() == text
}

// isHostName reports whether text is a DNS name in lower case without the final dot. A name whose last label
// is a number is a mistyped IPv4 address, or one that resolvers read as octal.
func isHostName(text string) bool {
	if len(text) > maxHostNameBytes {
		return false
	}
	labels := strings.Split(text, ".")
	for _, label := range labels {
		if !isLabel(label) {
			return false
		}
	}
	return strings.Trim(labels[len(labels)-1], "0123456789") != ""
}

func isLabel(text string) bool {
	const allowed = "abcdefghijklmnopqrstuvwxyz0123456789-_"
	if text == "" || len(text) > maxLabelBytes {
		return false
	}
	return strings.Trim(text, allowed) == "" && text[0] != '-' && text[len(text)-1] != '-'
}
