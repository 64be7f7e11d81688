package httpclient_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/platform"
)

// TestEraOfRestoredStore guards against a restore that the client doesn't tell of: versions are given out
// again.
func TestEraOfRestoredStore(t *testing.T) {
	server, p, _ := startPlatform(t)
	ctx := t.Context()
	row, err := p.Put(ctx, "trust/config", 0, []byte("a"))
	must.NoError(t, err)
	must.EqOp(t, 1, row.Era)
	lost := server.Copy()
	_, err = p.Put(ctx, "trust/config", 1, []byte("b"))
	must.NoError(t, err)
	must.NoError(t, p.PutObject(ctx, "late", []byte("b")))

	server.Restore(lost)
	row, err = p.Get(ctx, "trust/config")
	must.NoError(t, err)
	must.Eq(t, platform.Row{Key: "trust/config", Version: 1, Value: []byte("a"), Era: 2}, row)
	rows, err := p.List(ctx, "trust/")
	must.NoError(t, err)
	must.Eq(t, []platform.Row{row}, rows)
	row, err = p.Get(ctx, "trust/none")
	must.True(t, platform.ErrNotFound.Has(err))
	must.Eq(t, platform.Row{Era: 2}, row)
	_, err = p.GetObject(ctx, "late")
	must.True(t, platform.ErrNotFound.Has(err))
	row, err = p.Put(ctx, "trust/config", 1, []byte("c"))
	must.NoError(t, err)
	must.Eq(t, platform.Row{Key: "trust/config", Version: 2, Value: []byte("c"), Era: 2}, row)
}
