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

// CA is a certificate authority held in memory, for demonstrations and tests.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// IssueError tells that a certificate could not be made.
type IssueError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *IssueError) Error() string { return fmt.Sprintf("certificate of %s: %v", e.Name, e.Cause) }

// Unwrap gives the cause.
func (e *IssueError) Unwrap() error { return e.Cause }

// PEM is a certificate and its key as PEM texts.
type PEM struct{ Cert, Key []byte }

// Validity of certificates: from skew before now.
const (
	caValidity = 10 * 365 * 24 * time.Hour
	skew       = time.Hour
	serialBits = 127
)

// NewCA makes an authority. The error is a *MakeError.
func NewCA(name string) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &IssueError{Name: name, Cause: err}
	}
	now := time.Now()
	template, err := newTemplate(name, now.Add(-skew), now.Add(caValidity))
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

// newTemplate fills what all certificates have.
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

// Issue makes a certificate for a node, in force from an hour before now for
// the given time after now; a negative time makes one that has expired. The
// error is a *MakeError.
func (ca *CA) Issue(name string, validity time.Duration) (PEM, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return PEM{}, &IssueError{Name: name, Cause: err}
	}
	until := time.Now().Add(validity)
	template, err := newTemplate(name, until.Add(-validity-skew), until)
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

// CertPEM is the authority's own certificate, for the ca file of nodes.
func (ca *CA) CertPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: ca.cert.Raw})
}

// Identity issues a certificate as Issue does and makes the settings of a node
// that trusts this authority.
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
