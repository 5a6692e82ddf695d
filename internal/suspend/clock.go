// Package suspend reads a monotonic clock that goes on while the host is suspended.
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since its creation. Go's monotonic clock stands still while a host is suspended, so that a
// lease measured with it would seem valid after it has ended for everybody else.
type Clock struct {
	start         time.Duration
	fallbackStart time.Time
}

// New starts a clock.
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
	return time.Since(c.fallbackStart) // Kernels without the clock do not report suspension either.
}

func boottime() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
