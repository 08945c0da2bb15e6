package lang

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

// process is a command that runs in the background.
type process struct {
	name, kind string
	cmd        *exec.Cmd
	// started is closed once the process has printed its addresses, or has
	// ended.
	started chan struct{}
	// ended is closed once the process has ended and its output has been read.
	// After that code is its exit code.
	ended chan struct{}
	code  int

	// startOnce closes started. mu guards the fields below.
	mu        sync.Mutex
	startOnce sync.Once
	// addr is the address for callers; operators and peers are a node's
	// addresses for operators and for other nodes.
	addr, operators, peers string
	output                 bytes.Buffer
}

// listeningPrefix is the prefix of the line in which a stand-in prints its
// address.
const listeningPrefix = "listening "

// startedMessage is the message of the log entry in which a node prints its
// addresses.
const startedMessage = "node started"

// startProcess starts the command args in a directory and begins to read its
// output.
func startProcess(name, dir string, args []string) (*process, error) {
	path, err := exec.LookPath(args[0])
	if err != nil {
		return nil, err
	}
	p := &process{
		name:    name,
		kind:    args[0],
		cmd:     exec.Command(path, args[1:]...),
		started: make(chan struct{}),
		ended:   make(chan struct{}),
	}
	p.cmd.Dir = dir
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	err = p.cmd.Start()
	_ = writer.Close()
	if err != nil {
		_ = reader.Close()
		return nil, err
	}
	go p.read(reader)
	return p, nil
}

// read collects the output until the process ends, and then its exit code.
func (p *process) read(out io.ReadCloser) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.recordLine(lines.Text())
	}
	_ = out.Close()
	_ = p.cmd.Wait()
	p.code = p.cmd.ProcessState.ExitCode()
	close(p.ended)
	p.startOnce.Do(func() { close(p.started) })
}

// recordLine records one line of output, and the addresses if the line has them.
func (p *process) recordLine(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.output.WriteString(text + "\n")
	if addr, ok := strings.CutPrefix(text, listeningPrefix); ok {
		p.addr = addr
		p.startOnce.Do(func() { close(p.started) })
		return
	}
	var entry struct{ Message, Callers, Operators, Peers string }
	if p.kind == "mimosad" && json.Unmarshal([]byte(text), &entry) == nil && entry.Message == startedMessage {
		p.addr, p.operators, p.peers = entry.Callers, entry.Operators, entry.Peers
		p.startOnce.Do(func() { close(p.started) })
	}
}

// log returns the output so far.
func (p *process) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// kill kills the process, also one stopped by SIGSTOP, and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
}

// spawn is the command "spawn NAME COMMAND ARG...". It starts a process and waits
// until it has printed its addresses. It sets $NAME to the address for callers,
// $NAME_op and $NAME_peers to a node's addresses for operators and peers, and
// $NAME_control to a link's control address.
func spawn(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: spawn name command [arg...]")
	}
	st := stateOf(ts)
	name, controlFile := args[0], ""
	run := args[1:]
	if run[0] == "link" {
		controlFile = ts.MkAbs(name + ".control")
		run = append(run, "--control-file", controlFile)
	}
	p, err := startProcess(name, ts.MkAbs("."), run)
	ts.Check(err)
	st.add(p)
	<-p.started
	if p.addr == "" {
		ts.Fatalf("%s ended with code %d:\n%s", name, p.code, p.log())
	}
	ts.Setenv(name, p.addr)
	ts.Setenv(name+"_op", p.operators)
	ts.Setenv(name+"_peers", p.peers)
	if controlFile != "" {
		ts.Setenv(name+"_control", ts.ReadFile(controlFile))
	}
}

// stages are the engines of a chain and the layers that each holds.
var stages = []struct {
	name        string
	first, last string
}{
	{name: "head", first: "0", last: "3"},
	{name: "mid", first: "4", last: "8"},
	{name: "tail", first: "9", last: "11"},
}

// chain is the command "chain SUFFIX FLAG...". It spawns the engines head_SUFFIX,
// mid_SUFFIX and tail_SUFFIX, which together hold all layers of the model.
func chain(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 {
		ts.Fatalf("usage: chain suffix [flag...]")
	}
	for _, s := range stages {
		name := s.name + "_" + args[0]
		run := []string{
			name, "engine", "--id", name, "--model", modelService, "--layers", "12",
			"--first", s.first, "--last", s.last, "--lag-ms", "20",
		}
		spawn(ts, false, append(run, args[1:]...))
	}
}

// settingsTemplate formats the settings of a node from its name, its zone,
// peersLine or "", and the platform's address.
const settingsTemplate = `vm: %s
zone: %s
listen:
  callers: 127.0.0.1:0
  operators: 127.0.0.1:0
%splatform: [%s]
`

// peersLine is the setting that makes a node listen for peers.
const peersLine = "  peers: 127.0.0.1:0\n"

// defaultLines are the settings of a node that a script may override. Short
// intervals keep the scripts fast.
var defaultLines = []string{"poll_interval: 50ms", "vm_list_interval: 50ms", "log_level: debug"}

// node is the command "node NAME ZONE PLATFORM [peers] LINE...". It spawns a node
// whose settings also have the given lines. With "peers" the node listens for
// peers at $NAME_peers.
func node(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: node name zone platform-address [peers] [settings-line...]")
	}
	lines, peers := args[3:], ""
	if len(lines) > 0 && lines[0] == "peers" {
		lines, peers = lines[1:], peersLine
	}
	text := fmt.Sprintf(settingsTemplate, args[0], args[1], peers, args[2])
	text += strings.Join(append(defaultsNotIn(lines), lines...), "\n")
	file := ts.MkAbs(args[0] + ".yaml")
	ts.Check(os.WriteFile(file, []byte(text), 0o600))
	spawn(ts, false, []string{args[0], "mimosad", "--settings", file})
}

// defaultsNotIn returns the default lines of the settings that lines does not set.
func defaultsNotIn(lines []string) []string {
	return slices.DeleteFunc(slices.Clone(defaultLines), func(line string) bool {
		name, _, _ := strings.Cut(line, " ")
		return slices.ContainsFunc(lines, func(other string) bool { return strings.HasPrefix(other, name) })
	})
}

// signals are the signals that scripts may send, by name.
var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM,
}

// sendSignal is the command "signal NAME SIGNAL". It sends a signal to a process
// and, after KILL, waits for the process to end.
func sendSignal(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: signal name signal")
	}
	p := stateOf(ts).process(ts, args[0])
	sig, ok := signals[args[1]]
	if !ok {
		ts.Fatalf("unknown signal %q", args[1])
	}
	ts.Check(p.cmd.Process.Signal(sig))
	if sig == syscall.SIGKILL {
		<-p.ended
	}
}

// Start starts a command in a directory and waits until it has printed its
// address for callers. stop kills it. If the command ends before, the error is a
// *MismatchError with its output; otherwise it is that of starting the command.
func Start(dir string, args ...string) (address string, stop func(), err error) {
	p, err := startProcess(args[0], dir, args)
	if err != nil {
		return "", nil, err
	}
	<-p.started
	if p.addr == "" {
		p.kill()
		return "", nil, mismatch("%v ended before it printed its address:\n%s", args, p.log())
	}
	return p.addr, p.kill, nil
}
