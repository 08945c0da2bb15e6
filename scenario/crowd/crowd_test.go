package crowd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mimosaarch.example/adapter/platform"
	"mimosaarch.example/core/platformapi"
	"mimosaarch.example/mimosactl/documents"
	"mimosaarch.example/standin/plain"
	standin "mimosaarch.example/standin/platform"
)

const (
	// memoryMB bounds the memory of the process, heldMB what its settings allow callers to hold.
	memoryMB = 128
	heldMB   = 24
	// maxBodyBytes is the largest body in the settings of the process.
	maxBodyBytes = 1 << 20
	// size is the number of callers of a crowd.
	size = 300
	// holdFor is how long a crowd stays after the first ordinary request beside it.
	holdFor = 3 * time.Second
	// waitLimit bounds each wait for a condition.
	waitLimit = 60 * time.Second
)

// binary is the path of mimosad.
var binary string

// TestMain builds mimosad without the race detector, which multiplies the memory of a process.
func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }() // a leftover is harmless
	binary = filepath.Join(dir, "mimosad")
	if text, err := exec.Command("go", "build", "-o", binary, "mimosaarch.example/mimosad").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, text)
		return 1
	}
	return m.Run()
}

// process is a running mimosad with a plain service behind it.
type process struct {
	cmd     *exec.Cmd
	exited  chan struct{}
	callers string
}

// start starts mimosad, and checks its memory at the end of the test.
func start(t *testing.T) *process {
	t.Helper()
	p := &process{exited: make(chan struct{})}
	store, err := standin.Start(standin.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	booking, err := plain.Start(plain.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(booking.Close)
	publish(t, store.Addr())
	store.SetVMs(standin.VMsControl{VMs: []platformapi.VM{{
		ID: "booking", Zone: "z", State: platformapi.StateLive, Address: booking.Addr(), Role: platformapi.RolePlain, Service: "booking-api",
	}}})
	file := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf("vm: vm-1\nzone: z\nlisten: {callers: \"127.0.0.1:0\", operators: \"127.0.0.1:0\"}\nplatform: [%q]\nmax_body: %d\nmax_held: %d\n", store.Addr(), maxBodyBytes, heldMB<<20)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p.run(t, file)
	t.Cleanup(func() { p.check(t) })
	eventually(t, "the process serves", p.servesOrdinary)
	return p
}

// publish publishes the configuration of the scenarios.
func publish(t *testing.T, address string) {
	t.Helper()
	config := filepath.Join("..", "testdata", "config")
	files, err := documents.ReadAll([]string{filepath.Join(config, "profile.yaml"), filepath.Join(config, "booking.yaml"), filepath.Join(config, "accounts.yaml")})
	if err != nil {
		t.Fatal(err)
	}
	client, err := platform.New(platform.Settings{Addresses: []string{address}})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if _, err := documents.Publish(context.Background(), client, files, documents.AnyVersion, documents.NewChangeID()); err != nil {
		t.Fatal(err)
	}
}

// run starts the program and waits until it has logged its address.
func (p *process) run(t *testing.T, settings string) {
	t.Helper()
	p.cmd = exec.Command(binary, "--settings", settings)
	reader, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	started := make(chan string, 1)
	go func() {
		defer close(p.exited)
		lines := bufio.NewScanner(reader)
		for lines.Scan() {
			var entry struct{ Message, Callers string }
			if json.Unmarshal(lines.Bytes(), &entry) == nil && entry.Message == "node started" {
				started <- entry.Callers
			}
		}
		_ = p.cmd.Wait() // the test checks when it has ended, not how
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // fails if the process has ended
		<-p.exited
	})
	select {
	case p.callers = <-started:
	case <-p.exited:
		t.Fatal("mimosad did not start")
	}
}

// check fails the test if the process has ended or went beyond its memory.
func (p *process) check(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		t.Errorf("the process has ended: %v", p.cmd.ProcessState)
		return
	default:
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(text) {
		words := strings.Fields(string(line))
		if len(words) != 3 || words[0] != "VmHWM:" {
			continue
		}
		kb, err := strconv.ParseInt(words[1], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d of %d MB of memory", kb>>10, memoryMB)
		if kb>>10 > memoryMB {
			t.Errorf("%d MB of memory, limit %d", kb>>10, memoryMB)
		}
	}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timeout while waiting for: %s", what)
}

// head returns the head of a booking with further header lines.
func head(lines ...string) string {
	return "POST /v1/services/booking-api/bookings HTTP/1.1\r\nHost: h.example\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// length returns the header line of a body's length.
func length(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

// servesOrdinary reports whether a small booking is served.
func (p *process) servesOrdinary() bool { return p.serves(700) }

// serves reports whether a booking with a body of a size is served.
func (p *process) serves(bodyBytes int) bool {
	client := http.Client{Timeout: waitLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+p.callers+"/v1/services/booking-api/bookings", strings.NewReader(strings.Repeat("o", bodyBytes)))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer key-school")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close() // the response was read
	return err == nil && resp.StatusCode == http.StatusCreated
}

// gather starts callers that each send a text on a connection of their own and then stay until
// the returned function is called.
func (p *process) gather(text string) (disperse func()) {
	leave := make(chan struct{})
	var present sync.WaitGroup
	for range size {
		present.Go(func() {
			conn, err := net.DialTimeout("tcp", p.callers, waitLimit)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }() // nothing more is wanted from it
			go func() {
				<-leave
				_ = conn.SetDeadline(time.Unix(1, 0)) // fails if the connection is closed
			}()
			if _, err := io.WriteString(conn, text); err == nil {
				<-leave
			}
		})
	}
	return func() {
		close(leave)
		present.Wait()
	}
}

// TestCrowd plays a crowd of each kind before a process of its own. The callers have no keys.
func TestCrowd(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked"
	body := func(n int) string { return strings.Repeat("c", n) }
	for name, text := range map[string]string{
		"length announced":              head(length(maxBodyBytes)) + "c",
		"length but for a byte":         head(length(maxBodyBytes)) + body(maxBodyBytes-1),
		"one chunk a byte short":        head(chunked) + fmt.Sprintf("%x\r\n%s", maxBodyBytes, body(maxBodyBytes-1)),
		"small chunks that stop":        head(chunked) + strings.Repeat("2\r\ncc\r\n", maxBodyBytes/4),
		"whole bodies":                  head(length(maxBodyBytes)) + body(maxBodyBytes),
		"long body beyond the limit":    head(length(1<<30)) + body(8*maxBodyBytes),
		"chunks beyond the limit":       head(chunked) + strings.Repeat("10000\r\n"+body(1<<16)+"\r\n", 64),
		"half a head":                   "POST /v1/services/booking-api/bookings HTTP/1.1\r\nHost: h.example\r\nx: " + body(15<<10),
		"a small body but for a byte":   head(length(60<<10)) + body(60<<10-1),
		"requests behind a first one":   strings.Repeat(head(length(60<<10))+body(60<<10), 16),
		"a long body behind a finished": head(length(2)) + "cc" + head(length(maxBodyBytes)) + body(maxBodyBytes-1),
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			p := start(t)
			disperse := p.gather(text)
			eventually(t, "an ordinary request is served beside the crowd", p.servesOrdinary)
			time.Sleep(holdFor)
			eventually(t, "an ordinary request is served beside the crowd that stays", p.servesOrdinary)
			disperse()
			eventually(t, "an ordinary request is served after the crowd", p.servesOrdinary)
			eventually(t, "a body of the largest size is served after the crowd", func() bool { return p.serves(maxBodyBytes) })
		})
	}
}
