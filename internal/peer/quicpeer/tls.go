package quicpeer

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/quic-go/quic-go"
)

// protocol is the ALPN identifier of the protocol between nodes, with its version.
const protocol = "crocusyoke/3"

// Roles of a peer, as given by the organizational unit of its certificate.
const (
	RoleNode     = "node"
	RoleOperator = "operator"
)

// LoadTLS reads a certificate, its key, and the certificates of the authority that must have
// signed the certificates of both ends. All three are PEM files.
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

// Peer is the identity of the other end of a connection, according to the certificate that it
// presented.
type Peer struct {
	Name string
	// Role is RoleNode or RoleOperator.
	Role string
	// Fingerprint is the SHA-256 of the certificate in hexadecimal.
	Fingerprint string
	// IP is the address that it connects from, without the port.
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
