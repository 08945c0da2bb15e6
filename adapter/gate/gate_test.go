package gate

import (
	"errors"
	"testing"
	"time"

	"mimosaarch.example/decide/intake"
)

// noMetrics counts nothing.
type noMetrics struct{}

// Add implements Metrics.
func (noMetrics) Add(string, int64) {}

// Guards against a request that takes the memory of a connection before that has given it back.
func TestReserveWaitsForTheConnectionThatGivesWay(t *testing.T) {
	now := time.Unix(1000, 0)
	g := New(intake.Limits{Bytes: 8 << 20}, func() time.Time { return now }, noMetrics{})
	interrupted := make(chan struct{})
	stalled := g.Open(func() { close(interrupted) })
	stalled.Enter(intake.Reading)
	if err := stalled.Reserve(5 << 20); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Minute)
	fresh := g.Open(func() { t.Error("the connection that makes progress is interrupted") })
	fresh.Enter(intake.Reading)
	granted := make(chan error, 1)
	go func() { granted <- fresh.Reserve(5 << 20) }()
	<-interrupted
	select {
	case err := <-granted:
		t.Fatalf("granted before the memory is free: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	var shed *ShedError
	if err := stalled.Revoked(); !errors.As(err, &shed) || shed.Reason != intake.Memory {
		t.Errorf("the stalled connection: %v", err)
	}
	if stalled.Enter(intake.Serving) || stalled.Reserve(1) == nil {
		t.Error("the stalled connection goes on")
	}
	stalled.Close()
	if err := <-granted; err != nil {
		t.Error(err)
	}
	fresh.Close()
	if bytes, connections := g.Held(); bytes != 0 || connections != 0 {
		t.Errorf("%d bytes are held by %d connections", bytes, connections)
	}
}
