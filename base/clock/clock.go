// Package clock reads the time that leases are measured with.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, suspended time included.
//
// Leases use it in place of Go's monotonic clock, which stands still while a VM
// is suspended: a lease would then seem valid long after control gave it up.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
