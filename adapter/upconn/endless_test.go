package upconn

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// endless returns a handler that writes a beginning and then repeats a text until the other
// side closes.
func endless(beginning, text string) func(net.Conn) {
	return func(c net.Conn) {
		go func() {
			defer func() { _ = c.Close() }()
			block := strings.Repeat(text, 1+(16<<10)/len(text))
			_, err := io.WriteString(c, beginning)
			for err == nil {
				_, err = io.WriteString(c, block)
			}
		}()
	}
}

// Guards against reads that go on, or fill the memory, for as long as an upstream sends bytes
// that are no answer.
func TestEndlessBytesAreNotReadOn(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, handler := range map[string]func(net.Conn){
		"informational responses": endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
		"head in one line":        endless("HTTP/1.1 200 OK\r\nX: ", "x"),
		"head of many lines":      endless("HTTP/1.1 200 OK\r\n", "X: y\r\n"),
		"no head":                 endless("", "garbage "),
		"trailer in one line":     endless(chunked+"2\r\nok\r\n0\r\nX: ", "x"),
		"trailers":                endless(chunked+"2\r\nok\r\n0\r\n", "X: y\r\n"),
		"body":                    endless("HTTP/1.1 200 OK\r\n\r\n", "garbage "),
		"body in chunks":          endless(chunked, "400\r\n"+strings.Repeat("x", 1024)+"\r\n"),
		"size of a chunk":         endless(chunked, "0"),
	} {
		t.Run(name, func(t *testing.T) {
			conn := connect(t, NewPool(time.Now, DialDirect, nil), serve(t, handler), waitLong)
			done := make(chan error, 1)
			go func() {
				resp, err := conn.ReadResponse("GET")
				if err == nil {
					_, err = resp.Body()
				}
				done <- err
			}()
			select {
			case err := <-done:
				if err == nil {
					t.Error("taken for an answer")
				}
			case <-time.After(5 * time.Second):
				t.Error("still reading")
				conn.Close()
			}
		})
	}
}

// Guards against several endless bodies that fill the memory together.
func TestBodiesThatAreReadAtATimeAreBoundedTogether(t *testing.T) {
	// The bodies keep the processor busy for longer than ConnectTimeout.
	pool := NewPool(time.Now, func(ctx context.Context, target Target) (NetConn, error) {
		conn, err := NewDialer(10*time.Second).DialContext(ctx, "tcp", target.Address)
		if err != nil {
			return nil, &DialError{Target: target, Cause: err}
		}
		return conn.(*net.TCPConn), nil
	}, nil)
	var reads sync.WaitGroup
	var mu sync.Mutex
	limits := make(map[int]int)
	for range 12 {
		conn := connect(t, pool, serve(t, endless("HTTP/1.1 200 OK\r\n\r\n", "garbage ")), waitLong)
		reads.Go(func() {
			resp, err := conn.ReadResponse("GET")
			if err == nil {
				_, err = resp.Body()
			}
			var large *BodyTooLargeError
			if !errors.As(err, &large) {
				t.Errorf("got %v", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			limits[large.Limit]++
		})
	}
	reads.Wait()
	if limits[maxBytesBeingRead] == 0 {
		t.Errorf("limits that were met: %v", limits)
	}
	if n := bytesBeingRead.Load(); n != 0 {
		t.Errorf("%d bytes are counted after the end", n)
	}
}
