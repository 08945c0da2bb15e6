package relay

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"mimosaarch.example/core/ids"
	"mimosaarch.example/decide/quarantine"
)

// PackedReport is a report of crash evidence in binary form.
//
// A report of 213 events takes 54 kB as JSON, which is scanned some eight times until it is
// decoded. Most of it are fingerprints in hexadecimal and the names of the same few upstreams.
// Here each text is contained once, and fingerprints as bytes.
//
//	version, flags, service, from, number of events, events
//	event: kind, flags, upstream, epoch, fingerprint, age - age of the event before, ran,
//	       number of via, via
//	text:  number of an earlier text, counted from 1, or 0 and a new text
//	new:   0, length, bytes; or 1 (fingerprint of a request) or 2 (of a part), 32 bytes
//
// Numbers are varints, ages and ran are signed.
type PackedReport []byte

// reportVersion is the version of the format. A peer refuses others, and gets JSON.
const reportVersion = 1

// Flags of reports and events.
const (
	flagAnnounced = 1
	flagStarted   = 1
	flagExcused   = 2
)

// Forms of new texts. A text of a form other than plainText has textBytes bytes, after a prefix.
const (
	plainText = iota
	requestText
	partText

	textBytes  = 32
	partPrefix = "part-"
)

// minEventBytes is the size of the shortest event.
const minEventBytes = 8

// PackReport encodes a report.
func PackReport(r quarantine.Report) PackedReport {
	// A new fingerprint takes 34 bytes, and the rest of an event some 16.
	w := reportWriter{out: make([]byte, 0, 64+50*len(r.Events)), numbers: make(map[string]uint64, len(r.Events))}
	w.out = append(w.out, reportVersion, flagIf(r.Announced, flagAnnounced))
	w.text(string(r.Service))
	w.text(string(r.From))
	w.number(uint64(len(r.Events)))
	var age time.Duration
	for i := range r.Events {
		e := &r.Events[i]
		w.text(string(e.Kind))
		w.out = append(w.out, flagIf(e.Started, flagStarted)|flagIf(e.Excused, flagExcused))
		w.text(string(e.Upstream))
		w.text(e.Epoch)
		w.text(string(e.Fingerprint))
		w.out = binary.AppendVarint(w.out, int64(e.Age-age))
		w.out = binary.AppendVarint(w.out, int64(e.Ran))
		w.number(uint64(len(e.Via)))
		for _, via := range e.Via {
			w.text(string(via))
		}
		age = e.Age
	}
	return w.out
}

// flagIf returns a flag if it is set, and 0 otherwise.
func flagIf(set bool, flag byte) byte {
	if set {
		return flag
	}
	return 0
}

// reportWriter encodes a report. numbers holds the numbers of the texts that out contains.
type reportWriter struct {
	out     []byte
	numbers map[string]uint64
}

func (w *reportWriter) number(n uint64) { w.out = binary.AppendUvarint(w.out, n) }

func (w *reportWriter) text(s string) {
	if n, known := w.numbers[s]; known {
		w.number(n)
		return
	}
	w.numbers[s] = uint64(len(w.numbers) + 1)
	form, digits := byte(requestText), s
	if len(s) == len(partPrefix)+2*textBytes && s[:len(partPrefix)] == partPrefix {
		form, digits = partText, s[len(partPrefix):]
	}
	w.out = append(w.out, 0, form)
	if isHash(digits) {
		start := len(w.out)
		w.out = append(w.out, make([]byte, textBytes)...)
		_, _ = hex.Decode(w.out[start:], []byte(digits)) // isHash has checked the digits
		return
	}
	w.out[len(w.out)-1] = plainText
	w.number(uint64(len(s)))
	w.out = append(w.out, s...)
}

