package pgtarget

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"crocusyoke/internal/target"
)

// control calls the target's control functions over one connection. pgconn closes the
// connection when a call times out, so that no later call can read the answer to that call.
type control struct {
	conn    *pgconn.PgConn
	address string
}

// Status implements target.Control.
func (c *control) Status(ctx context.Context) (target.Status, error) {
	return c.callFunction(ctx, "group_status()")
}

// Adopt implements target.Control.
func (c *control) Adopt(ctx context.Context, term uint64, orderer string) (target.Status, error) {
	return c.callFunction(ctx, fmt.Sprintf("group_adopt(%d, %s)", term, quoteLiteral(orderer)))
}

// Promote implements target.Control.
func (c *control) Promote(ctx context.Context, term uint64, orderer string) (target.Status, error) {
	return c.callFunction(ctx, fmt.Sprintf("group_promote(%d, %s)", term, quoteLiteral(orderer)))
}

// Follow implements target.Control.
func (c *control) Follow(ctx context.Context, term uint64, address string) (target.Status, error) {
	return c.callFunction(ctx, fmt.Sprintf("group_follow(%d, %s)", term, quoteLiteral(address)))
}

// Close implements target.Control.
func (c *control) Close() error {
	err := c.conn.Conn().Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return Error.Wrap(err)
}

func (c *control) callFunction(ctx context.Context, function string) (target.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, target.ControlTimeout)
	defer cancel()
	results, err := c.conn.Exec(ctx, "SELECT "+function).ReadAll()
	if err != nil {
		return target.Status{}, Error.New("%s at %s: %w", function, c.address, err)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return target.Status{}, Error.New("%s at %s: result is not a single value", function, c.address)
	}
	var status target.Status
	if err := json.Unmarshal(results[0].Rows[0][0], &status); err != nil {
		return target.Status{}, Error.New("%s at %s: %w", function, c.address, err)
	}
	return status, nil
}

func quoteLiteral(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
