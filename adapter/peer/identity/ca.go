package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"time"
)

// CA is a certificate authority whose key is only in memory. It is for
// demonstrations and tests.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// IssueError reports that a certificate could not be created.
type IssueError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *IssueError) Error() string {
	return fmt.Sprintf("create certificate for %s: %v", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *IssueError) Unwrap() error { return e.Cause }

// PEM is a certificate and its private key, both PEM-encoded.
type PEM struct{ Cert, Key []byte }

// Parameters of certificates.
const (
	caValidity = 10 * 365 * 24 * time.Hour
	// clockSkew is how long before its creation a certificate becomes valid.
	clockSkew = time.Hour
	// serialBits is the size of the random serial numbers.
	serialBits = 127
)

// NewCA returns a CA with a new key and a self-signed certificate that is valid
// for 10 years. The error is an *IssueError.
func NewCA(name string) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &IssueError{Name: name, Cause: err}
	}
	now := time.Now()
	template, err := newTemplate(name, now.Add(-clockSkew), now.Add(caValidity))
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, &IssueError{Name: name, Cause: err}
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, &IssueError{Name: name, Cause: err}
	}
	return &CA{cert: cert, key: key}, nil
}

// newTemplate returns the fields that all certificates have, with a random
// serial number.
func newTemplate(name string, from, until time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, &IssueError{Name: name, Cause: err}
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    from,
		NotAfter:     until,
	}, nil
}

// Issue creates a key and a certificate for a node. The certificate is valid
// from an hour before now until validity after now; with a negative validity it
// has already expired. The error is an *IssueError.
func (ca *CA) Issue(name string, validity time.Duration) (PEM, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return PEM{}, &IssueError{Name: name, Cause: err}
	}
	until := time.Now().Add(validity)
	template, err := newTemplate(name, until.Add(-validity-clockSkew), until)
	if err != nil {
		return PEM{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, key.Public(), ca.key)
	if err != nil {
		return PEM{}, &IssueError{Name: name, Cause: err}
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return PEM{}, &IssueError{Name: name, Cause: err}
	}
	return PEM{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// CertPEM returns the certificate of the authority in PEM, for the ca file of a
// node.
func (ca *CA) CertPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: ca.cert.Raw})
}

// Identity issues a certificate as Issue does and returns the TLS configuration
// of a node that trusts this authority. The error is an *IssueError.
func (ca *CA) Identity(name string, validity time.Duration) (*Identity, error) {
	text, err := ca.Issue(name, validity)
	if err != nil {
		return nil, err
	}
	cert, err := tls.X509KeyPair(text.Cert, text.Key)
	if err != nil {
		return nil, &IssueError{Name: name, Cause: err}
	}
	roots := x509.NewCertPool()
	roots.AddCert(ca.cert)
	return New(roots, cert), nil
}
