// Package clock provides the clock that leases are measured with.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, including time in which it was suspended.
//
// Leases are not measured with Go's monotonic clock, because it stops while a VM is
// suspended: a lease would seem valid long after control has considered it expired.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
