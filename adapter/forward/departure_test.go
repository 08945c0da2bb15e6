package forward

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

func TestLineOfACallerThatLeftTellsWhenTheNodeKnewAndDisconnected(t *testing.T) {
	const stays = 100 * time.Millisecond
	begun := make(chan struct{}, 1)
	model := newFakeUpstream(t, "a", "plain", func(conn net.Conn, req *fasthttp.Request) bool {
		eventsFrom(conn, req, 1, 1, false)
		begun <- struct{}{}
		_, _ = conn.Read(make([]byte, 1))
		return false
	})
	r := newTestServer(t, model)
	c := r.dial(t)
	c.send("POST", "/plainstream/x", "s1", "p")
	<-begun
	time.Sleep(stays)
	_ = c.conn.Close()
	var line map[string]any
	eventually(t, "the line is written", func() bool {
		line = r.lines.find("caller_gone", "s1")
		return line != nil
	})
	known, sent, disconnected := line["known_ms"].(float64), line["sent_ms"].(float64), line["disconnected_ms"].(float64)
	if line["phase"] != "events" || line["upstream"] != "a" || sent > known || known < float64(stays.Milliseconds()) || disconnected < known || line["took_ms"].(float64) < disconnected {
		t.Errorf("line is %v", line)
	}
}
