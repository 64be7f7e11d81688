package pgfront

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

// hijackFrontend opens a connection with pgx and takes it over to send single messages.
func hijackFrontend(t *testing.T, f *testServer) *pgproto3.Frontend {
	conn, err := f.connect(t, "").PgConn().Hijack()
	must.NoError(t, err)
	t.Cleanup(func() { conn.Conn.Close() })
	must.NoError(t, conn.Conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn.Frontend
}

// sendAndReceive sends messages and returns the types of the next n answers, not counting
// ParameterStatus. ReadyForQuery is followed by its transaction status.
func sendAndReceive(t *testing.T, front *pgproto3.Frontend, n int, messages ...pgproto3.FrontendMessage) string {
	t.Helper()
	for _, m := range messages {
		front.Send(m)
	}
	must.NoError(t, front.Flush())
	var got []string
	for len(got) < n {
		m, err := front.Receive()
		must.NoError(t, err)
		if _, ok := m.(*pgproto3.ParameterStatus); ok {
			continue
		}
		name := strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3.")
		if ready, ok := m.(*pgproto3.ReadyForQuery); ok {
			name += string(ready.TxStatus)
		}
		got = append(got, name)
	}
	return strings.Join(got, " ")
}

// A batch that begins a transaction and continues in it reaches the owner as two requests. The
// caller gets one answer, also if the second request fails.
func TestBeginWithWorkInOneBatch(t *testing.T) {
	f := newTestServer(t, nil)
	front := hijackFrontend(t, f)
	batch := []pgproto3.FrontendMessage{
		&pgproto3.Parse{Query: "BEGIN"}, &pgproto3.Bind{}, &pgproto3.Execute{},
		&pgproto3.Parse{Query: "select v from orders"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{},
	}
	must.Eq(t, "ParseComplete BindComplete CommandComplete ParseComplete BindComplete DataRow CommandComplete ReadyForQueryT",
		sendAndReceive(t, front, 8, batch...))
	must.Eq(t, request.KindBegin, f.owner.received()[0].Kind)
	must.Eq(t, request.KindInTransaction, f.owner.received()[1].Kind)
	must.Eq(t, "CommandComplete ReadyForQueryI", sendAndReceive(t, front, 2, &pgproto3.Query{String: "commit"}))
	f.owner.setOverride(func(_ context.Context, req *request.Request) (*request.Response, error) {
		if req.Kind == request.KindInTransaction {
			return nil, request.Refuse(request.CodeTransactionLost, "route", "", "lost")
		}
		return nil, nil
	})
	must.Eq(t, "ParseComplete BindComplete CommandComplete ErrorResponse ReadyForQueryE", sendAndReceive(t, front, 5, batch...))
	must.Eq(t, "CommandComplete ReadyForQueryI", sendAndReceive(t, front, 2, &pgproto3.Query{String: "rollback"}))
	must.Eq(t, "CommandComplete ErrorResponse ReadyForQueryE", sendAndReceive(t, front, 3, &pgproto3.Query{String: "begin; select 1"}))
}

// An answer to a Flush has no ReadyForQuery. Messages after an error are ignored until a Sync.
func TestFlush(t *testing.T) {
	f := newTestServer(t, nil)
	front := hijackFrontend(t, f)
	must.Eq(t, "ParseComplete ParameterDescription RowDescription", sendAndReceive(t, front, 3,
		&pgproto3.Parse{Name: "a", Query: "select 1"}, &pgproto3.Describe{ObjectType: 'S', Name: "a"}, &pgproto3.Flush{}))
	must.Eq(t, "BindComplete DataRow CommandComplete ReadyForQueryI", sendAndReceive(t, front, 4,
		&pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	must.Eq(t, "ErrorResponse", sendAndReceive(t, front, 1, &pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{}, &pgproto3.Flush{}))
	seen := len(f.owner.received())
	must.Eq(t, "ReadyForQueryI", sendAndReceive(t, front, 1, &pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	must.Len(t, seen, f.owner.received())
	must.Eq(t, "RowDescription DataRow CommandComplete ReadyForQueryI", sendAndReceive(t, front, 4, &pgproto3.Query{String: "select 1"}))
}

// selfSigned returns a TLS configuration with a self-signed certificate.
func selfSigned(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
}

func TestTLS(t *testing.T) {
	f := newTestServer(t, func(o *Options) {
		o.TLS = selfSigned(t)
		o.Plaintext = false
	})
	ctx := context.Background()
	conn, err := pgx.Connect(ctx, strings.Replace(f.url(""), "sslmode=disable", "sslmode=require", 1))
	must.NoError(t, err)
	defer conn.Close(ctx)
	must.Eq(t, "1", queryValue(t, conn, "select 1"))
	_, err = pgx.Connect(ctx, f.url(""))
	must.Eq(t, "42501", sqlState(t, err))
	changed := testConfig()
	changed.Customers = nil
	f.config.current.Store(changed)
	f.CloseWithdrawn()
	eventually(t, func() bool { return f.Open.Value() == 0 })
	_, err = conn.Exec(ctx, "select 1")
	must.Error(t, err)
}