// isHash reports whether s consists of 2 * textBytes lower-case hexadecimal digits.
func isHash(s string) bool {
	if len(s) != 2*textBytes {
		return false
	}
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// PackedReportError reports that a packed report of some bytes is malformed, or has another Version
// than reportVersion.
type PackedReportError struct {
	Version byte
	Bytes   int
}

// Error implements error.
func (e *PackedReportError) Error() string {
	return fmt.Sprintf("packed report of %d bytes and version %d is malformed or of an unknown version", e.Bytes, e.Version)
}

// fault returns the error of a report that cannot be decoded.
func (p PackedReport) fault() error {
	e := &PackedReportError{Bytes: len(p)}
	if len(p) > 0 {
		e.Version = p[0]
	}
	return e
}

// Unpack decodes the report. The error is a *PackedReportError.
func (p PackedReport) Unpack() (quarantine.Report, error) {
	if len(p) < 2 || p[0] != reportVersion {
		return quarantine.Report{}, p.fault()
	}
	r := reportReader{in: p[2:]}
	report := quarantine.Report{Announced: p[1]&flagAnnounced != 0, Service: ids.Service(r.text()), From: ids.VM(r.text())}
	if n := r.number(len(r.in) / minEventBytes); n > 0 {
		report.Events = make([]quarantine.Event, n)
	}
	var age time.Duration
	for i := range report.Events {
		kind, flags := quarantine.Kind(r.text()), r.byte()
		e := quarantine.Event{
			Kind: kind, Started: flags&flagStarted != 0, Excused: flags&flagExcused != 0,
			Upstream: ids.Upstream(r.text()), Epoch: r.text(), Fingerprint: quarantine.Fingerprint(r.text()),
			Age: age + time.Duration(r.signed()), Ran: time.Duration(r.signed()),
		}
		if n := r.number(len(r.in)); n > 0 {
			e.Via = make([]quarantine.Fingerprint, n)
			for j := range e.Via {
				e.Via[j] = quarantine.Fingerprint(r.text())
			}
		}
		if r.malformed {
			break
		}
		age = e.Age
		report.Events[i] = e
	}
	if r.malformed {
		return quarantine.Report{}, p.fault()
	}
	return report, nil
}

// reportReader decodes a report. After an error malformed is set, and values are zero.
type reportReader struct {
	in        []byte
	texts     []string
	malformed bool
}

func (r *reportReader) take(n int) []byte {
	if r.malformed || n > len(r.in) {
		r.malformed = true
		return nil
	}
	taken := r.in[:n]
	r.in = r.in[n:]
	return taken
}

func (r *reportReader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

// number returns a number of up to limit.
func (r *reportReader) number(limit int) int {
	n, size := binary.Uvarint(r.in)
	if size <= 0 || n > uint64(limit) {
		r.malformed = true
		return 0
	}
	r.take(size)
	return int(n)
}

func (r *reportReader) signed() int64 {
	n, size := binary.Varint(r.in)
	if size <= 0 {
		r.malformed = true
		return 0
	}
	r.take(size)
	return n
}

func (r *reportReader) text() string {
	if n := r.number(len(r.texts)); n > 0 {
		return r.texts[n-1]
	}
	var s string
	switch r.byte() {
	case plainText:
		s = string(r.take(r.number(len(r.in))))
	case requestText:
		s = hex.EncodeToString(r.take(textBytes))
	case partText:
		s = string(hex.AppendEncode(append(make([]byte, 0, len(partPrefix)+2*textBytes), partPrefix...), r.take(textBytes)))
	default:
		r.malformed = true
	}
	r.texts = append(r.texts, s)
	return s
}

// incomingReport is a report that is received packed.
type incomingReport struct{ quarantine.Report }

// UnmarshalJSON implements json.Unmarshaler.
func (r *incomingReport) UnmarshalJSON(data []byte) error {
	var packed PackedReport
	err := json.Unmarshal(data, &packed)
	if err == nil {
		r.Report, err = packed.Unpack()
	}
	return err
}

// OutgoingReport is a report for several peers. It is encoded once for all of them.
type OutgoingReport struct {
	report quarantine.Report
	packed func() PackedReport
}

// NewOutgoingReport returns a report to send to peers.
func NewOutgoingReport(r quarantine.Report) *OutgoingReport {
	return &OutgoingReport{report: r, packed: sync.OnceValue(func() PackedReport { return PackReport(r) })}
}

// Report returns the report. Its contents must not be changed.
func (o *OutgoingReport) Report() quarantine.Report { return o.report }
