package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SuspendedTime returns the total time that the machine has been suspended since boot, or 0 if
// the system does not report it. The monotonic readings of Wall do not include that time.
func SuspendedTime() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
