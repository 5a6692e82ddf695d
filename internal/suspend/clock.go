// Package suspend provides a monotonic clock that continues to advance while the host is suspended.
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since its creation, including the time during which the host is suspended. Go's monotonic
// clock stops while a host is suspended, so that a lease measured with it would seem valid after it has expired for all
// others.
type Clock struct {
	start         time.Duration
	fallbackStart time.Time
}

// New returns a clock that starts now.
func New() *Clock {
	c := &Clock{fallbackStart: time.Now()}
	c.start, _ = boottime()
	return c
}

// Now returns the time since the creation of the clock.
func (c *Clock) Now() time.Duration {
	if now, ok := boottime(); ok {
		return now - c.start
	}
	return time.Since(c.fallbackStart) // Kernels without CLOCK_BOOTTIME do not report suspension at all.
}

// boottime returns the time since boot, including suspension, false if the kernel does not provide it.
func boottime() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
