package quicpeer

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/quic-go/quic-go"
)

// protocol is the ALPN name and version of the nodes' protocol.
const protocol = "crocusyoke/3"

// Roles that a certificate's organizational unit names.
const (
	RoleNode     = "node"
	RoleOperator = "operator"
)

// LoadTLS reads a certificate, its key and the authority that both ends must be signed
// by, all PEM files.
func LoadTLS(certificate, key, authority string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, Error.New("%s: no certificate found", authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
	}, nil
}

// Peer is who is at the other end of a link, by the certificate that it presented.
type Peer struct {
	Name string
	// Role is RoleNode or RoleOperator.
	Role string
	// Fingerprint is that of the certificate.
	Fingerprint string
	// IP is where it connects from, without a port.
	IP string
}

func identify(conn *quic.Conn) Peer {
	p := Peer{}
	if host, _, err := net.SplitHostPort(conn.RemoteAddr().String()); err == nil {
		p.IP = host
	}
	certificates := conn.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return p
	}
	subject := certificates[0].Subject
	p.Name = subject.CommonName
	p.Fingerprint = fingerprintOf(certificates[0].Raw)
	if len(subject.OrganizationalUnit) > 0 {
		p.Role = subject.OrganizationalUnit[0]
	}
	return p
}
