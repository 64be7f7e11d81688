package crowd

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/standin/deploy"
	"crocusyoke/internal/standin/supervise"
)

const (
	// crowdAddress is the IP address that crowds come from. Ordinary callers come from 127.0.0.1.
	crowdAddress = "127.0.0.9"
	// maxMessage is the limit on a message in the settings of the nodes, in bytes.
	maxMessage = 1 << 20
	// legalSize is the size in bytes of a large message that is within the limit.
	legalSize = 900_000
)

// postgres is the deployment that all tests of the own interface share. postgresUsed is set once a test has used its
// first node, which is then started anew for the next one.
var (
	postgres     *deploy.Deployment
	postgresUsed bool
)

// usePostgres starts the deployment unless it runs already.
func usePostgres(t *testing.T) {
	if postgres == nil {
		deployPostgres(t)
	}
}

// startPostgres returns a node of the own interface that has just started.
func startPostgres(t *testing.T) (v *victim, n deploy.Node) {
	usePostgres(t)
	if postgresUsed {
		startPostgresAs(t, func(s supervise.Spec) supervise.Spec { return s })
	}
	postgresUsed = true
	return postgresVictim()
}

// startPostgresAs starts the first node anew, with a changed specification of its process.
func startPostgresAs(t *testing.T, change func(supervise.Spec) supervise.Spec) {
	n := postgres.Nodes[0]
	must.NoError(t, postgres.Processes.Kill(n.Name))
	must.NoError(t, postgres.Processes.Start(change(supervise.Spec{
		Name: n.Name, Path: binaries.Crocusyoke, Args: []string{"serve", "--settings", n.Settings}, Log: filepath.Join(directory, n.Name+".log"),
	})))
}

func postgresVictim() (v *victim, n deploy.Node) {
	n = postgres.Nodes[0]
	ordinary := postgres.URL(postgres.Customers[2], n, postgres.Plan.Services[0])
	return &victim{
		pid:       postgres.Processes.PID(n.Name),
		isRunning: func() bool { return postgres.Processes.IsRunning(n.Name) },
		ask: func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			conn, err := pgx.Connect(ctx, ordinary)
			if err != nil {
				return err
			}
			defer conn.Close(ctx)
			for _, statement := range []string{"SELECT 1", "BEGIN", "SELECT 1", "COMMIT"} {
				if _, err := conn.Exec(ctx, statement); err != nil {
					return err
				}
			}
			return nil
		},
	}, n
}

// deployPostgres starts two nodes with two services. Of three customers the first and the third use the first service.
func deployPostgres(t *testing.T) {
	plan, err := deploy.NewPlan(deploy.Trust)
	must.NoError(t, err)
	plan.Name, plan.Nodes, plan.Services = "crowd", 2, plan.Services[:2]
	plan.DomainDelay, plan.CallerDelay, plan.Open = 0, 0, ""
	plan.Customers = plan.Customers[:3]
	for i := range plan.Customers {
		plan.Customers[i].Rate, plan.Customers[i].Burst = 10_000, 10_000
	}
	postgres, err = deploy.New(plan, filepath.Join(directory, "postgres"))
	must.NoError(t, err)
	for _, n := range postgres.Nodes {
		body, err := os.ReadFile(n.Settings)
		must.NoError(t, err)
		lowered := strings.Replace(string(body), "max_connections = 2000", fmt.Sprintf("max_connections = %d", maxConnections), 1)
		must.NotEq(t, string(body), lowered)
		must.NoError(t, os.WriteFile(n.Settings, []byte(lowered), 0o600))
	}
	must.NoError(t, postgres.Start(context.Background(), binaries))
}

func stopPostgres() {
	if postgres != nil {
		_ = postgres.Stop()
	}
}

// sufferAtPostgres plays a crowd of the given size against the callers' port of the own interface.
func sufferAtPostgres(t *testing.T, size int, v visit) {
	t.Helper()
	sufferLongAtPostgres(t, size, shortStay, v)
}

func sufferLongAtPostgres(t *testing.T, size int, stay time.Duration, v visit) {
	t.Helper()
	node, n := startPostgres(t)
	node.suffer(t, crowd{size: size, from: crowdAddress, address: n.Callers, visit: v}.start, stay)
}

// hello opens a session of the first customer. Nothing of the answers has to be read before.
func hello() []byte {
	return startup(postgres.Customers[0].Name, postgres.Plan.Services[0], postgres.Customers[0].Key)
}

func startup(customer, service, key string) []byte {
	return encode(
		&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": customer, "database": service}},
		&pgproto3.PasswordMessage{Password: key},
	)
}

func encode(messages ...pgproto3.FrontendMessage) (out []byte) {
	for _, message := range messages {
		out, _ = message.Encode(out)
	}
	return out
}

func query(text string) []byte { return encode(&pgproto3.Query{String: text}) }

// largeQuery is a read of legal size whose answer is small, largeAnswer a small read whose answer has about 1 MiB.
var (
	largeQuery  = query("SELECT length('" + strings.Repeat("x", legalSize) + "')")
	largeAnswer = query("SELECT hex(zeroblob(524000))")
)

// header is the header of a message that claims to have the given length.
func header(kind byte, length uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{kind}, length)
}

// sslRequest asks for TLS, halfHello is the first part of a ClientHello.
var (
	sslRequest = encode(&pgproto3.SSLRequest{})
	halfHello  = append([]byte{22, 3, 1, 2, 0, 1, 0, 1, 252, 3, 3}, make([]byte, 100)...)
)

func TestPostgresSilentCallers(t *testing.T) { sufferAtPostgres(t, 400, reads) }

