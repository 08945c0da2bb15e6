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
	cmd                            *exec.Cmd
	log                            *os.File
}

// freePorts returns free ports of 127.0.0.1.
func freePorts(n int) ([]int, error) {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
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

// startNodes starts the program of deploy/system.toml once for each of some zones.
func startNodes(zones []string, storeAddress, dir string) ([]*node, error) {
	var nodes []*node
	for i, zone := range zones {
		ports, err := freePorts(4)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, &node{name: fmt.Sprintf("front-%s-%d", zone, i), zone: zone, front: ports[0], ready: ports[1], control: ports[2], metrics: ports[3]})
	}
	var seeds []string
	for _, n := range nodes[:min(3, len(nodes))] {
		seeds = append(seeds, fmt.Sprintf("127.0.0.1:%d", n.control))
	}
	for _, n := range nodes {
		if err := n.start(storeAddress, strings.Join(seeds, ","), dir); err != nil {
			stopNodes(nodes)
			return nil, err
		}
	}
	return nodes, nil
}

// start starts the process of a node.
func (n *node) start(storeAddress, seeds, dir string) error {
	file := filepath.Join(dir, n.name+".conf")
	content := fmt.Sprintf(settingsFormat, n.name, n.zone, n.front, n.ready, n.control, n.metrics, n.metrics, seeds, storeAddress)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, n.name+".log"))
	if err != nil {
		return err
	}
	n.log = log
	n.cmd = exec.Command("target/mimosa-entry")
	n.cmd.Env = append(os.Environ(), "MIMOSAARCH_NODE_FILE="+file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	return n.cmd.Start()
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
