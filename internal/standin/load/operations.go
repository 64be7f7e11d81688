package load

import (
	"context"
	"time"

	"crocusyoke/internal/standin/check"
)

const insertBooking = `INSERT INTO bookings (customer, client, booking, attempt, step, serial)
	VALUES ($1, $2::int8, $3, $4, $5::int8, $6::int8)`

// book inserts one booking. While its outcome is unknown, it sends the booking again with the
// same idempotency key, up to maxBookingSends times in all.
func (c *client) book(ctx context.Context) {
	serial := c.serial + 1
	booking := c.nextName("b")
	for try := range maxBookingSends {
		op := c.newOp(check.Book)
		op.Booking, op.Attempt, op.Serial = booking, booking+"/1", serial
		err := c.sendBooking(ctx, &op)
		c.recordResult(&op, err)
		if op.Outcome == check.OK {
			c.serial = serial
			c.saveSessionToken()
			return
		}
		if op.Outcome != check.Unknown || try == maxBookingSends-1 || ctx.Err() != nil {
			break
		}
		time.Sleep(firstResendDelay << try)
	}
	// The booking may have been inserted, so the next one needs a new serial.
	c.serial = serial
}

func (c *client) sendBooking(ctx context.Context, op *check.Op) error {
	if err := c.ensureConnected(ctx); err != nil {
		return err
	}
	ctx, cancel := c.operationContext()
	defer cancel()
	if _, err := c.conn.Exec(ctx, "SET crocusyoke.request_id = '"+op.Booking+"'"); err != nil {
		return notSentError{err}
	}
	_, err := c.conn.Exec(ctx, insertBooking, op.Customer, op.Client, op.Booking, op.Attempt, 0, op.Serial)
	return err
}

// operationContext returns the context of one operation. It does not derive from the context
// of the run, so that the operation can finish after the run has ended.
func (c *client) operationContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.generator.options.Timeout)
}

// transfer inserts two rows in one transaction. It has no idempotency key and is therefore
// never sent again.
func (c *client) transfer(ctx context.Context) {
	op := c.newOp(check.Transfer)
	op.Booking = c.nextName("t")
	op.Attempt = op.Booking + "/1"
	c.recordResult(&op, c.sendTransfer(ctx, &op))
	c.saveSessionToken()
}

func (c *client) sendTransfer(ctx context.Context, op *check.Op) error {
	if err := c.ensureConnected(ctx); err != nil {
		return err
	}
	ctx, cancel := c.operationContext()
	defer cancel()
	tx, err := c.conn.Begin(ctx)
	if err != nil {
		return notSentError{err}
	}
	for step := 1; step <= 2; step++ {
		_, err := tx.Exec(ctx, insertBooking, op.Customer, op.Client, op.Booking, op.Attempt, step, 0)
		if err != nil {
			_ = tx.Rollback(ctx)
			return notSentError{err}
		}
	}
	return tx.Commit(ctx)
}

// readOwn reads the newest booking of this client. The answer echoes a nonce, which shows
// whether it belongs to another request.
func (c *client) readOwn(ctx context.Context) {
	op := c.newOp(check.ReadOwn)
	nonce := c.nextName("r")
	var echo string
	err := c.ensureConnected(ctx)
	if err == nil {
		queryCtx, cancel := c.operationContext()
		defer cancel()
		err = c.conn.QueryRow(queryCtx,
			"SELECT $1 AS nonce, coalesce(max(serial), 0) FROM bookings WHERE client = $2::int8 AND booking LIKE $3",
			nonce, c.number, c.generator.options.RunName+"-b-%").Scan(&echo, &op.Serial)
	}
	op.Crossed = err == nil && echo != nonce
	c.recordResult(&op, err)
	c.saveSessionToken()
}

// readRates reads the whole rate list, which may be stale, and checks that no row is missing.
func (c *client) readRates(ctx context.Context) {
	op := c.newOp(check.ReadRates)
	rows, err := c.sendReadRates(ctx)
	op.Partial = err == nil && rows != rateListRows
	c.recordResult(&op, err)
}

func (c *client) sendReadRates(ctx context.Context) (int, error) {
	if err := c.ensureConnected(ctx); err != nil {
		return 0, err
	}
	ctx, cancel := c.operationContext()
	defer cancel()
	if _, err := c.conn.Exec(ctx, "SET crocusyoke.profile = '"+c.generator.options.RatesProfile+"'"); err != nil {
		return 0, notSentError{err}
	}
	rows, err := c.countRates(ctx)
	// Later operations must not run under the profile of the rate list.
	if _, resetErr := c.conn.Exec(ctx, "RESET crocusyoke.profile"); resetErr != nil {
		c.disconnect()
	}
	return rows, err
}

func (c *client) countRates(ctx context.Context) (int, error) {
	rows, err := c.conn.Query(ctx, "SELECT n, payload FROM rates ORDER BY n")
	if err != nil {
		return 0, err
	}
	defer rows.Close()
	count := 0
	for rows.Next() {
		count++
	}
	return count, rows.Err()
}

// queryForeignService connects to a service that the customer may not use and, if it gets
// in, runs a query there.
func (c *client) queryForeignService(ctx context.Context) {
	if c.customer.ForeignService == "" {
		return
	}
	op := c.newOp(check.ForeignAccess)
	op.Service = c.customer.ForeignService
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := c.dial(ctx, c.customer.ForeignService)
	if err != nil {
		c.recordResult(&op, notSentError{err})
		return
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, "SELECT 1")
	c.recordResult(&op, err)
}
