package relay

import (
	"context"

	"mimosaarch.example/decide/retry"
)

// methodRetryLoan asks for retries of a service that the node does not need itself.
const methodRetryLoan = "retry_loan"

// RetryLender grants retries to peers. Its method may be called from any goroutine.
type RetryLender interface {
	// LendRetries answers a peer that asks for retries.
	LendRetries(r retry.LoanRequest) retry.LoanReply
}

// lendRetries handles the calls of methodRetryLoan.
func lendRetries(_ context.Context, source Source, r retry.LoanRequest) (any, error) {
	return source.LendRetries(r), nil
}

// BorrowRetries asks the peer at an address for retries. The error is a *CallError.
func BorrowRetries(ctx context.Context, peer string, r retry.LoanRequest) (retry.LoanReply, error) {
	var reply retry.LoanReply
	if err := call(ctx, peer, callTimeout, methodRetryLoan, r, &reply); err != nil {
		return retry.LoanReply{}, &CallError{peer, err}
	}
	return reply, nil
}

// LendRetries implements RetryLender.
func (emptySource) LendRetries(retry.LoanRequest) retry.LoanReply { return retry.LoanReply{} }
