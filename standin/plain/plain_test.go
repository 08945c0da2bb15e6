package plain

import (
	"encoding/json"
	"runtime"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"mimosaarch.example/standin/control"
)

// client does not retry calls.
var client = &fasthttp.Client{
	RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
}

// start starts a stand-in and closes it at the end of the test.
func start(t *testing.T) *Plain {
	t.Helper()
	p, err := Start(Config{ID: "p"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// postBooking makes one booking. The status is zero if there was no response.
func postBooking(p *Plain, body string) (int, *fasthttp.Response) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + p.Addr() + BookingsPath)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(body)
	if err := client.Do(req, resp); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), resp
}

// executions returns how often a body was executed, according to the control API.
func executions(t *testing.T, p *Plain, body string) int {
	t.Helper()
	var runs Runs
	if err := control.Get(p.Addr(), RunsPath, &runs); err != nil {
		t.Fatal(err)
	}
	return runs.Executions[body]
}

func TestBookingGivesAReceipt(t *testing.T) {
	p := start(t)
	postBooking(p, "slot 1")
	status, resp := postBooking(p, "slot 1")
	var got Receipt
	if err := json.Unmarshal(resp.Body(), &got); err != nil || status != fasthttp.StatusCreated {
		t.Fatalf("status %d, %v", status, err)
	}
	if diff := cmp.Diff(Receipt{Receipt: "p-2", Upstream: "p", Executions: 2}, got); diff != "" {
		t.Error(diff)
	}
	var slots Slots
	if err := control.Get(p.Addr(), SlotsPath, &slots); err != nil || len(slots.Slots) == 0 {
		t.Errorf("slots %+v, %v", slots, err)
	}
	if got := executions(t, p, "slot 1"); got != 2 {
		t.Errorf("%d executions, want 2", got)
	}
}

func TestFaults(t *testing.T) {
	one := 1
	tests := []struct {
		name       string
		control    Control
		status     int
		executions int
	}{
		{"refuse", Control{Refuse: &one}, fasthttp.StatusServiceUnavailable, 0},
		{"drop_before", Control{DropBefore: &one}, 0, 0},
		{"drop_after", Control{DropAfter: &one}, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := start(t)
			if err := control.Post(p.Addr(), tt.control); err != nil {
				t.Fatal(err)
			}
			status, resp := postBooking(p, "slot")
			if status != tt.status {
				t.Errorf("status %d, want %d", status, tt.status)
			}
			if tt.name == "refuse" && string(resp.Header.Peek(NotStartedHeader)) != "true" {
				t.Error("a refusal lacks the header that nothing was started")
			}
			if got := executions(t, p, "slot"); got != tt.executions {
				t.Errorf("%d executions, want %d", got, tt.executions)
			}
			if status, _ := postBooking(p, "slot"); status != fasthttp.StatusCreated {
				t.Errorf("next call: status %d", status)
			}
		})
	}
}

func TestHangUntilFreed(t *testing.T) {
	one := 1
	for want, c := range []Control{{Hang: &one}, {HangAfter: &one}} {
		p := start(t)
		p.Control(c)
		hung := make(chan int)
		go func() {
			status, _ := postBooking(p, "slot")
			hung <- status
		}()
		for left := 1; left > 0; {
			p.faults.mu.Lock()
			left = p.faults.remaining[hang] + p.faults.remaining[hangAfter]
			p.faults.mu.Unlock()
			runtime.Gosched()
		}
		if status, _ := postBooking(p, "other"); status != fasthttp.StatusCreated {
			t.Errorf("another call: status %d", status)
		}
		p.Control(Control{Free: true})
		if status := <-hung; status != 0 {
			t.Errorf("freed call: status %d, want no response", status)
		}
		if got := executions(t, p, "slot"); got != want {
			t.Errorf("%d executions, want %d", got, want)
		}
	}
}
