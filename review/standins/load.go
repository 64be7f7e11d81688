package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// load sends single reads from one session to each node until it is stopped. Statements are counted,
// not recorded one by one.
type load struct {
	stop     chan struct{}
	wait     sync.WaitGroup
	answered atomic.Int64
	refused  atomic.Int64
	broken   atomic.Int64
}

// startLoad starts a load of perSecond statements for each node.
func startLoad(d *deployment, database, key string, perSecond int) *load {
	l := &load{stop: make(chan struct{})}
	for _, n := range d.nodes {
		l.wait.Go(func() { l.run(d, n, database, key, time.Second/time.Duration(perSecond)) })
	}
	return l
}

func (l *load) run(d *deployment, n *node, database, key string, pause time.Duration) {
	var c *consumer
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			if c != nil {
				c.close()
			}
			return
		case <-ticker.C:
		}
		if c == nil {
			opened, refused, err := connect(d.rec, "load", n.front, database, key)
			if err != nil || refused != "" {
				l.broken.Add(1)
				continue
			}
			c = opened
			c.quiet = true
		}
		r := c.query(statementTimeout, "READ 1")
		switch {
		case r.err != nil:
			l.broken.Add(1)
			_ = c.conn.Close()
			c = nil
		case r.code != "":
			l.refused.Add(1)
		default:
			l.answered.Add(1)
		}
	}
}

// end stops the load and returns its counts.
func (l *load) end() string {
	close(l.stop)
	l.wait.Wait()
	return fmt.Sprintf("%d answered, %d refused, %d without an answer", l.answered.Load(), l.refused.Load(), l.broken.Load())
}
