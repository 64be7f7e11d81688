package pool

import (
	"context"
	"time"

	"crocusyoke/internal/contain"
	"crocusyoke/internal/target"
)

// Conn is a connection of a Pool. The caller returns it with Put or Discard.
type Conn struct {
	target.Conn
	pool     *Pool
	customer string
	lastUsed time.Time
	opened   time.Time
	// warm is true once the target's process was known to be warm (package coldstart). The user of the connection
	// reads and sets it.
	warm bool
}

// OpenedAt returns when the connection was open.
func (c *Conn) OpenedAt() time.Time { return c.opened }

// IsWarm reports whether SetWarm was called.
func (c *Conn) IsWarm() bool { return c.warm }

// SetWarm records that the process at the other end is warm, which it stays.
func (c *Conn) SetWarm() { c.warm = true }

// Cancel implements target.Conn. A panic becomes an error.
func (c *Conn) Cancel(ctx context.Context) error {
	return c.pool.contain("cancel statement", func() error { return c.Conn.Cancel(ctx) })
}

// Close implements target.Conn. A panic becomes an error.
func (c *Conn) Close() error {
	return c.pool.contain("close connection", c.Conn.Close)
}

// contain returns the error of f, or an error if f panics, so that the pool's counts stay right.
func (p *Pool) contain(step string, f func() error) error {
	return contain.Run(p.options.Logger, step, f)
}
