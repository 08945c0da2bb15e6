package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of case 4.
const (
	// spoilRounds is how often the disruption comes, spoilTime its length and spoilPause the time
	// between two: garble with share 0.35 and x 0.02 for 5.5 s, as on the sheet of the site.
	spoilRounds = 6
	spoilTime   = 5500 * time.Millisecond
	spoilPause  = 2 * time.Second
	// spoilEvery: at most one of so many answers of the affected engine is spoiled, the next one that
	// is the first on its connection.
	spoilEvery = 50
	// closeEvery: one of so many answers of each engine is the last of its connection.
	closeEvery = 4
	// bookInterval is the mean pause between two requests: 9.8 a second on the sheet.
	bookInterval = 102 * time.Millisecond
)

// answersOfNobody is case 4: engines send bytes that are no response to the request in place of some
// answers.
func answersOfNobody(env *environment) (int, error) {
	rec := env.record
	s, err := startStore()
	if err != nil {
		return failed, err
	}
	s.set("config", "main", plainConfig("booking-api"))
	var active atomic.Bool
	for i, zone := range []string{"szeged-a", "szeged-b", "kecskemet"} {
		e, err := startEngine([]string{"i-5f1a0c31", "i-81b2e7d4", "i-c3907a5e"}[i], "booking-api", zone, s, rec, func(*http.Request) bool { return false }, 0)
		if err != nil {
			return failed, err
		}
		var all, answers atomic.Int64
		e.closes = func() bool { return all.Add(1)%closeEvery == 0 }
		if i == 0 { // a share of 0.35 of three engines
			e.spoils = func(first bool) bool {
				if !active.Load() || answers.Add(1) < spoilEvery || !first {
					return false
				}
				answers.Store(0)
				return true
			}
		}
	}
	env.nodes, err = startNodes([]string{"szeged-a", "szeged-a", "szeged-a", "szeged-a", "szeged-b", "szeged-b", "szeged-b", "kecskemet", "kecskemet"}, s.address, env.dir)
	if err != nil {
		return failed, err
	}
	if err := awaitReady(env.nodes, 15*time.Second); err != nil {
		return failed, err
	}
	rec.add("all nodes are ready")
	var wrong, whole atomic.Int64
	stop := make(chan struct{})
	var pending sync.WaitGroup
	pending.Go(func() { sendBookings(env, stop, &pending, &wrong, &whole) })
	time.Sleep(settleTime)
	for range spoilRounds {
		active.Store(env.trouble)
		time.Sleep(spoilTime)
		active.Store(false)
		time.Sleep(spoilPause)
	}
	close(stop)
	pending.Wait()
	rec.add("%d clients got their answer, %d got a success without the signature of an engine", whole.Load(), wrong.Load())
	if wrong.Load() > 0 {
		return broken, nil
	}
	return held, nil
}

// sendBookings sends bookings to all nodes until stop is closed, and checks the answers.
func sendBookings(env *environment, stop chan struct{}, pending *sync.WaitGroup, wrong, whole *atomic.Int64) {
	client := newClient()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(bookInterval))):
		}
		n := env.nodes[rand.IntN(len(env.nodes))]
		pending.Go(func() {
			path := "/book/teacher-" + newID() + "/slot-1"
			status, id, _, header, err := send(env.record, client, n, http.MethodPost, path, "a booking")
			switch {
			case err != nil || status/100 != 2:
			case header.Get("X-Response-Seal") != "seal-"+id:
				wrong.Add(1)
				env.record.add("MIXED: the client takes a success without a signature for the answer to %s", id)
			default:
				whole.Add(1)
			}
		})
	}
}
