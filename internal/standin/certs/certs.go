// Package certs generates a throwaway certificate authority and the certificates that it
// signs, for test deployments on one machine. They are not fit for any other use: private
// keys are stored unencrypted and every certificate is valid for loopback only.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/zeebo/errs"

	"crocusyoke/internal/peer/quicpeer"
)

// Base names of the certificate files: NAME.pem holds a certificate and NAME-key.pem its
// private key. A node's files bear the node's name. The authority has no key file.
const (
	Authority = "authority"
	Callers   = "callers"
	Operator  = "operator"
)

// certificateLifetime is the validity period of every certificate.
const certificateLifetime = 30 * 24 * time.Hour

// serialBits is the length in bits of the random serial numbers.
const serialBits = 120

// Certificate returns the path of the certificate NAME.pem in dir.
func Certificate(dir, name string) string { return filepath.Join(dir, name+".pem") }

// Key returns the path of the private key NAME-key.pem in dir.
func Key(dir, name string) string { return filepath.Join(dir, name+"-key.pem") }

// Write generates an authority and writes to dir, which it creates if needed, the
// authority's certificate, one certificate and key for each node, one for the callers' ports
// and one for an operator. The authority's key is discarded, so nothing more can be signed.
func Write(dir string, nodes []string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errs.Wrap(err)
	}
	a, err := newAuthority()
	if err != nil {
		return err
	}
	if err := writePEM(Certificate(dir, Authority), "CERTIFICATE", a.certificate.Raw); err != nil {
		return err
	}
	for _, node := range nodes {
		if err := a.issue(dir, node, subject(node, quicpeer.RoleNode)); err != nil {
			return err
		}
	}
	if err := a.issue(dir, Callers, subject("localhost", "")); err != nil {
		return err
	}
	return a.issue(dir, Operator, subject(Operator, quicpeer.RoleOperator))
}

func subject(name, role string) pkix.Name {
	s := pkix.Name{CommonName: name}
	if role != "" {
		s.OrganizationalUnit = []string{role}
	}
	return s
}

type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newAuthority() (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	template, err := newTemplate(pkix.Name{CommonName: "throwaway authority"})
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	certificate, err := x509.ParseCertificate(der)
	return &authority{key: key, certificate: certificate}, errs.Wrap(err)
}

// issue writes a new certificate and its key. The certificate is valid for both the server
// and the client end of a connection on loopback.
func (a *authority) issue(dir, name string, subject pkix.Name) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errs.Wrap(err)
	}
	template, err := newTemplate(subject)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.DNSNames = []string{"localhost"}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return errs.Wrap(err)
	}
	if err := writePEM(Certificate(dir, name), "CERTIFICATE", der); err != nil {
		return err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errs.Wrap(err)
	}
	return writePEM(Key(dir, name), "PRIVATE KEY", encoded)
}

func newTemplate(subject pkix.Name) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: subject,
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(certificateLifetime),
	}, nil
}

func writePEM(path, blockType string, der []byte) error {
	body := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return errs.Wrap(os.WriteFile(path, body, 0o600))
}
