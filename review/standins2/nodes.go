package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// node is one process of the system.
type node struct {
	name, zone                     string
	front, ready, control, metrics int
	storeAddress, seeds, dir       string
	cmd                            *exec.Cmd
	log                            *os.File
}

// Ports are taken below the range from which the system takes those of outgoing connections, which
// could else take the port of a process that is away for a moment.
const (
	firstPort = 20000
	portCount = 10000
)

// lastPort counts the ports that were tried. It begins elsewhere in each process, so that two that
// run at the same time do not take a port in the moment in which nobody listens on it.
var lastPort = os.Getpid() * portStep

// portStep is the number of ports between those of two processes with successive ids.
const portStep = 97

// listenFree listens on a free port of 127.0.0.1. It is not safe for concurrent use.
func listenFree() (net.Listener, error) {
	var err error
	for range portCount {
		var l net.Listener
		lastPort++
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+lastPort%portCount)); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// freePorts returns different free ports of 127.0.0.1.
func freePorts(n int) ([]int, error) {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	var ports []int
	for range n {
		l, err := listenFree()
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// settingsFormat is the settings file of a process, with the figures of the small sites.
const settingsFormat = `nodeName=%s
role=entry
machineClass=front
serves=front,control
ip=127.0.0.1
zone=%s
region=hu-south
zones.szeged-a=hu-south
zones.szeged-b=hu-south
zones.kecskemet=hu-south
listen.front=127.0.0.1:%d
listen.ready=127.0.0.1:%d
listen.control=127.0.0.1:%d
internalPorts=%d,%d
seeds=%s
bootstrap=true
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
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=202
bounds.recoveryS=12
bounds.fencingRequired=true
platform.address=%s
platform.form=objects
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
`

// portsEach is the number of ports of a node.
const portsEach = 4

// startNodes starts the program of deploy/system.toml once for each of some zones.
func startNodes(zones []string, storeAddress, dir string) ([]*node, error) {
	ports, err := freePorts(portsEach * len(zones))
	if err != nil {
		return nil, err
	}
	var nodes []*node
	for i, zone := range zones {
		own := ports[portsEach*i:]
		nodes = append(nodes, &node{name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, front: own[0], ready: own[1], control: own[2], metrics: own[3]})
	}
	var seeds []string
	for _, n := range nodes[:min(3, len(nodes))] {
		seeds = append(seeds, fmt.Sprintf("127.0.0.1:%d", n.control))
	}
	for _, n := range nodes {
		n.storeAddress, n.seeds, n.dir = storeAddress, strings.Join(seeds, ","), dir
		if err := n.start(); err != nil {
			stopNodes(nodes)
			return nil, err
		}
	}
	return nodes, nil
}

// start starts the process of a node.
func (n *node) start() error {
	file := filepath.Join(n.dir, n.name+".conf")
	content := fmt.Sprintf(settingsFormat, n.name, n.zone, n.front, n.ready, n.control, n.metrics, n.metrics, n.seeds, n.storeAddress)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.log = log
	n.cmd = exec.Command("target/mimosa-entry")
	n.cmd.Env = append(os.Environ(), "MIMOSAARCH_NODE_FILE="+file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	return n.cmd.Start()
}

// killAndStart kills all nodes at the same moment, and starts them again after a time.
func killAndStart(nodes []*node, down time.Duration) error {
	for _, n := range nodes {
		_ = n.cmd.Process.Kill()
	}
	for _, n := range nodes {
		_ = n.cmd.Wait()
		_ = n.log.Close()
	}
	time.Sleep(down)
	for _, n := range nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// stopNodes ends all processes that were started.
func stopNodes(nodes []*node) {
	for _, n := range nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
			_ = n.log.Close()
		}
	}
}

// awaitReady waits until all nodes say that they are ready.
func awaitReady(nodes []*node, within time.Duration) error {
	end := time.Now().Add(within)
	for _, n := range nodes {
		for {
			resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/-/ready", n.ready))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
