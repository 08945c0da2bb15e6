package outcome

import "testing"

func TestPhaseProvesNotRun(t *testing.T) {
	want := map[Phase]bool{NotSent: true, Refused: true, MaybeSent: false, Started: false, Finished: false}
	for phase, proves := range want {
		if got := phase.ProvesNotRun(); got != proves {
			t.Errorf("%v.ProvesNotRun() = %v, want %v", phase, got, proves)
		}
	}
}
