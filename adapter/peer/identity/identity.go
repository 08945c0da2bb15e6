// Package identity makes the TLS settings of links between nodes: both sides
// show a certificate that the fleet's certificate authority has signed. VMs
// are replaced at any time and are called by IP number, so the names in a
// certificate are not compared; to be of the fleet is what counts.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"
)

// Identity holds the TLS settings of one node.
type Identity struct {
	// Server requires a client certificate of the fleet.
	Server *tls.Config
	// Client shows the node's certificate and requires one of the fleet.
	Client *tls.Config
}

// FileError tells that a file of an identity can't be used.
type FileError struct {
	// Path is the file's; empty when the identity wasn't read from files.
	Path  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("identity file %q: %v", e.Path, e.Cause) }

// Unwrap gives the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NoCertificateError tells that a PEM text holds no certificate, or that the
// other side showed none.
type NoCertificateError struct{}

// Error implements error.
func (e *NoCertificateError) Error() string { return "no certificate" }

// Load reads an identity from PEM files. The error is a *FileError.
func Load(caPath, certPath, keyPath string) (*Identity, error) {
	var texts [3][]byte
	for i, path := range []string{caPath, certPath, keyPath} {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, &FileError{Path: path, Cause: err}
		}
		texts[i] = text
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(texts[0]) {
		return nil, &FileError{Path: caPath, Cause: &NoCertificateError{}}
	}
	cert, err := tls.X509KeyPair(texts[1], texts[2])
	if err != nil {
		return nil, &FileError{Path: certPath, Cause: err}
	}
	return New(roots, cert), nil
}

// New makes an identity from the fleet's authorities and the node's own
// certificate.
func New(roots *x509.CertPool, cert tls.Certificate) *Identity {
	return &Identity{
		Server: &tls.Config{
			MinVersion:             tls.VersionTLS13,
			Certificates:           []tls.Certificate{cert},
			ClientAuth:             tls.RequireAndVerifyClientCert,
			ClientCAs:              roots,
			SessionTicketsDisabled: true,
		},
		Client: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{cert},
			RootCAs:      roots,
			// The usual check compares a name, which peers don't have;
			// VerifyConnection checks all else.
			InsecureSkipVerify: true,
			VerifyConnection: func(state tls.ConnectionState) error {
				return verify(state.PeerCertificates, roots, time.Now())
			},
		},
	}
}

// verify checks that a server's certificate is of the fleet and in force.
func verify(certs []*x509.Certificate, roots *x509.CertPool, now time.Time) error {
	if len(certs) == 0 {
		return &NoCertificateError{}
	}
	between := x509.NewCertPool()
	for _, cert := range certs[1:] {
		between.AddCert(cert)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: between,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}
