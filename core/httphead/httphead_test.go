package httphead

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// await returns the error of Await for some bytes, and what is then left to read.
func await(t *testing.T, in io.Reader) (string, error) {
	t.Helper()
	r := bufio.NewReaderSize(in, 4<<10)
	if err := Await(r); err != nil {
		return "", err
	}
	rest, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(rest), nil
}

// wellFormed are responses of HTTP/1 without informational ones.
var wellFormed = []string{
	"HTTP/1.1 200 OK\r\n\r\nbody",
	"HTTP/1.0 200 OK\r\n\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding-X: y\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"HTTP/1.1 200\r\nA: b\r\n\r\n",
	"HTTP/1.1 200 \r\nA: b\r\n\r\n",
	"HTTP/1.1 599 Any \t\x80\xff\r\nA: b\r\n\r\n",
	"HTTP/1.1 101 Switching Protocols\r\nA: b\r\n\r\n",
	"\r\n\r\nHTTP/1.1 404 Not Found\r\nA: b\r\n\r\nx",
	"HTTP/1.1 200 OK\nA: b\nC: d\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nEmpty:\r\nBlank: \r\nNo-Blank:b\r\nTab:\t b \r\nHigh: \x80\xff\r\nColons: a:b:c\r\n\r\n",
	"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: every character of a name\r\n\r\n",
}

func TestWellFormedHeadsAreLeftUnread(t *testing.T) {
	for _, response := range wellFormed {
		for name, in := range map[string]io.Reader{
			"at once":       strings.NewReader(response),
			"byte for byte": iotest.OneByteReader(strings.NewReader(response)),
			"after others":  strings.NewReader(strings.Repeat("HTTP/1.1 100 Continue\r\nA: b\r\n\r\n", maxInformational) + response),
		} {
			rest, err := await(t, in)
			if err != nil {
				t.Errorf("%s, %q: %v", name, response, err)
			} else if diff := cmp.Diff(response, rest); diff != "" {
				t.Errorf("%s, %q: unread bytes (-want +got):\n%s", name, response, diff)
			}
		}
	}
}

// malformedHeads are responses with a malformed head, by the part that is malformed.
var malformedHeads = map[string][]string{
	"status": {
		"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 000\r\n\r\n", "HTTP/1.1 099 X\r\n\r\n", "HTTP/1.1 600 X\r\n\r\n", "HTTP/1.1 999 X\r\n\r\n",
		"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 +20 OK\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 \r\n\r\n",
		"HTTP/1.1  200 OK\r\n\r\n", "HTTP/1.1 200\tOK\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n\r\n",
	},
	"version": {
		"HTTP/9.9 200 OK\r\n\r\n", "HTTP/1.2 200 OK\r\n\r\n", "HTTP/2 200 OK\r\n\r\n", "http/1.1 200 OK\r\n\r\n", "HTTP/1.1\t200 OK\r\n\r\n",
		"ICY 200 OK\r\n\r\n", " HTTP/1.1 200 OK\r\n\r\n", "garbage\r\n", "HTTP/1.1\r\n\r\n",
	},
	"field":  {"HTTP/1.1 200 OK\r\nA\r\n\r\n", "HTTP/1.1 200 OK\r\n: b\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", "HTTP/1.1 200 OK\r\nA\nB: c\r\n\r\n"},
	"reason": {"HTTP/1.1 200 O\x00K\r\n\r\n", "HTTP/1.1 200 O\rK\r\n\r\n"},
	"field name": {
		"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n", "HTTP/1.1 200 OK\r\n A: b\r\n\r\n", "HTTP/1.1 200 OK\r\n\tA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n", "HTTP/1.1 200 OK\r\nA\x00b: c\r\n\r\n", "HTTP/1.1 200 OK\r\nA\rb: c\r\n\r\n", "HTTP/1.1 200 OK\r\nA(b: c\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA\x7f: b\r\n\r\n", "HTTP/1.1 200 OK\r\nA\x80: b\r\n\r\n", "HTTP/1.1 100 Continue\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	},
	"framing":         {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.0 200 OK\r\nA: b\r\nTRANSFER-ENCODING:\r\n\r\n"},
	"field value":     {"HTTP/1.1 200 OK\r\nA: \x00\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\r\n\r\n", "HTTP/1.1 200 OK\r\nA: \x7f\r\n\r\n"},
	"end of the head": {"HTTP/1.1 200 OK\n\n", "HTTP/1.1 200 OK\r\n\n", "HTTP/1.1 200 OK\r\nA: b\n\r\n"},
}

func TestMalformedHeadsAreAnError(t *testing.T) {
	for part, heads := range malformedHeads {
		for _, head := range heads {
			for name, in := range map[string]io.Reader{"at once": strings.NewReader(head), "byte for byte": iotest.OneByteReader(strings.NewReader(head))} {
				_, err := await(t, in)
				var malformed *MalformedError
				if !errors.As(err, &malformed) || malformed.Part != part {
					t.Errorf("%s, %q: error %v, want one in the %s", name, head, err, part)
				}
			}
		}
	}
}

// Guards against a malformed line that is waited for to be followed by the end of the head.
func TestMalformedLineIsReportedBeforeTheHeadEnds(t *testing.T) {
	in, out := io.Pipe()
	t.Cleanup(func() { _ = out.Close() })
	go func() { _, _ = io.WriteString(out, "HTTP/1.1 000 OK\r\n") }()
	var malformed *MalformedError
	if err := Await(bufio.NewReader(in)); !errors.As(err, &malformed) {
		t.Errorf("error %v", err)
	}
}

func TestHeadsThatDoNotEnd(t *testing.T) {
	var informational *InformationalError
	if _, err := await(t, strings.NewReader(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInformational+1))); !errors.As(err, &informational) {
		t.Errorf("informational responses: %v", err)
	}
	if _, err := await(t, strings.NewReader("HTTP/1.1 200 OK\r\nA: "+strings.Repeat("b", 4<<10))); !errors.Is(err, bufio.ErrBufferFull) {
		t.Errorf("long line: %v", err)
	}
	for _, cut := range []string{"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\r"} {
		if _, err := await(t, strings.NewReader(cut)); !errors.Is(err, io.EOF) {
			t.Errorf("%q: %v", cut, err)
		}
	}
}

// benchmarkHead is a head as an engine sends it.
const benchmarkHead = "HTTP/1.1 200 OK\r\nExample-Id: 9c41d07be2a35f68\r\nX-Example-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
	"X-Example-Load: 3,0,8\r\nX-Example-Versions: 12\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=9\r\nTransfer-Encoding: chunked\r\n\r\n"

func BenchmarkAwait(b *testing.B) {
	in := strings.NewReader(benchmarkHead)
	r := bufio.NewReaderSize(in, 4<<10)
	b.ReportAllocs()
	for b.Loop() {
		in.Reset(benchmarkHead)
		r.Reset(in)
		if err := Await(r); err != nil {
			b.Fatal(err)
		}
	}
}
