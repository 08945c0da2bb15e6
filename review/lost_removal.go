package main

import (
	"fmt"
	"time"
)

// Times of the case, from the moment of the copy.
const (
	// joinAt is when an engine is added.
	joinAt = time.Second
	// removalDelay is the time from the return of the store to the removal of the
	// engine's entry.
	removalDelay = 10 * time.Second
	// servesOn is how long the engine serves beyond drainBound once its entry is gone.
	servesOn = 4 * time.Second
	// afterExit is how long requests are sent once the engine has exited.
	afterExit = 3 * time.Second
	// longWork is the time that an engine works on a request.
	longWork = 100 * time.Millisecond
	// coldMs is how much longer the added engine says that it is slow.
	coldMs = 4000
)

// playLostRemoval plays a drill of the store in which the entry of an engine that was
// added shortly before is lost, and written again by the engine. Long after, the engine
// leaves as planned: its entry is removed, it serves on for a while and exits. It judges
// the requests that reach the engine later than the bound allows.
func playLostRemoval(s *setup) bool {
	f := startFleet(s, longWork, 3)
	defer f.close()
	f.startTraffic(5, 250*time.Millisecond)
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }

	copied := f.store.copyState()
	s.record.printf("the copy is taken at revision %d", copied.revision)
	at(joinAt)
	leaving := startEngine("i-7f3a91c2", oldService, zones[0], longWork, f.arrivals)
	f.engines = append(f.engines, leaving)
	for left := coldMs; left >= 0; left -= int(heartbeat.Milliseconds()) {
		leaving.setCold(left)
		f.writeEntry(leaving)
		time.Sleep(heartbeat)
	}
	leaving.setCold(0)
	f.writeEntry(leaving)
	at(drillAt + time.Second)
	if s.trouble {
		f.drill(copied, awayFor, func() { f.writeEntry(leaving) })
	} else {
		time.Sleep(awayFor)
	}
	time.Sleep(removalDelay)
	revision := f.store.remove(serverKind, leaving.id)
	acknowledged := time.Now()
	s.record.printf("the entry of %s is removed at revision %d", leaving.id, revision)
	time.Sleep(drainBound + servesOn)
	s.record.printf("engine %s exits", leaving.id)
	leaving.exit()
	time.Sleep(afterExit)
	f.close()
	f.recordTraffic()
	return f.judgeRemoval(leaving, acknowledged)
}

// judgeRemoval reports whether requests reached an engine later than drainBound after the
// acknowledgement of its removal, and how their clients were answered.
func (f *fleet) judgeRemoval(e *engine, acknowledged time.Time) bool {
	late := make(map[string]bool)
	before := 0
	for _, a := range f.arrivals.all() {
		switch {
		case a.engine != e.id:
		case a.at.After(acknowledged.Add(drainBound)):
			late[a.request] = true
		case a.at.Before(acknowledged):
			before++
		}
	}
	lost := 0
	for _, r := range f.results.all() {
		if late[r.id] && r.status != 200 {
			lost++
			f.setup.record.printf("request %s ran on %s, and its client got status %d %s", r.id, e.id, r.status, r.err)
		}
	}
	f.setup.record.printf("judged: %d requests reached %s before its removal, %d later than %v after it; %d of these were not answered with success",
		before, e.id, len(late), drainBound, lost)
	fmt.Printf("%d requests before the removal, %d later than %v after it, %d of these lost\n", before, len(late), drainBound, lost)
	if before == 0 {
		panic("no request reached the engine before its removal")
	}
	return len(late) > 0
}
