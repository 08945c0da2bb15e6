package app

import (
	"errors"
	"sync"
	"time"

	"mimosaarch.example/mimosactl/operator"
)

// operatorOptions say how to reach nodes' operator ports.
type operatorOptions struct {
	Operators addresses     `long:"operators" env:"MIMOSACTL_OPERATORS" value-name:"ADDR" description:"operator ports to ask; several with commas, or as arguments"`
	CA        string        `long:"tls-ca" value-name:"FILE" description:"certificate that signs the fleet's members, for operator ports with TLS"`
	Cert      string        `long:"tls-cert" value-name:"FILE" description:"own certificate"`
	Key       string        `long:"tls-key" value-name:"FILE" description:"key of the own certificate"`
	Timeout   time.Duration `long:"timeout" default:"3s" description:"limit for each node"`
}

// client makes the client and checks that there is a node to ask; more are
// addresses given as arguments.
func (o *operatorOptions) client(more []string) (*operator.Client, error) {
	o.Operators = append(o.Operators, more...)
	if len(o.Operators) == 0 {
		return nil, &UsageError{Message: "--operators names no address"}
	}
	return operator.New(operator.TLSFiles{CA: o.CA, Cert: o.Cert, Key: o.Key}, o.Timeout)
}

// answer is what one node said.
type answer[T any] struct {
	address string
	value   T
	err     error
}

// askAll asks every address at once and gives the answers in order.
func askAll[T any](addresses []string, ask func(address string) (T, error)) []answer[T] {
	out := make([]answer[T], len(addresses))
	var all sync.WaitGroup
	for i, address := range addresses {
		all.Go(func() {
			value, err := ask(address)
			out[i] = answer[T]{address: address, value: value, err: err}
		})
	}
	all.Wait()
	return out
}

// errorsOf joins the failures of answers; nil when there is none.
func errorsOf[T any](answers []answer[T]) error {
	var failed []error
	for _, a := range answers {
		failed = append(failed, a.err)
	}
	return errors.Join(failed...)
}
