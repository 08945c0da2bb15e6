// Package platform is the client of the platform's object API and VM list.
//
// Each method makes at most one HTTP exchange; the client never resends a request.
// A call whose context ends closes its connection, so that a late response cannot
// be taken for that of another call. A call that times out also closes the idle
// connections, so that the next call opens a new one.
package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"mimosaarch.example/core/defaults"
	"mimosaarch.example/core/platformapi"
)

// Defaults of Settings.
const (
	defaultConnectTimeout   = 500 * time.Millisecond
	defaultCallTimeout      = 2 * time.Second
	defaultMaxConnections   = 64
	defaultMaxResponseBytes = 64 << 20
	maxIdleTime             = 5 * time.Second
	readBufferBytes         = 16 << 10
)

// Settings configures a Client. Zero fields take the defaults.
type Settings struct {
	// Addresses are the IP addresses and ports of the platform; at least one.
	Addresses []string
	// ConnectTimeout bounds a dial. Default 500ms.
	ConnectTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline; a watch may take its
	// wait time longer. Default 2s.
	CallTimeout time.Duration
	// MaxConnections limits the open connections. Default 64.
	MaxConnections int
	// MaxResponseBytes limits the body of a response. Default 64 MiB.
	MaxResponseBytes int
	// OnCall is called after each call with its error or nil; may be nil. It is
	// called from any goroutine.
	OnCall func(kind Kind, err error)
}

// Client calls the platform. Methods may be called from any goroutine.
type Client struct {
	settings Settings
	host     *fasthttp.HostClient
}

// New returns a Client. It opens no connection yet. The error is an *AddressError.
func New(settings Settings) (*Client, error) {
	if len(settings.Addresses) == 0 {
		return nil, &AddressError{}
	}
	for _, address := range settings.Addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, &AddressError{Address: address}
		}
	}
	settings = settings.withDefaults()
	return &Client{settings: settings, host: newHostClient(settings)}, nil
}

// withDefaults returns s with the zero fields set to their defaults.
func (s Settings) withDefaults() Settings {
	s.ConnectTimeout = defaults.Positive(s.ConnectTimeout, defaultConnectTimeout)
	s.CallTimeout = defaults.Positive(s.CallTimeout, defaultCallTimeout)
	s.MaxConnections = defaults.Positive(s.MaxConnections, defaultMaxConnections)
	s.MaxResponseBytes = defaults.Positive(s.MaxResponseBytes, defaultMaxResponseBytes)
	if s.OnCall == nil {
		s.OnCall = func(Kind, error) {}
	}
	return s
}

// newHostClient returns the HTTP client with its connection pool. Retries are
// disabled.
func newHostClient(s Settings) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      strings.Join(s.Addresses, ","),
		MaxConns:                  s.MaxConnections,
		MaxIdleConnDuration:       maxIdleTime,
		MaxResponseBodySize:       s.MaxResponseBytes,
		ReadBufferSize:            readBufferBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
			if timeout <= 0 || timeout > s.ConnectTimeout {
				timeout = s.ConnectTimeout
			}
			return net.DialTimeout("tcp", address, timeout)
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.host.CloseIdleConnections() }

// Get reads an object. Errors: *NotFoundError, *UnavailableError, *RefusedError,
// *InvalidError, *TooLargeError.
func (c *Client) Get(ctx context.Context, key string) (platformapi.Object, error) {
	return c.callObject(ctx, call{kind: KindGet, method: fasthttp.MethodGet, key: key})
}

// Put writes an object if its version is ifMatch; 0 means that it must not exist.
// It returns the object as written. Errors: *ConflictError and those of Get.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifMatch int64) (platformapi.Object, error) {
	if len(value) > platformapi.MaxValueBytes {
		return platformapi.Object{}, &TooLargeError{Kind: KindPut, Size: len(value)}
	}
	return c.callObject(ctx, call{kind: KindPut, method: fasthttp.MethodPut, key: key, body: value, ifMatch: ifMatch})
}

// Delete deletes an object if its version is ifMatch. It returns the deleted object
// with its last version. Errors: as for Put.
func (c *Client) Delete(ctx context.Context, key string, ifMatch int64) (platformapi.Object, error) {
	return c.callObject(ctx, call{kind: KindDelete, method: fasthttp.MethodDelete, key: key, ifMatch: ifMatch})
}

// List reads all objects whose keys start with prefix, and the store's revision.
// Errors: as for Get.
func (c *Client) List(ctx context.Context, prefix string) (platformapi.ListReply, error) {
	query := url.Values{"prefix": {prefix}}
	return c.callList(ctx, call{kind: KindList, method: fasthttp.MethodGet, path: platformapi.ListPath, query: query})
}

// Watch waits up to wait for changes after the revision after and returns them, or
// none if there were none. Errors: as for Get.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platformapi.ListReply, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatInt(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.callList(ctx, call{kind: KindWatch, method: fasthttp.MethodGet, path: platformapi.WatchPath, query: query, wait: wait})
}

// VMs reads the list of VMs. The reply contains no VMs if its revision is not
// greater than after; pass 0 to get the list in any case. Errors: as for Get.
func (c *Client) VMs(ctx context.Context, after int64) (platformapi.VMList, error) {
	var reply platformapi.VMList
	ask := call{kind: KindVMs, method: fasthttp.MethodGet, path: platformapi.VMsPath}
	if after > 0 {
		ask.query = url.Values{"after": {strconv.FormatInt(after, 10)}}
	}
	err := c.do(ctx, ask, func(body []byte) error {
		return json.Unmarshal(body, &reply)
	})
	if err != nil {
		return platformapi.VMList{}, err
	}
	return reply, nil
}

// callList makes a call whose response is a list.
func (c *Client) callList(ctx context.Context, call call) (platformapi.ListReply, error) {
	var reply platformapi.ListReply
	err := c.do(ctx, call, func(body []byte) error { return json.Unmarshal(body, &reply) })
	if err != nil {
		return platformapi.ListReply{}, err
	}
	return reply, nil
}

// callObject makes a call on one object and checks that the response is for that
// object.
func (c *Client) callObject(ctx context.Context, call call) (platformapi.Object, error) {
	var object platformapi.Object
	err := c.do(ctx, call, func(body []byte) error {
		if err := json.Unmarshal(body, &object); err != nil {
			return err
		}
		return call.checkObject(object)
	})
	if err != nil {
		return platformapi.Object{}, err
	}
	return object, nil
}
