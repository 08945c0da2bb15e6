package upconn

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// readHeadOf reads the first bytes of what a client sends.
func readHeadOf(c net.Conn) { _, _ = io.ReadFull(c, make([]byte, 1)) }

// uploading returns a connection to an upstream on which the head of a response has been read, while
// a write goes on that the upstream does not read.
func uploading(t *testing.T, answer func(*net.TCPConn)) *Response {
	t.Helper()
	target := serve(t, func(c net.Conn) {
		go func() {
			readHeadOf(c)
			time.Sleep(20 * time.Millisecond)
			answer(c.(*net.TCPConn))
		}()
	})
	conn := connect(t, NewPool(time.Now, DialDirect, nil), target, waitLong)
	conn.StartWrite([][]byte{make([]byte, 16<<20)}, 10*time.Second)
	resp, err := conn.ReadResponse("POST")
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// respondWith returns a function that writes a response without a length and ends the connection.
func respondWith(body string, end func(*net.TCPConn)) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body)
		end(c)
	}
}

// reset resets a connection.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Guards against a body without a length that counts as whole although a write was told that the
// connection was reset.
func TestBodyWithoutLengthIsCutOffByAResetOfTheUpload(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reset":                          reset,
		"closed with unread bytes":       func(c *net.TCPConn) { _ = c.Close() },
		"ended in order, and then reset": func(c *net.TCPConn) { _ = c.CloseWrite(); reset(c) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range 20 {
				if body, err := uploading(t, respondWith("part", end)).Body(); err == nil {
					t.Fatalf("body %q without an error", body)
				}
			}
		})
	}
}

func TestBodyWithoutLengthIsWholeIfTheUploadIsStillWanted(t *testing.T) {
	for name, rest := range map[string]func(*net.TCPConn){
		"reads on":    func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"reads later": func(*net.TCPConn) { time.Sleep(10 * endSettleTimeout) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			resp := uploading(t, respondWith("whole", func(c *net.TCPConn) {
				_ = c.CloseWrite()
				rest(c)
			}))
			if body, err := resp.Body(); err != nil || string(body) != "whole" {
				t.Errorf("body %q, %v", body, err)
			}
			if reusable, _ := resp.Reusable(); reusable {
				t.Error("the connection may be used again")
			}
		})
	}
}

// Guards against a write that took too long and counts as a reset.
func TestWriteThatTimesOutDoesNotCutOffABodyWithoutLength(t *testing.T) {
	target := serve(t, func(c net.Conn) {
		go func() {
			readHeadOf(c)
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(time.Second)
		}()
	})
	conn := connect(t, NewPool(time.Now, DialDirect, nil), target, waitLong)
	if err := conn.Write([]byte("?"), time.Second); err != nil {
		t.Fatal(err)
	}
	conn.StartWrite([][]byte{make([]byte, 16<<20)}, 5*time.Millisecond)
	resp, err := conn.ReadResponse("POST")
	if err != nil {
		t.Fatal(err)
	}
	if body, err := resp.Body(); err != nil || string(body) != "whole" {
		t.Errorf("body %q, %v", body, err)
	}
	if conn.Written() {
		t.Error("a write that timed out counts as complete")
	}
}

// Guards against a reset that only IsQuiet is told of.
func TestResetThatIsQuietNoticesIsNoEnd(t *testing.T) {
	resets := make(chan struct{})
	target := serve(t, func(c net.Conn) {
		go func() {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			<-resets
			reset(c.(*net.TCPConn))
		}()
	})
	conn := connect(t, NewPool(time.Now, DialDirect, nil), target, waitLong)
	resp, err := conn.ReadResponse("GET")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp, make([]byte, len("part"))); err != nil {
		t.Fatal(err)
	}
	close(resets)
	for end := time.Now().Add(10 * time.Second); conn.IsQuiet(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the reset is not noticed")
		}
	}
	if conn.IsQuiet() {
		t.Error("the connection is quiet again")
	}
	if _, err := resp.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the read ends with %v", err)
	}
}
