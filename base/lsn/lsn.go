// Package lsn parses PostgreSQL log sequence numbers.
package lsn

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Parse parses a log sequence number of the form XXXXXXXX/XXXXXXXX.
func Parse(text string) (uint64, error) {
	high, low, ok := strings.Cut(text, "/")
	if !ok {
		return 0, errors.Newf("log position %q has no slash", text)
	}
	h, err := strconv.ParseUint(high, 16, 32)
	if err != nil {
		return 0, errors.Wrapf(err, "log position %q", text)
	}
	l, err := strconv.ParseUint(low, 16, 32)
	if err != nil {
		return 0, errors.Wrapf(err, "log position %q", text)
	}
	return h<<32 | l, nil
}
