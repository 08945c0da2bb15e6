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

// newCA makes a certificate authority.
func newCA(t *testing.T) *identity.CA {
	t.Helper()
	ca, err := identity.NewCA("fleet")
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// clientOf makes the TLS settings of a caller with a certificate of the
// authority that is in force for a time.
func clientOf(t *testing.T, ca *identity.CA, validity time.Duration) *tls.Config {
	t.Helper()
	id, err := ca.Identity("operator", validity)
	if err != nil {
		t.Fatal(err)
	}
	return id.Client
}

// writeKeys writes a node's keys to files.
func writeKeys(t *testing.T, ca *identity.CA) *settings.TLS {
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

// live asks a node's operator port whether it works.
func live(address string, config *tls.Config) error {
	client := fasthttp.HostClient{Addr: address, IsTLS: true, TLSConfig: config.Clone()}
	defer client.CloseIdleConnections()
	status, _, err := client.GetTimeout(nil, "https://"+address+node.LivePath, 5*time.Second)
	if err == nil && status != fasthttp.StatusOK {
		return errors.New("the status is not 200")
	}
	return err
}

// TestOperatorPortTakesOnlyTheFleet refuses callers without a certificate of
// the fleet that is in force.
func TestOperatorPortTakesOnlyTheFleet(t *testing.T) {
	ca := newCA(t)
	n, err := node.Start(settings.Settings{
		VM: "vm-1", Zone: "a",
		Listen:   settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
		Platform: []string{"127.0.0.1:1"},
		TLS:      writeKeys(t, ca),
	}.WithDefaults(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	if err := live(n.OperatorAddr(), clientOf(t, ca, time.Hour)); err != nil {
		t.Errorf("a member of the fleet is refused: %v", err)
	}
	missing := clientOf(t, ca, time.Hour).Clone()
	missing.Certificates = nil
	wrong := clientOf(t, ca, time.Hour).Clone()
	wrong.Certificates = clientOf(t, newCA(t), time.Hour).Certificates
	for name, config := range map[string]*tls.Config{
		"expired": clientOf(t, ca, -time.Hour),
		"missing": missing,
		"wrong":   wrong,
	} {
		if err := live(n.OperatorAddr(), config); err == nil {
			t.Errorf("a caller with a certificate that is %s is answered", name)
		}
	}
}