func TestPostgresHalfStartup(t *testing.T) {
	usePostgres(t)
	sufferAtPostgres(t, 400, steps(sends(hello()[:20]), reads))
}

func TestPostgresStartupOfAByteASecond(t *testing.T) {
	usePostgres(t)
	sufferAtPostgres(t, 400, steps(sendsInPieces(hello(), pieceTime), reads))
}

func TestPostgresHalfTLSHandshake(t *testing.T) {
	sufferAtPostgres(t, 400, steps(sends(sslRequest), readsByte, sends(halfHello), reads))
}

func TestPostgresStartupWhoseLengthLies(t *testing.T) {
	sufferAtPostgres(t, 400, steps(sends([]byte{0, 0, 39, 0, 0, 3, 0, 0}), reads))
	sufferAtPostgres(t, 100, steps(sends([]byte{255, 255, 255, 255, 0, 3, 0, 0}), reads))
}

func TestPostgresSilentSessions(t *testing.T) {
	usePostgres(t)
	sufferAtPostgres(t, 400, steps(sends(hello()), reads))
}

func TestPostgresLargeStatementsAtOnce(t *testing.T) {
	usePostgres(t)
	sufferAtPostgres(t, 180, steps(sends(hello()), sendsEndlessly(largeQuery)))
}

func TestPostgresLargeStatementsInPieces(t *testing.T) {
	usePostgres(t)
	sufferAtPostgres(t, 20, steps(sends(hello()), sendsInPieces(largeQuery, 0), reads))
}

func TestPostgresHalfLargeStatements(t *testing.T) {
	usePostgres(t)
	sufferAtPostgres(t, 180, steps(sends(hello(), largeQuery[:len(largeQuery)-1]), reads))
}

func TestPostgresStatementsWhoseLengthLies(t *testing.T) {
	usePostgres(t)
	sufferAtPostgres(t, 180, steps(sends(hello(), header('Q', maxMessage-1), []byte("SELECT 1")), reads))
	sufferAtPostgres(t, 180, steps(sends(hello(), header('Q', 3)), reads))
}

func TestPostgresEndlessMessages(t *testing.T) {
	usePostgres(t)
	sufferAtPostgres(t, 100, steps(sends(hello(), header('Q', 1<<31)), sendsEndlessly(make([]byte, 64<<10))))
}

func TestPostgresEndlessBatches(t *testing.T) {
	usePostgres(t)
	parse := encode(&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{}, &pgproto3.Execute{})
	sufferAtPostgres(t, 180, steps(sends(hello()), sendsEndlessly(bytes.Repeat(parse, 1000))))
}

func TestPostgresEndlessCopyData(t *testing.T) {
	usePostgres(t)
	sufferAtPostgres(t, 180, steps(sends(hello()), sendsEndlessly(encode(&pgproto3.CopyData{Data: make([]byte, legalSize)}))))
}

func TestPostgresStatementsSentAhead(t *testing.T) {
	usePostgres(t)
	sufferAtPostgres(t, 180, steps(sends(hello(), bytes.Repeat(query("SELECT 1"), 500)), sleeps))
}

func TestPostgresLargeAnswersUnread(t *testing.T) {
	usePostgres(t)
	sufferLongAtPostgres(t, 180, longStay, steps(sends(hello(), bytes.Repeat(largeAnswer, 100)), sleeps))
}

func TestPostgresLargeAnswersReadSlowly(t *testing.T) {
	usePostgres(t)
	sufferLongAtPostgres(t, 180, longStay, steps(sends(hello(), bytes.Repeat(largeAnswer, 100)), readsInPieces))
}

func TestPostgresHalfTransactions(t *testing.T) {
	usePostgres(t)
	sufferAtPostgres(t, 180, steps(sends(hello(), query("BEGIN"), query("SELECT 1"), largeQuery[:100]), reads))
}

func TestPostgresConnectionsOpenedAndClosed(t *testing.T) {
	usePostgres(t)
	sufferAtPostgres(t, 150, steps())
	sufferAtPostgres(t, 150, steps(sends(hello(), query("SELECT 1")), readsByte))
}

// TestPostgresFewerDescriptorsThanCallers has descriptors for fewer callers than the settings allow.
func TestPostgresFewerDescriptorsThanCallers(t *testing.T) {
	usePostgres(t)
	startPostgresAs(t, func(s supervise.Spec) supervise.Spec { return withDescriptors(s, fewDescriptors) })
	postgresUsed = true
	node, n := postgresVictim()
	node.suffer(t, crowd{size: 400, from: crowdAddress, address: n.Callers, visit: steps(sends(hello()), reads)}.start, shortStay)
}

func TestPostgresWrongKeys(t *testing.T) {
	usePostgres(t)
	sufferAtPostgres(t, 150, steps(sends(startup(postgres.Customers[0].Name, postgres.Plan.Services[0], "wrong")), reads))
}

func TestPostgresUnknownDatabases(t *testing.T) {
	usePostgres(t)
	sufferAtPostgres(t, 150, steps(sends(startup("nobody", strings.Repeat("n", 9000), "wrong")), reads))
}

func TestPostgresCancelRequests(t *testing.T) {
	cancel := encode(&pgproto3.CancelRequest{ProcessID: 7, SecretKey: []byte{1, 2, 3, 4}})
	sufferAtPostgres(t, 150, steps(sends(cancel), reads))
}

func TestPostgresOperatorsPort(t *testing.T) {
	start := func() *victim {
		node, _ := startPostgres(t)
		return node
	}
	sufferOperators(t, start, func() string { return postgres.Nodes[0].Ops }, "/debug/vars")
}
