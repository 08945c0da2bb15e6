package node_test

import (
	"crypto/tls"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/adapter/peer/identity"
	"mimosaarch.example/node"
	"mimosaarch.example/node/settings"
)

// newCA creates a certificate authority.
func newCA(t *testing.T) *identity.CA {
	t.Helper()
	ca, err := identity.NewCA("fleet")
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// clientConfig returns the TLS settings of a client whose certificate is signed
// by the authority and valid for the given time.
func clientConfig(t *testing.T, ca *identity.CA, validity time.Duration) *tls.Config {
	t.Helper()
	id, err := ca.Identity("operator", validity)
	if err != nil {
		t.Fatal(err)
	}
	return id.Client
}

// writeTLSFiles writes a certificate, its key and the authority's certificate
// to files.
func writeTLSFiles(t *testing.T, ca *identity.CA) *settings.TLS {
	t.Helper()
	issued, err := ca.Issue("vm-1", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := &settings.TLS{
		CA:   filepath.Join(dir, "ca.pem"),
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
	}
	for path, text := range map[string][]byte{files.CA: ca.CertPEM(), files.Cert: issued.Cert, files.Key: issued.Key} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// checkLive requests the liveness check of a node's operator port over TLS.
func checkLive(address string, config *tls.Config) error {
	client := fasthttp.HostClient{Addr: address, IsTLS: true, TLSConfig: config.Clone()}
	defer client.CloseIdleConnections()
	status, _, err := client.GetTimeout(nil, "https://"+address+node.LivePath, 5*time.Second)
	if err == nil && status != fasthttp.StatusOK {
		return errors.New("the status is not 200")
	}
	return err
}

// TestOperatorPortTakesOnlyTheFleet checks that the operator port rejects
// clients whose certificate is missing, expired or signed by another authority.
func TestOperatorPortTakesOnlyTheFleet(t *testing.T) {
	ca := newCA(t)
	n, err := node.Start(settings.Settings{
		VM: "vm-1", Zone: "a",
		Listen:   settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
		Platform: []string{"127.0.0.1:1"},
		TLS:      writeTLSFiles(t, ca),
	}.WithDefaults(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	if err := checkLive(n.OperatorAddr(), clientConfig(t, ca, time.Hour)); err != nil {
		t.Errorf("a client with a valid certificate was rejected: %v", err)
	}
	missing := clientConfig(t, ca, time.Hour).Clone()
	missing.Certificates = nil
	wrong := clientConfig(t, ca, time.Hour).Clone()
	wrong.Certificates = clientConfig(t, newCA(t), time.Hour).Certificates
	for name, config := range map[string]*tls.Config{
		"expired": clientConfig(t, ca, -time.Hour),
		"missing": missing,
		"wrong":   wrong,
	} {
		if err := checkLive(n.OperatorAddr(), config); err == nil {
			t.Errorf("a client whose certificate is %s was accepted", name)
		}
	}
}
