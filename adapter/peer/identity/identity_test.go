package identity

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// writeFiles issues an identity, writes its PEM files and returns their paths.
func writeFiles(t *testing.T, ca *CA) (caPath, certPath, keyPath string) {
	t.Helper()
	pair, err := ca.Issue("node", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name string, text []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return write("ca", ca.CertPEM()), write("cert", pair.Cert), write("key", pair.Key)
}

func TestLoad(t *testing.T) {
	ca, err := NewCA("fleet")
	if err != nil {
		t.Fatal(err)
	}
	caPath, certPath, keyPath := writeFiles(t, ca)
	_, _, otherKey := writeFiles(t, ca)
	id, err := Load(caPath, certPath, keyPath)
	if err != nil || len(id.Server.Certificates) != 1 || !id.Client.RootCAs.Equal(id.Server.ClientCAs) {
		t.Fatalf("%+v, %v", id, err)
	}
	for name, paths := range map[string][3]string{
		"no file":            {caPath, certPath, keyPath + "x"},
		"a key as authority": {keyPath, certPath, keyPath},
		"another's key":      {caPath, certPath, otherKey},
	} {
		var refused *FileError
		if _, err := Load(paths[0], paths[1], paths[2]); !errors.As(err, &refused) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}
