package certs_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/peer/quicpeer"
	"crocusyoke/internal/standin/certs"
)

func TestWrittenCertificatesLoad(t *testing.T) {
	dir := t.TempDir()
	must.NoError(t, certs.Write(dir, []string{"vm-1", "vm-2"}))
	for _, name := range []string{"vm-1", "vm-2", certs.Callers, certs.Operator} {
		_, err := quicpeer.LoadTLS(certs.Certificate(dir, name), certs.Key(dir, name), certs.Certificate(dir, certs.Authority))
		must.NoError(t, err)
	}
}
