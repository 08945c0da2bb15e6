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

// process is one command that a script runs in the background.
type process struct {
	name, kind string
	cmd        *exec.Cmd
	// started is closed once the process has told its addresses, or ended.
	started chan struct{}
	// ended is closed once the process has ended and its output is read.
	ended chan struct{}
	code  int

	mu   sync.Mutex
	once sync.Once
	// addr is where it is called, operators a node's operator port, peers
	// where other nodes call it.
	addr, operators, peers string
	output                 bytes.Buffer
}

// listeningPrefix starts the line with which the stand-ins tell their address.
const listeningPrefix = "listening "

// startedMessage is the message with which a node tells its addresses.
const startedMessage = "node started"

// startProcess starts a command in a directory.
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

// read takes the process's output and then its exit code.
func (p *process) read(out io.ReadCloser) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.line(lines.Text())
	}
	_ = out.Close()
	_ = p.cmd.Wait()
	p.code = p.cmd.ProcessState.ExitCode()
	close(p.ended)
	p.once.Do(func() { close(p.started) })
}

// line takes one line of output.
func (p *process) line(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.output.WriteString(text + "\n")
	if addr, ok := strings.CutPrefix(text, listeningPrefix); ok {
		p.addr = addr
		p.once.Do(func() { close(p.started) })
		return
	}
	var entry struct{ Message, Callers, Operators, Peers string }
	if p.kind == "mimosad" && json.Unmarshal([]byte(text), &entry) == nil && entry.Message == startedMessage {
		p.addr, p.operators, p.peers = entry.Callers, entry.Operators, entry.Peers
		p.once.Do(func() { close(p.started) })
	}
}

// log gives the output so far.
func (p *process) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// kill ends the process, also when it is stopped, and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
}

// spawn is "spawn NAME COMMAND ARG...": it starts a process, waits until it
// tells its addresses, and sets $NAME, and $NAME_op and
// $NAME_peers of a node or $NAME_control of a link.
func spawn(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: spawn name command [arg...]")
	}
	w := worldOf(ts)
	name, controlFile := args[0], ""
	run := args[1:]
	if run[0] == "link" {
		controlFile = ts.MkAbs(name + ".control")
		run = append(run, "--control-file", controlFile)
	}
	p, err := startProcess(name, ts.MkAbs("."), run)
	ts.Check(err)
	w.add(p)
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

// stages are the layers that the engines of a chain hold.
var stages = []struct {
	name        string
	first, last string
}{
	{name: "head", first: "0", last: "3"},
	{name: "mid", first: "4", last: "8"},
	{name: "tail", first: "9", last: "11"},
}

// chain is "chain SUFFIX FLAG...": it spawns the engines head_SUFFIX,
// mid_SUFFIX and tail_SUFFIX.
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

// settingsForm are the settings that every node has.
const settingsForm = `vm: %s
zone: %s
listen:
  callers: 127.0.0.1:0
  operators: 127.0.0.1:0
%splatform: [%s]
`

// peersLine is the setting of a node that other nodes may call.
const peersLine = "  peers: 127.0.0.1:0\n"

// defaultLines are settings that a script may set otherwise.
var defaultLines = []string{"poll_interval: 50ms", "vm_list_interval: 50ms", "log_level: debug"}

// node is "node NAME ZONE PLATFORM [peers] LINE...": it spawns a node. With
// "peers" others may call it, at $NAME_peers.
func node(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: node name zone platform-address [peers] [settings-line...]")
	}
	lines, peers := args[3:], ""
	if len(lines) > 0 && lines[0] == "peers" {
		lines, peers = lines[1:], peersLine
	}
	text := fmt.Sprintf(settingsForm, args[0], args[1], peers, args[2])
	text += strings.Join(append(missing(lines), lines...), "\n")
	file := ts.MkAbs(args[0] + ".yaml")
	ts.Check(os.WriteFile(file, []byte(text), 0o600))
	spawn(ts, false, []string{args[0], "mimosad", "--settings", file})
}

// missing gives the default lines whose setting is not among lines.
func missing(lines []string) []string {
	return slices.DeleteFunc(slices.Clone(defaultLines), func(line string) bool {
		name, _, _ := strings.Cut(line, " ")
		return slices.ContainsFunc(lines, func(other string) bool { return strings.HasPrefix(other, name) })
	})
}

// signals are those that scripts may send.
var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM,
}

// sendSignal is "signal NAME SIGNAL". After KILL it waits for the end.
func sendSignal(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: signal name signal")
	}
	p := worldOf(ts).process(ts, args[0])
	sig, ok := signals[args[1]]
	if !ok {
		ts.Fatalf("unknown signal %q", args[1])
	}
	ts.Check(p.cmd.Process.Signal(sig))
	if sig == syscall.SIGKILL {
		<-p.ended
	}
}

// Start starts a command in a directory and waits for its address; stop kills
// it. The error is a *MismatchError, with what the command printed, or that of
// starting it.
func Start(dir string, args ...string) (address string, stop func(), err error) {
	p, err := startProcess(args[0], dir, args)
	if err != nil {
		return "", nil, err
	}
	<-p.started
	if p.addr == "" {
		p.kill()
		return "", nil, mismatch("%v ended:\n%s", args, p.log())
	}
	return p.addr, p.kill, nil
}
