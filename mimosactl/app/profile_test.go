package app

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mimosaarch.example/standin/platform"
)

// runCtl runs mimosactl and returns its exit code and output.
func runCtl(args ...string) (code int, stdout, stderr string) {
	var out, failed bytes.Buffer
	code = Main(args, &out, &failed)
	return code, out.String(), failed.String()
}

// expectExit runs mimosactl and fails the test if the exit code is not code.
func expectExit(t *testing.T, code int, args ...string) (stdout, stderr string) {
	t.Helper()
	got, stdout, stderr := runCtl(args...)
	if got != code {
		t.Fatalf("mimosactl %v: exit code %d, want %d\n%s%s", args, got, code, stdout, stderr)
	}
	return stdout, stderr
}

// startPlatform starts a stand-in platform and sets it as the default of
// --platform.
func startPlatform(t *testing.T) *platform.Platform {
	t.Helper()
	p, err := platform.Start(platform.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	t.Setenv("MIMOSACTL_PLATFORM", p.Addr())
	return p
}

// writeFile writes a file to a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Documents that the tests publish.
const (
	profileText  = "kind: profile\nname: evening\nstrategy: flow\n"
	revisedText  = "kind: profile\nname: evening\nstrategy: two_choices\n"
	invalidText  = "kind: profile\nname: evening\nstrategy: best\n"
	serviceText  = "kind: service\nname: drafts\ntype: model\nprofile: evening\nlayers: 4\n"
	accountsText = "kind: accounts\nname: schools\naccounts:\n  - id: a\n    key_sha256: " +
		"c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c\n"
)

func TestPublishShowList(t *testing.T) {
	p := startPlatform(t)
	files := []string{
		writeFile(t, "accounts.yaml", accountsText),
		writeFile(t, "service.yaml", serviceText),
		writeFile(t, "profile.yaml", profileText),
	}
	expectExit(t, ExitOK, append([]string{"profile", "publish"}, files...)...)
	profile, _ := p.Object("config/profile/evening")
	service, _ := p.Object("config/service/drafts")
	accounts, _ := p.Object("config/account/schools")
	if profile.Version == 0 || profile.Version >= service.Version || service.Version >= accounts.Version {
		t.Errorf("versions %d, %d, %d: want the profile, the service and the accounts in this order",
			profile.Version, service.Version, accounts.Version)
	}
	stdout, _ := expectExit(t, ExitOK, "--output", "json", "profile", "list")
	var all []published
	if err := json.Unmarshal([]byte(stdout), &all); err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, one := range all {
		keys = append(keys, one.Key)
		if one.Change == "" || one.Change != all[0].Change {
			t.Errorf("%s has change %q, want the same ID for all documents of a publish", one.Key, one.Change)
		}
	}
	wantKeys := []string{"config/account/schools", "config/profile/evening", "config/service/drafts"}
	if d := cmp.Diff(wantKeys, keys); d != "" {
		t.Error(d)
	}
	stdout, _ = expectExit(t, ExitOK, "profile", "show", "profile", "evening")
	if !strings.Contains(stdout, "strategy: flow") {
		t.Errorf("show printed %q", stdout)
	}
	expectExit(t, ExitFailed, "profile", "show", "profile", "morning")
	expectExit(t, ExitUsage, "profile", "show", "policy", "evening")
}

func TestInvalidFileStopsAllWrites(t *testing.T) {
	p := startPlatform(t)
	_, stderr := expectExit(t, ExitInvalid, "profile", "publish",
		writeFile(t, "service.yaml", serviceText), writeFile(t, "profile.yaml", invalidText))
	if !strings.Contains(stderr, "profile.yaml") || !strings.Contains(stderr, "line 3: strategy") {
		t.Errorf("no file, line and path in %q", stderr)
	}
	if _, ok := p.Object("config/service/drafts"); ok {
		t.Error("a valid document was written although another one is invalid")
	}
	expectExit(t, ExitInvalid, "profile", "validate", writeFile(t, "profile.yaml", invalidText))
	expectExit(t, ExitInvalid, "profile", "publish", writeFile(t, "a.yaml", profileText), writeFile(t, "b.yaml", revisedText))
	expectExit(t, ExitOK, "profile", "validate", writeFile(t, "profile.yaml", profileText))
}

func TestConflictNamesNewerVersion(t *testing.T) {
	p := startPlatform(t)
	path := writeFile(t, "profile.yaml", profileText)
	expectExit(t, ExitOK, "profile", "publish", "--expect", "0", path)
	newer := p.Put("config/profile/evening", []byte(revisedText+"change: other\n"))
	_, stderr := expectExit(t, ExitConflict, "--output", "json", "profile", "publish", "--expect", "1", path)
	var f struct {
		Error struct {
			Exit  int
			Name  string
			Cause struct {
				Current int64
				Change  string
			}
		}
	}
	if err := json.Unmarshal([]byte(stderr), &f); err != nil {
		t.Fatal(err)
	}
	if f.Error.Name != "conflict" || f.Error.Cause.Current != newer || f.Error.Cause.Change != "other" {
		t.Errorf("conflict is %+v, want version %d of change other", f.Error, newer)
	}
	if object, _ := p.Object("config/profile/evening"); object.Version != newer {
		t.Error("a refused publish changed the document")
	}
}

func TestLostResponseIsResolvedByReadBack(t *testing.T) {
	p := startPlatform(t)
	path := writeFile(t, "profile.yaml", profileText)
	p.Control(platform.Control{Mode: platform.ModeLoseAnswers, Count: 1})
	expectExit(t, ExitOK, "profile", "publish", path)
	if object, _ := p.Object("config/profile/evening"); object.Version != 1 {
		t.Errorf("version %d, want the one write", object.Version)
	}
	p.Control(platform.Control{Mode: platform.ModeDown, Method: "PUT"})
	_, stderr := expectExit(t, ExitUnknown, "profile", "publish", path)
	if !strings.Contains(stderr, "change") {
		t.Errorf("no change id in %q", stderr)
	}
	p.Control(platform.Control{Mode: platform.ModeDown})
	expectExit(t, ExitFailed, "profile", "publish", path)
}

func TestDiff(t *testing.T) {
	startPlatform(t)
	expectExit(t, ExitOK, "profile", "publish", writeFile(t, "profile.yaml", profileText))
	same := writeFile(t, "same.yaml", "# as published\n"+profileText+"deadline: 60s\n")
	stdout, _ := expectExit(t, ExitOK, "profile", "diff", "--exit-code", same)
	if stdout != "" {
		t.Errorf("a document with the same meaning differs:\n%s", stdout)
	}
	revised := writeFile(t, "revised.yaml", revisedText)
	stdout, _ = expectExit(t, ExitOK, "profile", "diff", revised)
	if !strings.Contains(stdout, "-strategy: flow\n+strategy: two_choices\n") {
		t.Errorf("diff is\n%s", stdout)
	}
	expectExit(t, ExitFailed, "profile", "diff", "--exit-code", revised)
}

func TestUsage(t *testing.T) {
	startPlatform(t)
	path := writeFile(t, "profile.yaml", profileText)
	for _, args := range [][]string{
		{},
		{"profile"},
		{"profile", "publish"},
		{"profile", "publish", "--expect", "-1", path},
		{"profile", "publish", "--expect", "1", path, path},
		{"profile", "publish", "--platform", "nowhere", path},
		{"profile", "list", "all"},
		{"--output", "xml", "profile", "list"},
		{"status"},
		{"explain", "--operators", "127.0.0.1:1"},
		{"send", "--node", "127.0.0.1:1", "--service", "drafts"},
	} {
		expectExit(t, ExitUsage, args...)
	}
	for _, command := range []string{"profile", "status", "explain", "send", "demo"} {
		stdout, _ := expectExit(t, ExitOK, command, "--help")
		if !strings.Contains(stdout, "Exit codes") {
			t.Errorf("help of %s names no exit codes", command)
		}
	}
}
