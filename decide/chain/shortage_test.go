package chain

import (
	"strings"
	"testing"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/layered"
	"mimosaarch.example/decide/condition"
)

// pipedModel is the model with figures of the way between zones.
func pipedModel() *layered.Model {
	m := model()
	m.ActivationBytes, m.ZoneLinkMbps = 29500, 3280
	return m
}

// A stage that refused for want of room is led around over another zone while the
// pipe is free; once chains fill the pipe, requests stay in their zone. Load: 100
// prompts of 800 tokens a second, eleven times what a pipe of 3,280 Mbit/s takes.
func TestCrossingsStopAsThePipeFills(t *testing.T) {
	conditions := condition.New()
	b := New(conditions)
	v := view(
		engine("a1", "z1", "fast", 0, 40), engine("a2", "z1", "fast", 40, 80),
		engine("b", "z2", "fast", 40, 80),
	)
	m := pipedModel()
	conditions.RefusedFull(start, life("a2"))
	now, crossed, after := start, 0, 0
	for i := range 100 {
		now = now.Add(10 * time.Millisecond)
		conditions.RefusedFull(now, life("a2"))
		c, err := b.Pick(now, m, v, request)
		if err != nil {
			t.Fatal(err)
		}
		b.RequestStarted(now, c, request)
		b.RequestEnded(now, c, request)
		if strings.Contains(c.String(), "b=") {
			crossed++
			if i >= 50 {
				after++
			}
		}
	}
	if crossed == 0 {
		t.Error("no request crossed while the pipe was free")
	}
	if share := m.ZoneLinkUtilization(float64(after) / 0.5 * request.PromptTokens); share > 1.2 {
		t.Errorf("%d of the last 50 requests crossed, %.1f times what the pipe takes", after, share)
	}
}

// An engine that did not answer gets no work until it answers a question, also
// once its suspicion has ended; then it does at once.
func TestSilentEngineWaitsForAnAnswer(t *testing.T) {
	conditions := condition.New()
	b := New(conditions)
	v := view(engine("a", "z1", "fast", 0, 80), engine("b", "z2", "fast", 0, 80))
	conditions.Failed(start, life("a"))
	late := start.Add(time.Minute)
	c, err := b.Pick(late, model(), v, request)
	if err != nil || c.String() != "b=0-80" {
		t.Errorf("chain %s, %v", c, err)
	}
	if due := conditions.ProbesDue(late); len(due) != 1 || due[0] != life("a") {
		t.Errorf("to be asked: %v", due)
	}
	conditions.Answered(life("a"), "z1")
	if c, err := b.Pick(late, model(), v, request); err != nil || c.String() != "a=0-80" {
		t.Errorf("chain %s, %v", c, err)
	}
}

// A zone of which several engines could not be reached gets nothing until one of
// them answers.
func TestSilentZoneWaitsForAnAnswer(t *testing.T) {
	conditions := condition.New()
	b := New(conditions)
	v := view(
		engine("a1", "z1", "fast", 0, 40), engine("a2", "z1", "fast", 40, 80), engine("a3", "z1", "fast", 0, 80),
		engine("b", "z2", "fast", 0, 80),
	)
	for _, id := range []ids.Life{life("a1"), life("a2")} {
		conditions.Failed(start, id)
		conditions.Unreachable(start, id, "z1")
	}
	late := start.Add(time.Minute)
	if c, err := b.Pick(late, model(), v, request); err != nil || c.String() != "b=0-80" {
		t.Errorf("chain %s, %v", c, err)
	}
	conditions.Answered(life("a1"), "z1")
	if c, err := b.Pick(late, model(), v, request); err != nil || c.String() != "a3=0-80" {
		t.Errorf("chain %s, %v", c, err)
	}
}
