package quarantine

import "time"

const (
	// firstRetryPause and maxRetryPause bound the time until a keeper that did not take a report is
	// sent one again. It doubles with each failure.
	firstRetryPause = time.Second
	maxRetryPause   = 8 * time.Second
)

// Content is what a keeper has to be sent.
type Content int

// Contents.
const (
	// Nothing: the keeper has not answered lately.
	Nothing Content = iota
	// News: the keeper has all earlier news.
	News
	// Whole: the keeper may lack earlier news, and needs the Evidence of the service.
	Whole
)

// Delivery knows which keepers have the news of this node about one service. Keepers are named
// by their peer addresses. The zero value knows none. It is not safe for concurrent use and reads no clock.
type Delivery struct {
	keepers map[string]*keeperState
}

// keeperState is what is known of one keeper.
type keeperState struct {
	// process identifies the process that has the news, empty if none has.
	process string
	// failures counts the failures since the last success, and retryAt is the end of the pause
	// after the last one.
	failures int
	retryAt  time.Time
}

// state returns the state of a keeper.
func (d *Delivery) state(keeper string) *keeperState {
	s := d.keepers[keeper]
	if s == nil {
		if d.keepers == nil {
			d.keepers = make(map[string]*keeperState)
		}
		s = &keeperState{}
		d.keepers[keeper] = s
	}
	return s
}

// Next returns what a keeper has to be sent when there is news.
func (d *Delivery) Next(now time.Time, keeper string) Content {
	s := d.state(keeper)
	switch {
	case now.Before(s.retryAt):
		return Nothing
	case s.process == "":
		return Whole
	}
	return News
}

// Delivered records that a process of a keeper has taken a report. It reports whether the keeper
// lacks earlier news, since it is another process than before, and has to be sent all.
func (d *Delivery) Delivered(keeper string, process string, sent Content) (lacks bool) {
	s := d.state(keeper)
	lacks = sent == News && process != s.process
	*s = keeperState{process: process}
	if lacks {
		s.process = ""
	}
	return lacks
}

// Failed records that a keeper did not take a report.
func (d *Delivery) Failed(now time.Time, keeper string) {
	s := d.state(keeper)
	pause := min(firstRetryPause<<min(s.failures, 8), maxRetryPause)
	*s = keeperState{failures: s.failures + 1, retryAt: now.Add(pause)}
}

// Lost records that news will not be sent to any keeper.
func (d *Delivery) Lost() {
	for _, s := range d.keepers {
		s.process = ""
	}
}

// Retry reports whether one of some keepers that did not take a report is due to be sent all
// evidence. If not, it returns when the next one is, zero if all have taken theirs.
func (d *Delivery) Retry(now time.Time, keepers []string) (due bool, next time.Time) {
	for _, keeper := range keepers {
		s := d.keepers[keeper]
		switch {
		case s == nil || s.retryAt.IsZero():
		case now.Before(s.retryAt):
			next = earliest(next, s.retryAt)
		default:
			due = true
			s.retryAt = time.Time{}
		}
	}
	return due, next
}
