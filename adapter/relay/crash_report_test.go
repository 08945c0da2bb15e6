package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/jsonrpc2"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/core/processor"
	"mimosaarch.example/decide/quarantine"
)

const (
	// benchRequests is the number of requests that a node loses at a death, and benchParts the
	// number of known parts of the prompt of each, of benchPopular that all requests share.
	benchRequests = 26
	benchParts    = 7
	benchPopular  = 160
	// benchReports is the number of reports that are merged into one Decider, benchNodes of them
	// about each death.
	benchReports = 96
	benchNodes   = 6
)

// benchReport returns the report of a node about a death, with some 200 events.
func benchReport(n int) quarantine.Report {
	d := quarantine.NewDecider()
	now := benchStart.Add(time.Duration(n) * 10 * time.Millisecond)
	var runs []quarantine.Run
	for i := range benchRequests {
		began := now.Add(-time.Duration(i+1) * 13 * time.Millisecond)
		request := quarantine.FingerprintOf(fmt.Append(nil, n, "/", i))
		runs = append(runs, quarantine.Run{Fingerprint: request, Began: began, Started: i%2 == 0})
		for p := range benchParts {
			part := quarantine.PartFingerprint("svc", ids.PromptPart(fmt.Sprint((i*benchParts+p)%benchPopular, "-", n%4)))
			runs = append(runs, quarantine.Run{Fingerprint: part, Began: began, Started: i%2 == 0, Via: request})
		}
	}
	d.RecordDeath(now, now, "svc", ids.Upstream(fmt.Sprint("engine-budapest-", n/benchNodes)), "1764873600000", runs)
	report := d.Evidence(now, "svc")
	for i := range benchRequests {
		report.Events = append(report.Events, quarantine.Event{Kind: quarantine.Succeeded, Fingerprint: quarantine.FingerprintOf(fmt.Append(nil, n-1, "/", i)), Age: 3 * time.Millisecond})
	}
	report.Service, report.From = "svc", "front-budapest-12"
	return report
}

var benchStart = time.Unix(1764873600, 0)

// replayConn replays a message to a connection, and signals when the answer is written.
type replayConn struct {
	io.Reader
	answered chan struct{}
}

func (c *replayConn) Write(p []byte) (int, error) {
	close(c.answered)
	return len(p), nil
}

func (c *replayConn) Close() error { return nil }

func BenchmarkCrashReport(b *testing.B) {
	var reports []quarantine.Report
	for i := range benchReports {
		reports = append(reports, benchReport(i))
	}
	benchmarkCoding(b, "json", func() []byte { return encodeCall(b, methodCrashReport, reports[0]) }, len(reports[0].Events))
	benchmarkCoding(b, "packed", func() []byte { return encodeCall(b, methodPackedReport, PackReport(reports[0])) }, len(reports[0].Events))
	for _, reviewEvery := range []int{1, 4} {
		b.Run(fmt.Sprint("merge/review_every_", reviewEvery), func(b *testing.B) {
			b.ReportAllocs()
			var d *quarantine.Decider
			for n := 0; b.Loop(); n++ {
				if n%benchReports == 0 {
					d = quarantine.NewDecider()
					d.SetNodes(60)
				}
				now := benchStart.Add(time.Duration(n%benchReports) * 10 * time.Millisecond)
				d.AddReport(now, reports[n%benchReports])
				if n%reviewEvery == 0 {
					d.Review(now, func(ids.Service) quarantine.Role { return quarantine.Role{Keeper: true} })
				}
			}
		})
	}
}

// benchmarkCoding measures one form of a report with some events.
func benchmarkCoding(b *testing.B, form string, encode func() []byte, events int) {
	message := encode()
	b.Run("encode/"+form, func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			encode()
		}
		b.ReportMetric(float64(len(message)), "bytes")
		b.ReportMetric(float64(events), "events")
	})
	b.Run("decode/"+form, func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			conn := &replayConn{bytes.NewReader(message), make(chan struct{})}
			rpc := jsonrpc2.NewConn(b.Context(), jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{}), jsonrpc2.HandlerWithError(handler(emptySource{}, nil, nil)), jsonrpc2.SetLogger(discardLogger))
			<-conn.answered
			_ = rpc.Close()
		}
	})
}

