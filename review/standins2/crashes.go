package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of case 6.
const (
	// settleTime is the time from the readiness of all nodes to the first request that crashes
	// engines: all nodes know each other, and are in touch.
	settleTime = 8 * time.Second
	// repeatInterval is the pause between two attempts of that request, repeats their number.
	repeatInterval = 4 * time.Second
	repeats        = 10
	// otherInterval is the mean pause between two other requests, as on a quiet evening.
	otherInterval = 3 * time.Second
	// neighbourLag is how much later than the request a booking of somebody else is sent.
	neighbourLag = 10 * time.Millisecond
	// stabilityWindow, freeCrashes and lateRetries are those of the rule.
	stabilityWindow = 3 * time.Second
	freeCrashes     = 3
	lateRetries     = 3
)

// deadlyPath is the path of the request that crashes each engine that runs it.
const deadlyPath = "/book/teacher-17/slot-4"

// sameEngineCrashes is case 6: the client of a zone sends a request again that crashes the engine
// which runs it, and the engine is back under its own id before the next attempt.
func sameEngineCrashes(env *environment) (int, error) {
	rec := env.record
	s, err := startStore()
	if err != nil {
		return failed, err
	}
	s.set("config", "main", plainConfig("booking-api"))
	deadly := func(r *http.Request) bool { return env.trouble && r.URL.Path == deadlyPath }
	zones := []string{"szeged-a", "szeged-b", "kecskemet"}
	for i, zone := range zones {
		if _, err := startEngine([]string{"i-5f1a0c31", "i-81b2e7d4", "i-c3907a5e"}[i], "booking-api", zone, s, rec, deadly, 0); err != nil {
			return failed, err
		}
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
	var own []*node
	for _, n := range env.nodes {
		if n.zone == zones[0] {
			own = append(own, n)
		}
	}
	client := newClient()
	var arrivals []time.Time
	var neighbours sync.WaitGroup
	var lost atomic.Int64
	for i := range repeats {
		if i > 0 {
			time.Sleep(repeatInterval)
		}
		// A booking of somebody else, through the other node of the zone.
		neighbours.Go(func() {
			time.Sleep(neighbourLag)
			status, id, _, _, _ := send(rec, newClient(), own[(i+1)%len(own)], http.MethodPost, "/book/teacher-3/slot-"+newID(), "another booking")
			if rec.runsOf(id) > 0 && status != http.StatusOK {
				lost.Add(1)
			}
		})
		at := time.Now()
		_, id, _, _, _ := send(rec, client, own[i%len(own)], http.MethodPost, deadlyPath, "teacher 17, slot 4, parent 902")
		if rec.runsOf(id) > 0 {
			arrivals = append(arrivals, at)
		}
	}
	neighbours.Wait()
	rec.add("%d of %d bookings of others that ran beside the request were cut off", lost.Load(), repeats)
	if !env.trouble {
		if len(arrivals) != repeats {
			rec.add("only %d of %d attempts ran without any crash", len(arrivals), repeats)
			return failed, nil
		}
		return held, nil
	}
	return judgeCrashes(rec, arrivals), nil
}

// judgeCrashes applies the rule to the times at which the request reached engines.
func judgeCrashes(rec *record, arrivals []time.Time) int {
	crashes := rec.crashTimes()
	if len(crashes) < freeCrashes {
		rec.add("the request crashed %d engines only, so the rule held", len(crashes))
		return held
	}
	late := 0
	for _, at := range arrivals {
		if at.After(crashes[freeCrashes-1].Add(stabilityWindow)) {
			late++
		}
	}
	rec.add("%d crashes; the request reached engines %d times later than %v after the third one, %d are allowed", len(crashes), late, stabilityWindow, lateRetries)
	if late > lateRetries {
		return broken
	}
	return held
}

// sendOthers sends requests of other clients to all nodes, with a mean pause between two, until the
// process ends.
func sendOthers(env *environment, interval time.Duration) {
	client := newClient()
	for {
		time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(interval)))
		n := env.nodes[rand.IntN(len(env.nodes))]
		go func() {
			_, _, _, _, _ = send(env.record, client, n, http.MethodPost, "/book/teacher-"+newID()+"/slot-1", "a booking")
		}()
	}
}
