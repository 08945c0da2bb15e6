package main

import (
	"net/http"
	"time"
)

// Figures of case 8.
const (
	// herdKills is how often all nodes are killed at the same moment, herdDown how long they are
	// away each time: down_s of the sites' closings.
	herdKills = 3
	herdDown  = 1200 * time.Millisecond
	// attemptsEach is the number of attempts of the request before each kill and after the last.
	attemptsEach = 4
)

// allNodesForget is case 8: a request that crashes engines is refused, and comes again after all
// nodes were killed.
func allNodesForget(env *environment) (int, error) {
	rec := env.record
	s, err := startStore()
	if err != nil {
		return failed, err
	}
	s.set("config", "main", plainConfig("booking-api"))
	for i, zone := range []string{"szeged-a", "szeged-b", "kecskemet"} {
		e, err := startEngine([]string{"i-5f1a0c31", "i-81b2e7d4", "i-c3907a5e"}[i], "booking-api", zone, s, rec, func(r *http.Request) bool { return r.URL.Path == deadlyPath }, 0)
		if err != nil {
			return failed, err
		}
		e.newIDs = true
	}
	env.nodes, err = startNodes([]string{"szeged-a", "szeged-b", "kecskemet", "szeged-a", "szeged-b", "kecskemet"}, s.address, env.dir)
	if err != nil {
		return failed, err
	}
	if err := awaitReady(env.nodes, 15*time.Second); err != nil {
		return failed, err
	}
	rec.add("all nodes are ready")
	go sendOthers(env, otherInterval)
	time.Sleep(settleTime)
	client := newClient()
	var arrivals []time.Time
	attempt := 0
	for round := range herdKills + 1 {
		if round > 0 {
			if env.trouble {
				rec.add("all nodes are killed")
				if err := killAndStart(env.nodes, herdDown); err != nil {
					return failed, err
				}
				if err := awaitReady(env.nodes, 15*time.Second); err != nil {
					return failed, err
				}
				rec.add("all nodes are ready")
			}
			// All nodes are in touch again.
			time.Sleep(stabilityWindow + time.Second)
		}
		for range attemptsEach {
			at := time.Now()
			_, id, _, _, _ := send(rec, client, env.nodes[attempt%len(env.nodes)], http.MethodPost, deadlyPath, "teacher 17, slot 4, parent 902")
			if rec.runsOf(id) > 0 {
				arrivals = append(arrivals, at)
			}
			attempt++
			time.Sleep(repeatInterval)
		}
	}
	return judgeCrashes(rec, arrivals), nil
}
