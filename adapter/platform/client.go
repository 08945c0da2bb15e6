// Package platform is the client of the platform's object API and VM list.
//
// Each method makes at most one HTTP exchange: the client never sends a call
// again by itself. A call that is abandoned at the end of its context closes
// its connection, so that a late answer can't be taken for another call's. One
// that runs out of time also drops the idle connections, so that the next call
// opens a new one.
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
	defaultConnectTimeout = 500 * time.Millisecond
	defaultCallTimeout    = 2 * time.Second
	defaultMaxConnections = 64
	defaultMaxAnswer      = 64 << 20
	idleConnection        = 5 * time.Second
	bufferSize            = 16 << 10
)

// Settings of a Client. Zero values stand for the defaults.
type Settings struct {
	// Addresses are the platform's, each an IP address and port; at least one.
	Addresses []string
	// ConnectTimeout bounds opening a connection. Default 500ms.
	ConnectTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline; a watch gets
	// its waiting time on top. Default 2s.
	CallTimeout time.Duration
	// MaxConnections bounds the connections open at once. Default 64.
	MaxConnections int
	// MaxResponseBytes bounds the body of an answer, in bytes. Default 64 MiB.
	MaxResponseBytes int
	// OnCall is told of each call that ended, with its error or nil; may be
	// nil. Any goroutine calls it.
	OnCall func(kind Kind, err error)
}

// Client calls the platform. Any goroutine may call any method.
type Client struct {
	settings Settings
	host     *fasthttp.HostClient
}

// New makes a Client; it opens no connection yet. The error is an
// *AddressError.
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
	return &Client{settings: settings, host: newHost(settings)}, nil
}

// withDefaults fills in unset fields.
func (s Settings) withDefaults() Settings {
	s.ConnectTimeout = defaults.Positive(s.ConnectTimeout, defaultConnectTimeout)
	s.CallTimeout = defaults.Positive(s.CallTimeout, defaultCallTimeout)
	s.MaxConnections = defaults.Positive(s.MaxConnections, defaultMaxConnections)
	s.MaxResponseBytes = defaults.Positive(s.MaxResponseBytes, defaultMaxAnswer)
	if s.OnCall == nil {
		s.OnCall = func(Kind, error) {}
	}
	return s
}

// newHost makes the pool of connections.
func newHost(s Settings) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      strings.Join(s.Addresses, ","),
		MaxConns:                  s.MaxConnections,
		MaxIdleConnDuration:       idleConnection,
		MaxResponseBodySize:       s.MaxResponseBytes,
		ReadBufferSize:            bufferSize,
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

// Get reads an object. Errors: *NotFoundError, *UnavailableError,
// *RefusedError, *InvalidError, *TooLargeError.
func (c *Client) Get(ctx context.Context, key string) (platformapi.Object, error) {
	return c.object(ctx, call{kind: KindGet, method: fasthttp.MethodGet, key: key})
}

// Put writes an object if its version is ifMatch; 0 means that it must not
// exist. It returns the object written. Errors: *ConflictError and those of
// Get.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifMatch int64) (platformapi.Object, error) {
	if len(value) > platformapi.MaxValueBytes {
		return platformapi.Object{}, &TooLargeError{Kind: KindPut, Size: len(value)}
	}
	return c.object(ctx, call{kind: KindPut, method: fasthttp.MethodPut, key: key, body: value, ifMatch: ifMatch})
}

// Delete removes an object if its version is ifMatch. It returns the deleted
// object with its last version. Errors as of Put.
func (c *Client) Delete(ctx context.Context, key string, ifMatch int64) (platformapi.Object, error) {
	return c.object(ctx, call{kind: KindDelete, method: fasthttp.MethodDelete, key: key, ifMatch: ifMatch})
}

// List reads all objects whose keys start with prefix, and the store's
// revision. Errors as of Get.
func (c *Client) List(ctx context.Context, prefix string) (platformapi.ListReply, error) {
	query := url.Values{"prefix": {prefix}}
	return c.list(ctx, call{kind: KindList, method: fasthttp.MethodGet, path: platformapi.ListPath, query: query})
}

// Watch waits up to wait for changes above the revision after, and returns
// them; none after that time. Errors as of Get.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platformapi.ListReply, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatInt(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.list(ctx, call{kind: KindWatch, method: fasthttp.MethodGet, path: platformapi.WatchPath, query: query, wait: wait})
}

// VMs reads the list of VMs. It comes without VMs when its revision is not above
// after, which is 0 to have it in any case. Errors as of Get.
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

// list makes a call that answers with a list.
func (c *Client) list(ctx context.Context, call call) (platformapi.ListReply, error) {
	var reply platformapi.ListReply
	err := c.do(ctx, call, func(body []byte) error { return json.Unmarshal(body, &reply) })
	if err != nil {
		return platformapi.ListReply{}, err
	}
	return reply, nil
}

// object makes a call on one object and checks that the answer belongs to it.
func (c *Client) object(ctx context.Context, call call) (platformapi.Object, error) {
	var object platformapi.Object
	err := c.do(ctx, call, func(body []byte) error {
		if err := json.Unmarshal(body, &object); err != nil {
			return err
		}
		return call.check(object)
	})
	if err != nil {
		return platformapi.Object{}, err
	}
	return object, nil
}
