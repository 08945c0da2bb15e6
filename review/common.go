package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as in the settings of the nodes.
const (
	stabilityWindow = 3 * time.Second
	drainBound      = 2 * time.Second
	configBound     = 2 * time.Second
	outerBound      = 5 * time.Second
	heartbeat       = 1200 * time.Millisecond
)

// Names in the configuration.
const (
	host         = "ficu95.example"
	serverKind   = "servers"
	configKind   = "config"
	configName   = "main"
	oldService   = "booking-api"
	newService   = "booking-next"
	bookingPath  = "/book/"
	firstKey     = "n2ctnfzs989anu6wsjnb"
	secondKey    = "anfqasnmgkcuyj8pjbvk"
	firstTenant  = "hule930"
	secondTenant = "dabo412"
)

// zones are the zones of the deployment, each with one node.
var zones = []string{"szeged-a", "szeged-b", "kecskemet"}

// leadTime is the time from the start of the nodes to the first request.
const leadTime = 10 * time.Second

// configuration returns a configuration with one route of unsafe requests.
func configuration(version, timeoutMs int, service string, tenants map[string]string) map[string]any {
	list := []any{}
	for _, name := range []string{firstTenant, secondTenant} {
		if key := tenants[name]; key != "" {
			list = append(list, map[string]any{"name": name, "apiKeys": []string{key}, "priority": 1})
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-2yhvz3p", "host": host, "pathPrefix": bookingPath, "kind": "unsafe", "timeoutMs": timeoutMs, "targetLatencyMs": 150,
			"priority": 2, "service": service, "maxAttempts": 1, "authExempt": false, "sessionAffinity": false,
		}},
		"services": []any{
			map[string]any{"name": oldService, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": newService, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": list,
	}
}

// bothKeys are the keys of both tenants.
func bothKeys() map[string]string {
	return map[string]string{firstTenant: firstKey, secondTenant: secondKey}
}

// fleet is a running deployment.
type fleet struct {
	setup    *setup
	store    *store
	nodes    []*node
	engines  []*engine
	arrivals *arrivals
	results  *results
	clients  *clients
	stop     context.CancelFunc
	running  sync.WaitGroup
	closed   sync.Once
}

// startFleet starts the store with a first configuration, the engines and the nodes, and
// waits until all nodes are ready and the lead time is over.
func startFleet(s *setup, work time.Duration, enginesPerService int) *fleet {
	f := &fleet{setup: s, store: startStore(s.record), arrivals: &arrivals{}, results: &results{}}
	f.clients = &clients{host: host, deadline: 2500 * time.Millisecond, results: f.results}
	f.store.set(configKind, configName, configuration(10, 1200, oldService, bothKeys()))
	for _, service := range []string{oldService, newService} {
		for i := range enginesPerService {
			f.addEngine(fmt.Sprintf("i-%s-%d", service, i), service, zones[i%len(zones)], work)
		}
	}
	started := time.Now()
	f.nodes = startNodes(s.root, s.dir, f.store.address, zones)
	for _, n := range f.nodes {
		for !n.isReady() {
			if time.Since(started) > 20*time.Second {
				f.close()
				panic("node " + n.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(started.Add(leadTime)))
	s.record.printf("all %d nodes are ready; the store is at revision %d", len(f.nodes), f.store.revision())
	return f
}

// addEngine starts an engine and writes its entry.
func (f *fleet) addEngine(id, service, zone string, work time.Duration) *engine {
	e := startEngine(id, service, zone, work, f.arrivals)
	f.engines = append(f.engines, e)
	f.writeEntry(e)
	return e
}

func (f *fleet) writeEntry(e *engine) {
	revision := f.store.set(serverKind, e.id, e.entry())
	f.setup.record.printf("engine %s (%s at %s) wrote its entry at revision %d", e.id, e.service, e.address, revision)
}

// writeConfig writes a configuration and returns the time of its acknowledgement.
func (f *fleet) writeConfig(what string, version int, config map[string]any) time.Time {
	revision := f.store.set(configKind, configName, config)
	f.setup.record.printf("the operator's configuration %d (%s) is acknowledged at revision %d", version, what, revision)
	return time.Now()
}

// startTraffic sends unsafe requests with both keys to each node.
func (f *fleet) startTraffic(workers int, interval time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	for _, n := range f.nodes {
		for _, key := range []string{firstKey, secondKey} {
			for range workers {
				f.running.Go(func() { f.clients.run(ctx, n, "POST", bookingPath+"2f", key, interval) })
			}
		}
	}
}

// drill makes the store go away for a moment and come back from a copy.
func (f *fleet) drill(copied state, away time.Duration, rewrite func()) {
	f.setup.record.printf("DISRUPTION: the store goes away at revision %d", f.store.revision())
	f.store.goAway()
	time.Sleep(away)
	f.store.comeBack(copied, func() {
		f.setup.record.printf("DISRUPTION: the store is back from the copy at revision %d, Store-Era 2", copied.revision)
		rewrite()
	})
}

// close ends the traffic, the nodes and the engines, and copies the nodes' logs into the
// record. Further calls have no effect.
func (f *fleet) close() { f.closed.Do(f.end) }

func (f *fleet) end() {
	if f.stop != nil {
		f.stop()
		f.running.Wait()
	}
	for _, n := range f.nodes {
		n.kill()
	}
	for _, e := range f.engines {
		e.exit()
	}
	f.store.goAway()
	for _, n := range f.nodes {
		f.copyLog(n)
	}
}

// loggedEvents are the events of a node's log that the record shows.
var loggedEvents = []string{`"started"`, `"failed"`, `"ready"`, `"configuration"`, `"store_lost"`, `"store_back"`, `"history_lost"`, `"upstream_`, `"lease_`}

// copyLog adds the node's log lines about its view of the store to the record.
func (f *fleet) copyLog(n *node) {
	file, err := os.Open(filepath.Join(f.setup.dir, n.name+".log"))
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		for _, event := range loggedEvents {
			if strings.Contains(lines.Text(), `"event":`+strings.TrimSuffix(event, `"`)) {
				f.setup.record.printf("log of %s: %s", n.name, lines.Text())
				break
			}
		}
	}
}

// recordTraffic adds all requests, runs and answers to the record.
func (f *fleet) recordTraffic() {
	for _, r := range f.results.all() {
		f.setup.record.printf("request %s sent at %.3f to %s with key %s: at %.3f status %d, seal %q, body %q %s",
			r.id, f.setup.record.since(r.sentAt), r.node, r.key, f.setup.record.since(r.endedAt), r.status, r.seal, r.body, r.err)
	}
	for _, a := range f.arrivals.all() {
		f.setup.record.printf("request %s reached engine %s (%s) at %.3f and ran there, tenant %s",
			a.request, a.engine, a.service, f.setup.record.since(a.at), a.tenant)
	}
}
