package timeline

import (
	"sync"
	"time"
)

// MaxDrift bounds how far a remote stamp may move the clock ahead of the local
// wall time. A VM whose clock is wrong by more must not drag the others along.
const MaxDrift = time.Minute

// Clock is a hybrid logical clock: its readings never go back and are later
// than every stamp that was merged. The zero value is ready for use.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
	// wall returns the local wall time in nanoseconds; nil means time.Now.
	wall func() int64
}

// Now returns a reading that is later than all earlier ones.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(c.read())
	return c.last
}

// Merge moves the clock past a stamp that arrived from another VM and returns
// the new reading. A stamp more than MaxDrift ahead of the wall time is ignored.
func (c *Clock) Merge(remote Timestamp) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.read()
	if c.last.Less(remote) && remote.Wall-wall <= int64(MaxDrift) {
		c.last = remote
	}
	c.advance(wall)
	return c.last
}

func (c *Clock) advance(wall int64) {
	if wall > c.last.Wall {
		c.last = Timestamp{Wall: wall}
		return
	}
	c.last.Logical++
}

func (c *Clock) read() int64 {
	if c.wall != nil {
		return c.wall()
	}
	return time.Now().UnixNano()
}
