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

// ephemeralLife is how long a certificate made at start is valid.
const ephemeralLife = 10 * 365 * 24 * time.Hour

// EphemeralTLS makes a key and a certificate of the given role for a process of the node
// that has no certificate files.
// Links are encrypted; who is at the other end is decided by Server.Allow and
// Client.Accept.
func EphemeralTLS(node, role string) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// The time of day may jump: the certificate must not depend on it.
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: node, OrganizationalUnit: []string{role}},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Now().Add(ephemeralLife),
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
	}, nil
}

// Fingerprint returns that of the first certificate of config, or an empty text without one.
func Fingerprint(config *tls.Config) string {
	if len(config.Certificates) == 0 {
		return ""
	}
	return fingerprintOf(config.Certificates[0].Certificate[0])
}

// fingerprintOf returns the SHA-256 of a certificate in DER, in hexadecimal.
func fingerprintOf(der []byte) string {
	sum := sha256.Sum256(der)
	return hex.EncodeToString(sum[:])
}

// ResetKeyOf returns a reset key that every process of a node derives alike. Who knows it
// can end links, not read or join them.
func ResetKeyOf(node, address string) *quic.StatelessResetKey {
	key := quic.StatelessResetKey(sha256.Sum256([]byte("crocusyoke reset " + node + " " + address)))
	return &key
}
