package load

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"crocusyoke/internal/standin/check"
)

const (
	// connectTimeout limits how long a caller waits for a connection.
	connectTimeout = 2 * time.Second
	// maxBookingSends is the maximum number of sends of a booking whose outcome stays unknown.
	maxBookingSends = 4
	// firstResendDelay is the delay before the first resend; it doubles each time.
	firstResendDelay = 150 * time.Millisecond
	// rateListRows is the number of rows of the rate list.
	rateListRows = 20
)

// client is one caller. It sends one operation at a time and remembers the session token
// across its connections.
type client struct {
	generator *Generator
	customer  *Customer
	number    int
	nodeIndex int
	rand      *rand.Rand

	conn           *pgx.Conn
	token          string
	operationCount int
	serial         int
	nameCount      int
}

func (c *client) run(ctx context.Context) {
	defer c.disconnect()
	next := time.Now()
	for {
		next = next.Add(c.pause())
		// A caller that fell behind skips what it missed instead of catching up with a flood.
		if behind := time.Since(next); behind > time.Second {
			next = next.Add(behind)
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		c.sendRandomOperation(ctx)
	}
}

// sendRandomOperation sends one operation whose kind is drawn according to the mix. Before
// that, it disconnects if it has sent enough operations to its node.
func (c *client) sendRandomOperation(ctx context.Context) {
	c.operationCount++
	if perNode := c.generator.options.OperationsPerNode; perNode > 0 && c.operationCount%perNode == 0 && !c.generator.options.OneNodePerCustomer {
		c.disconnect()
	}
	mix := c.generator.options.Mix
	draw := c.rand.Float64()
	switch {
	case draw < mix.Book:
		c.book(ctx)
	case draw < mix.Book+mix.Transfer:
		c.transfer(ctx)
	case draw < mix.Book+mix.Transfer+mix.ReadOwn:
		c.readOwn(ctx)
	case draw < mix.Book+mix.Transfer+mix.ReadOwn+mix.ForeignAccess:
		c.queryForeignService(ctx)
	default:
		c.readRates(ctx)
	}
}

// newOp returns the record of an operation that starts now.
func (c *client) newOp(kind check.Kind) check.Op {
	return check.Op{
		Customer: c.customer.Name,
		KeyID:    c.customer.KeyID,
		Service:  c.customer.Service,
		Group:    c.customer.Group,
		Client:   c.number,
		Node:     c.generator.options.Nodes[c.nodeIndex].Name,
		Kind:     kind,
		Start:    c.generator.recorder.Now(),
	}
}

// recordResult completes and stores the record of an operation that ended with err. If the
// connection is closed, the next operation connects again.
func (c *client) recordResult(op *check.Op, err error) {
	op.End = c.generator.recorder.Now()
	op.Outcome, op.SQLState = classifyError(err)
	if err != nil {
		op.Detail = err.Error()
	}
	c.generator.recorder.add(*op)
	if c.conn != nil && c.conn.IsClosed() {
		c.disconnect()
	}
}

// notSentError marks an error that occurred before the operation could take effect: while
// connecting, in a statement that prepares it, or in a transaction before its COMMIT.
type notSentError struct{ error }

func (e notSentError) Unwrap() error { return e.error }

// deallocateErrorPrefix is the start of the driver's error text if it finds the connection
// closed while it clears its statement cache, which it does before it sends a statement.
const deallocateErrorPrefix = "failed to deallocate cached statement"

// classifyError returns the outcome that an operation's error stands for, and the SQLSTATE if
// the server sent one. The detail of a refusal says whether the operation has run.
func classifyError(err error) (check.Outcome, string) {
	if err == nil {
		return check.OK, ""
	}
	var unsent notSentError
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		switch {
		case strings.Contains(pgErr.Detail, "outcome unknown"):
			return check.Unknown, pgErr.Code
		case strings.Contains(pgErr.Detail, "not run"), errors.As(err, &unsent):
			return check.NotRun, pgErr.Code
		}
		return check.Failed, pgErr.Code
	}
	if errors.As(err, &unsent) || pgconn.SafeToRetry(err) || strings.HasPrefix(err.Error(), deallocateErrorPrefix) {
		return check.NotRun, ""
	}
	return check.Unknown, ""
}

// ensureConnected connects to the client's node unless it is connected already. Its errors
// are of type notSentError; after one, chooseNode picks the node of the next attempt.
func (c *client) ensureConnected(ctx context.Context) error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := c.dial(ctx, c.customer.Service)
	if err != nil {
		c.chooseNode()
		return notSentError{err}
	}
	c.conn = conn
	return nil
}

func (c *client) dial(ctx context.Context, service string) (*pgx.Conn, error) {
	node := c.generator.options.Nodes[c.nodeIndex]
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s/%s?sslmode=require", node.Address, service))
	if err != nil {
		return nil, err
	}
	config.User = c.customer.Name
	config.Password = c.customer.Key
	config.TLSConfig = &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS12}
	if c.token != "" && service == c.customer.Service {
		config.RuntimeParams["crocusyoke.session"] = c.token
	}
	return pgx.ConnectConfig(ctx, config)
}

// saveSessionToken remembers the session token that the node reported last, for the next
// connection.
func (c *client) saveSessionToken() {
	if c.conn == nil {
		return
	}
	if token := c.conn.PgConn().ParameterStatus("crocusyoke.session"); token != "" {
		c.token = token
	}
}

func (c *client) disconnect() {
	if c.conn == nil {
		return
	}
	c.saveSessionToken()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
	c.chooseNode()
}

// chooseNode picks a random node for the next connection, unless the customer's clients all
// stay on one node.
func (c *client) chooseNode() {
	if !c.generator.options.OneNodePerCustomer {
		c.nodeIndex = c.rand.IntN(len(c.generator.options.Nodes))
	}
}

func (c *client) nextName(kind string) string {
	c.nameCount++
	return fmt.Sprintf("%s-%s-%d-%d", c.generator.options.RunName, kind, c.number, c.nameCount)
}
