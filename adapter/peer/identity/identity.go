// Package identity builds the TLS configuration for connections between nodes.
// Both sides present a certificate signed by the certificate authority of the
// fleet. VMs are replaced at any time and are addressed by IP, so the names in
// certificates are not verified: any certificate of the fleet is accepted.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"
)

// Identity holds the TLS configuration of one node.
type Identity struct {
	// Server requires a client certificate of the fleet.
	Server *tls.Config
	// Client presents the node's certificate and requires a server certificate
	// of the fleet.
	Client *tls.Config
}

// FileError reports that an identity file cannot be read or parsed.
type FileError struct {
	// Path names the file. It is empty if the identity was not read from files.
	Path  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("identity file %q: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NoCertificateError reports that a PEM file has no certificate, or that the
// peer presented none.
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

// New returns the identity for the trusted authorities of the fleet and the
// certificate of the node.
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
			// The default verification requires a host name, which peers do not
			// have. VerifyConnection verifies everything else.
			InsecureSkipVerify: true,
			VerifyConnection: func(state tls.ConnectionState) error {
				return verify(state.PeerCertificates, roots, time.Now())
			},
		},
	}
}

// verify checks that a server certificate is signed by the fleet and valid at
// the given time.
func verify(certs []*x509.Certificate, roots *x509.CertPool, now time.Time) error {
	if len(certs) == 0 {
		return &NoCertificateError{}
	}
	intermediates := x509.NewCertPool()
	for _, cert := range certs[1:] {
		intermediates.AddCert(cert)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		CurrentTime:   now,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}