// encodeCall returns the message that carries a report.
func encodeCall(b *testing.B, method string, params any) []byte {
	var out bytes.Buffer
	req := jsonrpc2.Request{Method: method}
	if err := req.SetParams(params); err != nil {
		b.Fatal(err)
	}
	if err := (jsonrpc2.VarintObjectCodec{}).WriteObject(&out, req); err != nil {
		b.Fatal(err)
	}
	return out.Bytes()
}

// TestPackedReportIsTheSame guards against evidence that is changed on its way, as decisions
// would be based on other deaths.
func TestPackedReportIsTheSame(t *testing.T) {
	report := benchReport(3)
	report.Events = append(report.Events, testEvents...)
	report.Events = append(report.Events, quarantine.Event{Kind: "later", Age: -time.Second, Excused: true, Fingerprint: "part-AB", Via: []quarantine.Fingerprint{"", "x"}})
	packed := PackReport(report)
	got, err := packed.Unpack()
	if diff := cmp.Diff(report, got); err != nil || diff != "" {
		t.Errorf("%v %s", err, diff)
	}
	for n := range packed {
		var fault *PackedReportError
		if _, err := packed[:n].Unpack(); !errors.As(err, &fault) || fault.Bytes != n {
			t.Fatalf("%d of %d bytes: error is %v", n, len(packed), err)
		}
	}
}

// FuzzUnpackReport guards against a node that ends or takes much memory because of a malformed
// report.
func FuzzUnpackReport(f *testing.F) {
	f.Add([]byte(PackReport(benchReport(1))))
	f.Add([]byte(PackReport(quarantine.Report{Service: "s", Events: testEvents})))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := PackedReport(data).Unpack()
		if err != nil {
			return
		}
		again, err := PackReport(r).Unpack()
		if diff := cmp.Diff(r, again); err != nil || diff != "" {
			t.Errorf("%v %s", err, diff)
		}
	})
}

// TestReportReachesANodeOfTheEarlierRelease guards against evidence that is lost while a fleet is
// upgraded: nodes of the earlier release refuse the binary form, and send JSON.
func TestReportReachesANodeOfTheEarlierRelease(t *testing.T) {
	want := quarantine.Report{Service: "s", Events: testEvents, From: "vm"}
	s := &fakeSource{reports: make(chan quarantine.Report, 1)}
	address := serve(t, s)
	if err := call(t.Context(), address, callTimeout, methodCrashReport, want, nil); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, <-s.reports); diff != "" {
		t.Errorf("from a node of the earlier release: %s", diff)
	}

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	earlier := func(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		if r.Method == methodPackedReport {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"}
		}
		return handler(s, nil, nil)(ctx, c, r)
	}
	go func() {
		if conn, err := l.Accept(); err == nil {
			jsonrpc2.NewConn(t.Context(), jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{}), jsonrpc2.HandlerWithError(earlier), jsonrpc2.SetLogger(discardLogger))
		}
	}()
	if reply, err := SendCrashReport(t.Context(), l.Addr().String(), NewOutgoingReport(want)); err != nil || reply.Process != "p" {
		t.Fatalf("reply %v, error %v", reply, err)
	}
	if diff := cmp.Diff(want, <-s.reports); diff != "" {
		t.Errorf("to a node of the earlier release: %s", diff)
	}
}

// BenchmarkWaitBesideReports measures how long other work waits for the processor while many
// reports arrive at once. Run it with -cpu 1.
func BenchmarkWaitBesideReports(b *testing.B) {
	const reports = 60
	report := benchReport(0)
	for name, message := range map[string][]byte{"json": encodeCall(b, methodCrashReport, report), "packed": encodeCall(b, methodPackedReport, PackReport(report))} {
		for order, turns := range map[string]*turns{"at_once": nil, "in_turns": new(turns)} {
			b.Run(name+"/"+order, func(b *testing.B) {
				var longest time.Duration
				for b.Loop() {
					var conns []*replayConn
					for range reports {
						conn := &replayConn{bytes.NewReader(message), make(chan struct{})}
						conns = append(conns, conn)
						jsonrpc2.NewConn(b.Context(), jsonrpc2.NewBufferedStream(conn, turnCodec{turns: turns}), jsonrpc2.HandlerWithError(handler(emptySource{}, nil, turns)), jsonrpc2.SetLogger(discardLogger))
					}
					for _, conn := range conns {
						for answered := false; !answered; {
							select {
							case <-conn.answered:
								answered = true
							default:
								longest = max(longest, processor.Wait())
							}
						}
					}
				}
				b.ReportMetric(float64(longest.Microseconds())/1000, "max_wait_ms")
			})
		}
	}
}
