package main

import (
	"fmt"
	"time"
)

// Times of the case, from the moment of the copy.
const (
	// timeoutChange is when the operator changes a timeout, which is lost and written
	// again.
	timeoutChange = 3 * time.Second
	// drillAt is when the store goes away. The copy is then as old.
	drillAt = 5 * time.Second
	// awayFor is how long the store is away.
	awayFor = time.Second
	// addedEngines is the number of engines that are added when the store is back.
	addedEngines = 3
	// observeFor is how long requests are judged.
	observeFor = 10 * time.Second
)

// playLostConfig plays a drill of the store. As soon as the store is back, the operator
// writes its last configuration again, and then one that drops a tenant with its key and
// moves the route to another service. It judges requests that were sent so long after its
// acknowledgement that every bound is over.
func playLostConfig(s *setup) bool {
	f := startFleet(s, 30*time.Millisecond, 6)
	defer f.close()
	f.startTraffic(2, 200*time.Millisecond)
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }

	copied := f.store.copyState()
	s.record.printf("the copy is taken at revision %d", copied.revision)
	at(timeoutChange)
	f.writeConfig("a timeout changed", 11, configuration(11, 1300, oldService, bothKeys()))
	at(drillAt)
	var acknowledged time.Time
	change := func() {
		acknowledged = f.writeConfig("one tenant and its key dropped, the route moved", 13,
			configuration(13, 1300, newService, map[string]string{firstTenant: firstKey}))
		for i := range addedEngines {
			f.addEngine(fmt.Sprintf("i-added-%d", i), newService, zones[i%len(zones)], 30*time.Millisecond)
		}
	}
	if s.trouble {
		f.drill(copied, awayFor, func() {
			f.writeConfig("written again", 11, configuration(11, 1300, oldService, bothKeys()))
			change()
		})
	} else {
		time.Sleep(awayFor)
		change()
	}
	judgedFrom := acknowledged.Add(stabilityWindow + configBound + outerBound)
	time.Sleep(time.Until(judgedFrom.Add(observeFor)))
	f.close()
	f.recordTraffic()
	return f.judgeConfig(judgedFrom)
}

// judgeConfig reports whether requests sent since a time were handled as only an older
// configuration allows: run with the dropped key, or by the service that the route has
// left.
func (f *fleet) judgeConfig(from time.Time) bool {
	sent := make(map[string]result)
	served := 0
	for _, r := range f.results.all() {
		if r.sentAt.After(from) {
			sent[r.id] = r
			if r.status == 200 {
				served++
			}
		}
	}
	dropped, moved := 0, 0
	for _, a := range f.arrivals.all() {
		r, judged := sent[a.request]
		if !judged {
			continue
		}
		if r.key == secondKey {
			dropped++
		}
		if a.service == oldService {
			moved++
		}
	}
	f.setup.record.printf("judged: %d requests sent since %.3f, %d answered 200; %d ran with the dropped key, %d at the service that the route has left",
		len(sent), f.setup.record.since(from), served, dropped, moved)
	fmt.Printf("%d requests judged, %d answered 200, %d ran with the dropped key, %d at the old service\n", len(sent), served, dropped, moved)
	if served == 0 {
		panic("no request was served")
	}
	return dropped+moved > 0
}
