package pgtarget

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/zeebo/errs"

	"crocusyoke/internal/target"
)

// Error is the class of this package's errors. Their texts contain the failed step and the
// target's address.
var Error = errs.Class("target")

// DialTimeout is the timeout for opening a connection, and for cancelling a statement, if the
// caller sets no earlier deadline.
const DialTimeout = 3 * time.Second

// ControlDatabase is the database name with which control connections log in.
const ControlDatabase = "control"

// Dialer opens connections to targets with the system's credentials. It implements target.Dialer.
type Dialer struct {
	user, password, application string
}

var _ target.Dialer = (*Dialer)(nil)

// New returns a Dialer that logs in as user. It sends application, the node's name, as
// application_name.
func New(user, password, application string) *Dialer {
	return &Dialer{user: user, password: password, application: application}
}

// Dial implements target.Dialer.
func (d *Dialer) Dial(ctx context.Context, login target.Login) (target.Conn, error) {
	address := login.Address
	pc, err := d.connect(ctx, address, login.Database)
	if err != nil {
		return nil, Error.New("dial %s: %w", address, err)
	}
	if err := pc.SyncConn(ctx); err != nil {
		return nil, Error.New("dial %s: %w", address, errs.Combine(err, pc.Close(ctx)))
	}
	hijacked, err := pc.Hijack()
	if err != nil {
		return nil, Error.New("dial %s: %w", address, errs.Combine(err, pc.Close(ctx)))
	}
	return newConn(hijacked), nil
}

// Control implements target.Dialer.
func (d *Dialer) Control(ctx context.Context, login target.Login) (target.Control, error) {
	address := login.Address
	pc, err := d.connect(ctx, address, ControlDatabase)
	if err != nil {
		return nil, Error.New("control %s: %w", address, err)
	}
	return &control{conn: pc, address: address}, nil
}

// Commands implements target.Dialer.
func (d *Dialer) Commands() target.Commands {
	return target.Commands{Probe: simpleQuery("SELECT 1"), Rollback: simpleQuery("ROLLBACK")}
}

func simpleQuery(statement string) []byte {
	messages, err := (&pgproto3.Query{String: statement}).Encode(nil)
	if err != nil {
		panic(err)
	}
	return messages
}

// codeReadOnly is the SQLSTATE with which a replica refuses a write.
const codeReadOnly = "25006"

func outcomeOf(code string) target.Outcome {
	if code == codeReadOnly {
		return target.ReadOnly
	}
	return target.Failed
}

func (d *Dialer) connect(ctx context.Context, address, database string) (*pgconn.PgConn, error) {
	config, err := d.config(address, database)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	return pgconn.ConnectConfig(ctx, config)
}

// baseSettings is the connection string from which every connection's configuration begins. It holds no
// text from outside.
const baseSettings = "host=localhost sslmode=disable"

// config sets every field that matters, so that pgconn takes none of them from the process's
// environment.
func (d *Dialer) config(address, database string) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, err
	}
	config, err := pgconn.ParseConfig(baseSettings)
	if err != nil {
		return nil, err
	}
	config.Host = host
	config.Port = uint16(port)
	config.User = d.user
	config.Password = d.password
	config.Database = database
	config.RuntimeParams = map[string]string{"application_name": d.application}
	config.Fallbacks = nil
	config.ConnectTimeout = DialTimeout
	return config, nil
}
