package node_test

import (
	"context"
	"testing"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/client"
)

// TestCloseAnswersCallersOfRequestsInFlight closes a node during a stream. The
// caller must receive an unknown outcome with reason draining.
func TestCloseAnswersCallersOfRequestsInFlight(t *testing.T) {
	_, n := startNode(t)
	c := client.New(client.Options{Address: n.CallerAddr(), Key: accountKey})
	defer c.Close()
	begun := make(chan struct{})
	ended := make(chan client.Result, 1)
	go func() {
		result, _ := c.Chat(context.Background(), client.Chat{
			Model: "mimosa-drafts", Messages: uniqueMessages(1), MaxTokens: 2000,
			OnToken: func(index int, _ string) {
				if index == 0 {
					close(begun)
				}
			},
		})
		ended <- result
	}()
	<-begun
	n.Close()
	if result := <-ended; result.Outcome != outcome.Unknown || result.Reason != outcome.Draining {
		t.Errorf("%+v", result)
	}
}
