package app

import (
	"errors"
	"sync"
	"time"

	"mimosaarch.example/mimosactl/operator"
)

// operatorOptions holds the options for connecting to nodes' operator ports.
type operatorOptions struct {
	Operators addresses     `long:"operators" env:"MIMOSACTL_OPERATORS" value-name:"ADDR" description:"operator addresses to query; separate several with commas, or pass them as arguments"`
	CA        string        `long:"tls-ca" value-name:"FILE" description:"CA certificate of the fleet, for operator ports with TLS"`
	Cert      string        `long:"tls-cert" value-name:"FILE" description:"client certificate"`
	Key       string        `long:"tls-key" value-name:"FILE" description:"private key of the client certificate"`
	Timeout   time.Duration `long:"timeout" default:"3s" description:"timeout of the call to each node"`
}

// newClient adds extra, the addresses given as arguments, to the addresses to
// query and returns a client. Errors: *UsageError if there is no address,
// *identity.FileError.
func (o *operatorOptions) newClient(extra []string) (*operator.Client, error) {
	o.Operators = append(o.Operators, extra...)
	if len(o.Operators) == 0 {
		return nil, &UsageError{Message: "--operators names no address"}
	}
	return operator.New(operator.TLSFiles{CA: o.CA, Cert: o.Cert, Key: o.Key}, o.Timeout)
}

// response is the result of querying one node.
type response[T any] struct {
	address string
	value   T
	err     error
}

// queryAll queries all addresses concurrently and returns the responses in the
// order of addresses.
func queryAll[T any](addresses []string, query func(address string) (T, error)) []response[T] {
	out := make([]response[T], len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			value, err := query(address)
			out[i] = response[T]{address: address, value: value, err: err}
		})
	}
	wg.Wait()
	return out
}

// joinErrors joins the errors of responses; nil if there is none.
func joinErrors[T any](responses []response[T]) error {
	var errs []error
	for _, r := range responses {
		errs = append(errs, r.err)
	}
	return errors.Join(errs...)
}
