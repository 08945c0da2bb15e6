package node_test

import (
	"context"
	"testing"

	"mimosaarch.example/core/outcome"
	"mimosaarch.example/loadgen/client"
)

// TestCloseAnswersWhoItCutsOff ends a stream that is under way when the node
// stops at once: the caller is told that the outcome is not known.
func TestCloseAnswersWhoItCutsOff(t *testing.T) {
	_, n := startNode(t)
	c := client.New(client.Options{Address: n.CallerAddr(), Key: accountKey})
	defer c.Close()
	begun := make(chan struct{})
	ended := make(chan client.Result, 1)
	go func() {
		result, _ := c.Chat(context.Background(), client.Chat{
			Model: "mimosa-drafts", Messages: messages(1), MaxTokens: 2000,
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
