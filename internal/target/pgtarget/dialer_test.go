package pgtarget

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestAddressIsNoSetting guards against an address that sets further parameters of a connection.
func TestAddressIsNoSetting(t *testing.T) {
	config, err := New("system", "secret", "node-1").config("127.0.0.1 target_session_attrs=read-write:5432", "ledger")
	must.NoError(t, err)
	must.Eq(t, "127.0.0.1 target_session_attrs=read-write", config.Host)
	must.Nil(t, config.ValidateConnect)
	config, err = New("system", "secret", "node-1").config("[fe80::1%eth0]:5432", "a'b c=d")
	must.NoError(t, err)
	must.Eq(t, "fe80::1%eth0", config.Host)
	must.Eq(t, "a'b c=d", config.Database)
}

// TestLiteralsAreQuoted checks that a name can't end the literal that holds it.
func TestLiteralsAreQuoted(t *testing.T) {
	must.Eq(t, `'n''); DROP TABLE t; --'`, quoteLiteral(`n'); DROP TABLE t; --`))
	must.Eq(t, `'''''\'`, quoteLiteral(`''\`))
}
