package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// node is a process of the project's program, started with its command in the deploy
// file.
type node struct {
	name, zone, front, ready, control string
	file                              string
	cmd                               *exec.Cmd
	logFile                           *os.File
}

// entryCommand is the command of the role "entry" in deploy/system.toml.
const entryCommand = "target/mimosa-entry"

// Ports of listeners lie below the range from which the system takes the ports of outgoing
// connections, so that none of those has one while its listener is closed for a moment.
const (
	firstPort = 15000
	portCount = 16000
)

// listenOnFreePort listens on a random free port of 127.0.0.1.
func listenOnFreePort() net.Listener {
	for range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err == nil {
			return l
		}
	}
	panic("no free port")
}

// freePorts returns different ports of 127.0.0.1 on which nothing listens.
func freePorts(n int) []int {
	var ports []int
	for range n {
		l := listenOnFreePort()
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// settingsText is the settings file of a small deployment.
const settingsText = `nodeName=%s
role=entry
machineClass=front
serves=front,control
ip=127.0.0.1
zone=%s
region=hu-south
zones.szeged-a=hu-south
zones.szeged-b=hu-south
zones.kecskemet=hu-south
listen.front=%s
listen.ready=%s
listen.control=%s
internalPorts=%d,%d
seeds=%s
bootstrap=true
inLossBudget=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers
faultTolerance.machines=1
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.stabilityWindowMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.downgradeSlackMs=250
bounds.outerMs=5000
bounds.strictRevoke=false
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=202
bounds.recoveryS=12
bounds.passMs=120
bounds.againS=0
bounds.stall_ms=3000
bounds.fencingRequired=true
platform.address=%s
platform.form=objects
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
`

// portsPerNode is the number of ports in a node's settings: three addresses to listen on, and
// the first and the last internal port.
const portsPerNode = 5

// startNodes starts one node in each zone. root is the repository, dir a temporary
// folder.
func startNodes(root, dir, storeAddress string, zones []string) []*node {
	var nodes []*node
	var seeds []string
	ports := slices.Collect(slices.Chunk(freePorts(portsPerNode*len(zones)), portsPerNode))
	for i, zone := range zones {
		p := ports[i]
		at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", p[i]) }
		n := &node{name: "front-" + zone + "-1", zone: zone, front: at(0), ready: at(1), control: at(2)}
		nodes, seeds = append(nodes, n), append(seeds, n.control)
	}
	for i, n := range nodes {
		n.file = filepath.Join(dir, n.name+".conf")
		text := fmt.Sprintf(settingsText, n.name, n.zone, n.front, n.ready, n.control,
			min(ports[i][3], ports[i][4]), max(ports[i][3], ports[i][4]), strings.Join(seeds, ","), storeAddress)
		must(os.WriteFile(n.file, []byte(text), 0o600))
		n.start(root, dir)
	}
	return nodes
}

func (n *node) start(root, dir string) {
	var err error
	n.logFile, err = os.OpenFile(filepath.Join(dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	n.cmd = exec.Command(filepath.Join(root, entryCommand))
	n.cmd.Dir = root
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "MIMOSAARCH_NODE_FILE=" + n.file}
	n.cmd.Stdout, n.cmd.Stderr = n.logFile, n.logFile
	// The process ends with the harness, also if that is killed.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(n.cmd.Start())
}

// isReady reports whether the node passes the platform's readiness check.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// kill ends the process.
func (n *node) kill() {
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	_ = n.logFile.Close()
}
