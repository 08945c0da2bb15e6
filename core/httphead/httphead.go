// Package httphead checks the head of an HTTP/1 response before a parser reads it.
//
// Parsers accept more than the grammar of RFC 9112, and each makes something else of what is
// malformed. fasthttp reports status 000 as 200, drops a blank before the colon of a field, keeps
// names with blanks inside, and joins a line that begins with a blank to the one before. The damaged
// bytes may also be those that end the body, name the request or state that it did not run. So
// nothing in a malformed head counts, and the response is no answer to the request.
package httphead

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
)

// maxInformational is the number of informational responses that Await skips.
const maxInformational = 16

// Classes of status codes (RFC 9110, section 15).
const (
	minStatus          = 100
	switchingProtocols = 101
	minFinalStatus     = 200
	maxStatus          = 599
)

// MalformedError reports a head that does not follow RFC 9112.
type MalformedError struct {
	// Part is what is malformed: the name of a part of the head.
	Part string
	// Line is the line with that part, shortened to maxLineShown bytes.
	Line string
}

// maxLineShown limits MalformedError.Line.
const maxLineShown = 80

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed %s in response line %q", e.Part, e.Line)
}

// malformed returns a *MalformedError.
func malformed(part string, line []byte) error {
	return &MalformedError{Part: part, Line: string(line[:min(len(line), maxLineShown)])}
}

// InformationalError reports more than Limit informational responses before the final one.
type InformationalError struct{ Limit int }

// Error implements error.
func (e *InformationalError) Error() string {
	return fmt.Sprintf("more than %d informational responses", e.Limit)
}

// Await waits until r has buffered the whole head of the next final response, and checks it. It
// consumes informational responses before it and leaves the head itself unread. Status 101 counts
// as final. Errors: *MalformedError, *InformationalError, bufio.ErrBufferFull for a head that is
// longer than the buffer of r, and those of the underlying reader. A head that ends too early
// gives the reader's error, which is io.EOF if the connection was closed in order.
func Await(r *bufio.Reader) error {
	for range maxInformational + 1 {
		head, err := awaitHead(r)
		if err != nil {
			return err
		}
		if head.status >= minFinalStatus || head.status == switchingProtocols {
			return nil
		}
		if _, err := r.Discard(head.read); err != nil {
			return err
		}
	}
	return &InformationalError{Limit: maxInformational}
}

// awaitHead waits until r has buffered a whole head, checks it and leaves it unread.
func awaitHead(r *bufio.Reader) (scanner, error) {
	var s scanner
	for {
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return s, err
		}
		if ended, err := s.scan(buffered); ended || err != nil {
			return s, err
		}
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			return s, err
		}
	}
}

// scanner checks a head line by line, as its bytes arrive.
type scanner struct {
	// read is the number of bytes of the lines that have been checked.
	read int
	// status is 0 until the status line has been checked.
	status int
	// http10 is true if the version is HTTP/1.0.
	http10 bool
	// afterCRLF is true if the last line ended with CRLF.
	afterCRLF bool
}

// scan checks the lines that are complete in b, which begins with the head. It returns true after
// the empty line that ends the head. The error is a *MalformedError.
func (s *scanner) scan(b []byte) (ended bool, err error) {
	for {
		length := bytes.IndexByte(b[s.read:], '\n')
		if length < 0 {
			return false, nil
		}
		line := b[s.read : s.read+length]
		s.read += length + 1
		ended, err := s.line(line)
		if ended || err != nil {
			return ended, err
		}
	}
}

// line checks a line without its line feed, and reports whether it ends the head. Empty lines
// before the status line are skipped.
func (s *scanner) line(line []byte) (ended bool, err error) {
	text, crlf := bytes.CutSuffix(line, []byte{'\r'})
	afterCRLF := s.afterCRLF
	s.afterCRLF = crlf
	switch {
	case len(text) > 0 && s.status == 0:
		s.status, err = parseStatusLine(text)
		s.http10 = bytes.HasPrefix(text, []byte(versionHTTP10))
		return false, err
	case s.status == 0:
		return false, nil
	case len(text) > 0:
		return false, s.checkField(text)
	case !crlf || !afterCRLF:
		// Parsers differ in whether a bare line feed ends a head.
		return false, malformed("end of the head", line)
	}
	return true, nil
}

// checkField checks a field. Transfer codings are unknown to HTTP/1.0, so that with them parsers
// disagree about the end of the body (RFC 9112, section 6.1).
func (s *scanner) checkField(line []byte) error {
	if err := CheckField(line); err != nil {
		return err
	}
	if s.http10 && hasName(line, "transfer-encoding") {
		return malformed("framing", line)
	}
	return nil
}

// hasName reports whether a field has a name, which is given in lower case.
func hasName(field []byte, name string) bool {
	return len(field) > len(name) && field[len(name)] == ':' && strings.EqualFold(string(field[:len(name)]), name)
}

// Parts of a status line: the versions with the space after them, and the lengths of a version and
// of the code.
const (
	versionHTTP10 = "HTTP/1.0 "
	versionHTTP11 = "HTTP/1.1 "
	versionBytes  = len(versionHTTP11)
	codeBytes     = 3
)

// parseStatusLine returns the status code of a status line (RFC 9112, section 4). The error is a
// *MalformedError.
func parseStatusLine(line []byte) (int, error) {
	version := line[:min(len(line), versionBytes)]
	if string(version) != versionHTTP11 && string(version) != versionHTTP10 {
		return 0, malformed("version", line)
	}
	code, reason := line[versionBytes:], []byte(nil)
	if len(code) > codeBytes {
		code, reason = code[:codeBytes], code[codeBytes:]
	}
	status := 0
	for _, c := range code {
		if c < '0' || c > '9' {
			return 0, malformed("status", line)
		}
		status = 10*status + int(c-'0')
	}
	if !isText(reason) {
		return 0, malformed("reason", line)
	}
	if len(code) < codeBytes || status < minStatus || status > maxStatus || len(reason) > 0 && reason[0] != ' ' {
		return 0, malformed("status", line)
	}
	return status, nil
}

// CheckField returns a *MalformedError unless a line without its line end is a header or trailer
// field (RFC 9112, section 5). A line that begins with a blank, which continues the line before it in
// obsolete messages, is none: a damaged name looks the same.
func CheckField(line []byte) error {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 {
		return malformed("field", line)
	}
	for _, c := range line[:colon] {
		if !isNameByte[c] {
			return malformed("field name", line)
		}
	}
	if !isText(line[colon+1:]) {
		return malformed("field value", line)
	}
	return nil
}

// isNameByte tells which bytes a field name may have (RFC 9110, section 5.6.2).
var isNameByte = func() (allowed [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		allowed[c] = true
	}
	return allowed
}()

// isText reports whether b may be a field value or the reason of a status line: it has no control
// bytes but tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == del {
			return false
		}
	}
	return true
}

// del is the control byte above the printable ones.
const del = 0x7f
