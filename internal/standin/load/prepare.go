package load

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"

	"crocusyoke/internal/standin/check"
)

// schema creates the tables that the load needs in every group, and empties the rate list.
var schema = []string{
	`CREATE TABLE IF NOT EXISTS bookings (customer text, client int8, booking text, attempt text, step int8, serial int8)`,
	`CREATE TABLE IF NOT EXISTS rates (n int8, payload text)`,
	`DELETE FROM rates`,
}

// prepareRetryDelay is the delay between attempts to prepare a group that is still starting.
const prepareRetryDelay = 100 * time.Millisecond

// Prepare creates the tables of a customer's service through a node, with that customer's
// key. It retries until it succeeds or ctx ends.
func Prepare(ctx context.Context, options Options, customer *Customer) error {
	for {
		err := prepareOnce(ctx, options, customer)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("prepare %s: %w", customer.Service, err)
		}
		time.Sleep(prepareRetryDelay)
	}
}

func prepareOnce(ctx context.Context, options Options, customer *Customer) error {
	g := NewGenerator(options, NewRecorder(time.Now()))
	c := g.newClient(0, 0, customer)
	conn, err := c.dial(ctx, customer.Service)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	for _, statement := range schema {
		if err := execUntilRun(ctx, conn, statement); err != nil {
			return err
		}
	}
	rates := "INSERT INTO rates (n, payload) VALUES "
	for n := range rateListRows {
		if n > 0 {
			rates += ", "
		}
		rates += fmt.Sprintf("(%d, 'rate %d of the list')", n, n)
	}
	return execUntilRun(ctx, conn, rates)
}

// execUntilRun executes a statement and repeats it as long as it is refused as not run, for
// instance because it exceeds a customer's small burst. It gives up if ctx ends or the
// connection closes.
func execUntilRun(ctx context.Context, conn *pgx.Conn, statement string) error {
	for {
		_, err := conn.Exec(ctx, statement)
		outcome, _ := classifyError(err)
		if outcome != check.NotRun || ctx.Err() != nil || conn.IsClosed() {
			return err
		}
		time.Sleep(prepareRetryDelay)
	}
}

// ReadRows reads all bookings of a run directly from one target, bypassing the proxy.
func ReadRows(ctx context.Context, url, group, run string) ([]check.Row, error) {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return nil, err
	}
	defer conn.Close(ctx)
	rows, err := conn.Query(ctx, "SELECT customer, client, booking, attempt, step FROM bookings WHERE booking LIKE $1", run+"-%")
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	var all []check.Row
	for rows.Next() {
		r := check.Row{Group: group}
		if err := rows.Scan(&r.Customer, &r.Client, &r.Booking, &r.Attempt, &r.Step); err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, rows.Err()
}
