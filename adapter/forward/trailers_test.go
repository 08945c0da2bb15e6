package forward

import "testing"

// Guards against an answer that counts as whole although what follows its last chunk is no trailer.
func TestAnswerWithAMalformedTrailerIsNotPassedOn(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nQ-Id: %s\r\nQ-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for name, trailer := range map[string]string{
		"no colon":             "bad trailer",
		"blank in the name":    "X Bad: v",
		"blank before a name":  " X-Bad: v",
		"blank before a colon": "X-Bad : v",
		"control byte":         "X-Bad: \x00",
		"empty name":           ": v",
		"head of a response":   "HTTP/1.1 200 OK",
		"after a sound one":    "X-Good: v\r\nbad trailer",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newFakeUpstream(t, "u1", "plain", answerText(answer+trailer+"\r\n\r\n"))
			r := newTestServer(t, u)
			if resp, complete := r.ask(t, "POST", "/unsafe/x", "r1", "b"); !complete || resp.StatusCode() != 502 {
				t.Errorf("response %d %q, complete %v, want 502", resp.StatusCode(), resp.Body(), complete)
			}
			if r.lines.find("run_lost", "r1") != nil {
				t.Error("taken for a crash of the upstream")
			}
			if n := len(u.requests()); n != 1 {
				t.Errorf("sent %d times", n)
			}
		})
	}
	for _, trailer := range []string{"", "X-Sound: v\r\n", "X-Empty:\r\nx!#$: \x80\t\r\n"} {
		r := newTestServer(t, newFakeUpstream(t, "u1", "plain", answerText(answer+trailer+"\r\n")))
		if resp, complete := r.ask(t, "POST", "/unsafe/x", "r1", "b"); !complete || resp.StatusCode() != 200 || string(resp.Body()) != "ok" {
			t.Errorf("trailer %q: response %d %q, complete %v", trailer, resp.StatusCode(), resp.Body(), complete)
		}
	}
}
