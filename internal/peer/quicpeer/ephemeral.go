package quicpeer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"math/big"
	"time"

	"github.com/quic-go/quic-go"
)

// ephemeralValidity is how long after its creation an ephemeral certificate expires.
const ephemeralValidity = 10 * 365 * 24 * time.Hour

// EphemeralTLS generates a key and a self-signed certificate with the given node name and role,
// for a process that has no certificate files. The returned configuration encrypts
// connections but verifies no certificate: Server.Allow and Client.Accept must authenticate
// the other end.
func EphemeralTLS(node, role string) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// The certificate must stay valid if the wall clock jumps, so it is valid from the Unix epoch
	// until years ahead.
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: node, OrganizationalUnit: []string{role}},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Now().Add(ephemeralValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &tls.Config{
		Certificates:       []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true,
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		// The default key exchange is larger than a packet, and no connection is resumed: both would make
		// a handshake, which a restarted fleet needs by the thousand, about twice as large.
		CurvePreferences:       []tls.CurveID{tls.X25519},
		SessionTicketsDisabled: true,
	}, nil
}

// Fingerprint returns the SHA-256 of config's first certificate in hexadecimal, or an empty
// string if config has none.
func Fingerprint(config *tls.Config) string {
	if len(config.Certificates) == 0 {
		return ""
	}
	return fingerprintOf(config.Certificates[0].Certificate[0])
}

// fingerprintOf returns the SHA-256 of a DER-encoded certificate in hexadecimal.
func fingerprintOf(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// DeriveResetKey returns the QUIC stateless reset key of a node, derived from its name and address
// so that every process of the node has the same key. Anyone who knows the key can end
// connections of the node, but can't read them or open new ones.
func DeriveResetKey(node, address string) *quic.StatelessResetKey {
	key := quic.StatelessResetKey(sha256.Sum256([]byte("crocusyoke reset " + node + " " + address)))
	return &key
}
