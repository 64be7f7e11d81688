package main

import (
	"errors"
	"fmt"
	"time"
)

// statementTimeout is how long a consumer waits for an answer.
const statementTimeout = 2 * time.Second

// playRoutePutBack: a route is dropped while a consumer has a transaction open, the consumer rolls
// the transaction back, and the operator puts the route back. The next single write of the session
// must not be lost once it is acknowledged.
func playRoutePutBack(d *deployment, trouble bool) (bool, string, error) {
	tenants := []any{tenant("maker", 100, "key1"), tenant("shop", 100, "key2")}
	both := []any{route("orders", "primary"), route("rates", "primary")}
	without := []any{route("rates", "primary")}
	d.writeConfig(4, "routes orders and rates", both, tenants)
	if err := d.startNodes(); err != nil {
		return false, "", err
	}
	var sessions []*consumer
	for i, n := range d.nodes {
		c, refused, err := connect(d.rec, fmt.Sprintf("maker-%d", i+1), n.front, "orders", "key1")
		if err != nil || refused != "" {
			return false, "", fmt.Errorf("session at %s: %s %w", n.name, refused, err)
		}
		defer c.close()
		sessions = append(sessions, c)
	}
	// Every session opens a transaction and writes in it.
	for i, c := range sessions {
		if !c.query(statementTimeout, "BEGIN").succeeded() || !c.query(statementTimeout, fmt.Sprintf("WRITE tx%d first", i)).succeeded() {
			return false, "", errors.New("no transaction was opened")
		}
	}
	if trouble {
		d.writeConfig(7, "route orders is dropped", without, tenants)
	}
	time.Sleep(500 * time.Millisecond)
	for i, c := range sessions {
		c.query(statementTimeout, fmt.Sprintf("WRITE tx%d second", i))
		if r := c.query(statementTimeout, "ROLLBACK"); r.err != nil || r.code != "" || r.state != "I" {
			return false, "", errors.New("the rollback was not acknowledged")
		}
	}
	if trouble {
		d.writeConfig(8, "route orders is back", both, tenants)
	}
	time.Sleep(500 * time.Millisecond)
	// The next operation of each session is a single write.
	lost := 0
	for i, c := range sessions {
		item, data := fmt.Sprintf("item%d", i), fmt.Sprintf("data%d", i)
		r := c.query(statementTimeout, "WRITE "+item+" "+data)
		if !r.succeeded() {
			continue
		}
		if r.state != "I" {
			// The operation ended outside I, so the consumer closes its session.
			c.close()
		}
		// A read on a primary route, begun after the acknowledgement, by another consumer.
		got, err := readElsewhere(d, item)
		if err != nil {
			return false, "", err
		}
		if got != data {
			d.rec.log("acknowledged write of %s is missing: read %q", item, got)
			lost++
		}
	}
	if lost > 0 {
		return true, fmt.Sprintf("%d of %d acknowledged writes are missing in later reads on a primary route", lost, len(sessions)), nil
	}
	return false, "every acknowledged write was read", nil
}

// readElsewhere reads an item in a new session of another tenant on a primary route.
func readElsewhere(d *deployment, item string) (string, error) {
	for attempt := range 5 {
		c, refused, err := connect(d.rec, "shop", d.nodes[attempt%len(d.nodes)].front, "rates", "key2")
		if err != nil || refused != "" {
			continue
		}
		r := c.query(statementTimeout, "READ "+item)
		c.close()
		if r.succeeded() {
			if len(r.rows) == 0 {
				return "", nil
			}
			return r.rows[0], nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "", errors.New("the item could not be read")
}
